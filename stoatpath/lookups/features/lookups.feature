Feature: A lookup is answered from the cache only where the service allows it

  Scenario Outline: The cache lifetime follows the response headers
    Given an answer with status <status> and headers <headers>
    Then it may be cached for <seconds> seconds

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

  Scenario Outline: Two equal lookups at a site
    Given a site whose booking desk sends Cache-Control "<header>"
    When "<first>" looks up the huts and then "<second>" does, with <between> between
    Then the booking desk ran <ran> lookups
    And each answer has its own request identifier and is billed once

    Examples:
      | header            | first        | second       | between   | ran |
      | public, max-age=9 | sunset-huts  | sunset-huts  | nothing   | 1   |
      |                   | sunset-huts  | sunset-huts  | nothing   | 2   |
      | no-store          | sunset-huts  | sunset-huts  | nothing   | 2   |
      | public, max-age=9 | sunset-huts  | craft-market | nothing   | 2   |
      | public, max-age=9 | sunset-huts  | sunset-huts  | a booking | 2   |

  Scenario: An answer to a lookup sent before a modification ended is not cached
    Given an empty cache
    When a lookup is sent, a booking begins and ends, and the lookup is answered
    Then the answer is not cached

  Scenario: An answer is not used after it expires
    Given an empty cache
    When an answer with a lifetime of 5 seconds is stored
    Then it is found after 4999 ms and not after 5000 ms

  Scenario: The cache is limited in bytes
    Given an empty cache
    When 200 answers of 60000 bytes are stored
    Then at most 69 of them are found, the latest among them
