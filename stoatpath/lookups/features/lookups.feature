Feature: A lookup is answered from a kept answer only where the service allows it

  Scenario Outline: For how long an answer may be kept
    Given an answer with status <status> and headers <headers>
    Then it may be kept for <seconds> seconds

    Examples:
      | status | headers                                                | seconds |
      | 200    | Cache-Control: max-age=5                               | 5       |
      | 200    | Cache-Control: public, s-maxage=7, max-age=5           | 7       |
      | 200    | Cache-Control: max-age=100000                          | 300     |
      | 200    | Cache-Control: max-age=5; Age: 3                       | 2       |
      | 200    | Cache-Control: max-age=5; Age: 9                       | 0       |
      | 200    | Content-Type: text/plain                               | 0       |
      | 200    | Cache-Control: no-store, max-age=5                     | 0       |
      | 200    | Cache-Control: private, max-age=5                      | 0       |
      | 200    | Cache-Control: no-cache                                | 0       |
      | 200    | Cache-Control: max-age=-1                              | 0       |
      | 200    | Cache-Control: max-age=soon                            | 0       |
      | 200    | Cache-Control: max-age=5; Vary: Accept                 | 0       |
      | 200    | Cache-Control: max-age=5; Set-Cookie: a=1              | 0       |
      | 404    | Cache-Control: max-age=5                               | 0       |

  Scenario Outline: What a site does with two equal lookups
    Given a site whose booking desk says "<header>"
    When "<first>" looks up the huts and then "<second>" does, with <between> between
    Then the booking desk ran <ran> lookups
    And each answer names a request of its own and is billed once

    Examples:
      | header            | first        | second       | between   | ran |
      | public, max-age=9 | sunset-huts  | sunset-huts  | nothing   | 1   |
      |                   | sunset-huts  | sunset-huts  | nothing   | 2   |
      | no-store          | sunset-huts  | sunset-huts  | nothing   | 2   |
      | public, max-age=9 | sunset-huts  | craft-market | nothing   | 2   |
      | public, max-age=9 | sunset-huts  | sunset-huts  | a booking | 2   |

  Scenario: An answer that was asked for before a change ended is not kept
    Given an empty store of kept answers
    When a lookup is asked, a booking begins and ends, and the lookup is answered
    Then the answer is not kept

  Scenario: An answer is not used beyond its time
    Given an empty store of kept answers
    When an answer that may be kept for 5 seconds is kept
    Then it is found after 4999 ms and not after 5000 ms

  Scenario: Kept answers are bounded in bytes
    Given an empty store of kept answers
    When 200 answers of 60000 bytes are kept
    Then at most 69 of them are found, the latest among them
