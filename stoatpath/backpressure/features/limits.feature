Feature: Each instance knows which limits backend servers name in their answers

  Scenario Outline: A limit follows the newest answers: <case>
    Given answers that name <limits>, to requests sent <sent> and read <read> ms
    Then the limit in force is <limit>

    Examples:
      | case                                          | limits    | sent   | read    | limit |
      | no answer names one                           | none,none | 0,10   | 5,15    | none  |
      | the first that names one                      | none,2    | 0,10   | 5,15    | 2     |
      | it rises                                      | 2,5       | 0,10   | 5,15    | 5     |
      | it falls                                      | 2,0.5     | 0,10   | 5,15    | 0.5   |
      | it ends                                       | 2,none    | 0,10   | 5,15    | none  |
      | it starts again                               | 2,none,3  | 0,9,20 | 5,15,25 | 3     |
      | an answer from before it was heard ends none  | 2,none    | 0,4    | 5,15    | 2     |
      | an answer from before it was heard raises none | 2,5      | 0,4    | 5,15    | 2     |
      | an answer from before it was heard lowers it  | 2,1       | 0,4    | 5,15    | 1     |

  Scenario: Whatever answers arrive in whatever order, doubt keeps the limit
    Given any answers of a backend server to requests sent and read at any times
    Then a limit ends only by an answer to a request sent after it was last heard
    And it rises only by such an answer

  Scenario Outline: A head with <header> is read as <reading>
    Given the head of an answer with the header Server-Limit <header>
    Then the limit that it names is <reading>
    And the text is reported as unreadable: <reported>

    Examples:
      | header              | reading | reported |
      | 2                   | 2       | no       |
      | 0.25                | 0.25    | no       |
      | 0                   | 0.05    | no       |
      | 1e300               | 1e6     | no       |
      | -1                  | none    | yes      |
      | nan                 | none    | yes      |
      | inf                 | none    | yes      |
      | Fri, 04 Dec 2026    | none    | yes      |
      | missing             | none    | no       |

  Scenario Outline: A head with status <status> and Retry-After <text> holds off <reading>
    Given the head of an answer with status <status> and Retry-After <text>
    Then it holds the backend server off for <reading>
    And the text is reported as unreadable: <reported>

    Examples:
      | status | text                          | reading   | reported |
      | 503    | 2                             | 2000 ms   | no       |
      | 503    | 0.25                          | 250 ms    | no       |
      | 503    | 0                             | 0 ms      | no       |
      | 503    | 1000000000                    | 300000 ms | no       |
      | 503    | -3                            | 1000 ms   | yes      |
      | 503    | nan                           | 1000 ms   | yes      |
      | 503    | soon                          | 1000 ms   | yes      |
      | 503    | Fri, 04 Dec 2026 10:00:00 GMT | 1000 ms   | yes      |
      | 503    | missing                       | no time   | no       |
      | 200    | 2                             | no time   | no       |

  Scenario: A hold-off ends no sooner than asked, and is never shortened
    Given any answers that ask for hold-offs at any times
    Then the hold-off ends after each of the times asked for, at most 1 s later than the last

  Scenario: An unreadable limit leaves the one before in force, and is logged once
    Given a limit of 2 and then 3 answers whose limit is unreadable
    Then the limit in force is 2
    And the unreadable text is logged once

  Scenario: An answer that may not be the backend server's own ends no limit
    Given a limit of 2 and then an answer without a seal that names none
    Then the limit in force is 2

  Scenario: Naming, change and end of a limit are logged with the requests sent meanwhile
    Given a limit of 2, then 3 requests, a limit of 1, and its end
    Then the log has the limits 2, 1 and none, with 0, 3 and 3 requests sent
