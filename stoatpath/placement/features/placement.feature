Feature: Versions are placed on the engines of a pool

  Scenario: No plan takes an open version below what it wants
    Then any plan keeps loaded replicas, zones, capacity and the limit of loads

  Scenario: Plans that are carried out reach what is wanted
    Then repeated plans reach all wants when there is room for them

  Scenario Outline: What a plan does
    Given a pool of <engines>
    When <what> is wanted and <closed> is closed
    Then the plans are <plans>

    Examples:
      | engines            | what   | closed  | plans                |
      | a:1 b:1            | 1x2    | nothing | none                 |
      | a:1 b:             | 1x2    | nothing | b:1                  |
      | a:1,2 b:1,2        | 2x1    | 1       | a:2 b:2              |
      | a:1,2,3 b:1,2,3    | 1x1 4x1| nothing | a:1,3,4              |
      | a:1,2,3 b:         | 1x1 2x1| nothing | none                 |
      | a:1,2,3            | 1x1 2x1 3x1 4x1 | nothing | none        |

  Scenario Outline: When an order may be sent
    Given a lease that lasts <lease_ms> ms and was claimed <claimed_ms> ms ago
    Then an order to an engine that checks numbers is <checked>
    And an order to an engine that ignores numbers is <ignored>

    Examples:
      | lease_ms | claimed_ms | checked | ignored |
      | 15000    | 0          | sent    | held    |
      | 15000    | 3999       | sent    | held    |
      | 15000    | 4000       | sent    | sent    |
      | 4001     | 9000       | sent    | sent    |
      | 4000     | 9000       | held    | held    |
      | 0        | 9000       | held    | held    |

  Scenario: The rate of the weight store is kept over all holders of a shard
    Then any order of takeovers starts no more loads than the shard's part allows

  Scenario: Wants rise at once and fall late
    Given a pool of 4 engines with 10 slots
    When 30 requests run on version 1
    Then 5 replicas are wanted
    When 6 requests run on version 1
    Then 5 replicas are wanted
    When 300000 ms pass
    Then 1 replicas are wanted

  Scenario Outline: How an engine takes an order
    Given an engine that holds 1 and <checks>
    When an order with <order> arrives
    Then the engine holds <held>

    Examples:
      | checks         | order                                        | held |
      | checks numbers | number 5 for 1,2                             | 1,2  |
      | checks numbers | number 5 for 2                               | 2    |
      | checks numbers | number 3 for 2 after number 5 for 1,2        | 1,2  |
      | ignores them   | number 3 for 2 after number 5 for 1,2        | 2    |
      | ignores them   | number 5 for 2 past its deadline             | 1    |
      | checks numbers | number 5 for 2,3 and the load of 3 failing   | 1,2  |

  Scenario Outline: Reading the reports of engines stays within its bytes
    When one controller places <engines> engines
    Then it reads at most <bytes_per_s> bytes a second of reports

    Examples:
      | engines | bytes_per_s |
      | 4       | 8000        |
      | 175     | 8000        |
      | 2800    | 8000        |
