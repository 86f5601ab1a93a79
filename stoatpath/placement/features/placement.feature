Feature: Versions are placed on the engines of a pool

  Scenario: No plan drops an open version below its desired replicas
    Then any plan respects loaded replicas, zones, capacity and the limit of loads

  Scenario: Applied plans reach the desired replicas
    Then repeated plans reach all desired replicas if there is room for them

  # "a:1,2" is an engine a that holds the versions 1 and 2, "1x2" are two replicas of
  # version 1.
  Scenario Outline: The plans for a pool
    Given a pool of <engines>
    When <demand> is desired and <withdrawn> is withdrawn
    Then the plans are <plans>

    Examples:
      | engines         | demand          | withdrawn | plans    |
      | a:1 b:1         | 1x2             | nothing   | none     |
      | a:1 b:          | 1x2             | nothing   | b:1      |
      | a:1,2 b:1,2     | 2x1             | 1         | a:2 b:2  |
      | a:1,2,3 b:1,2,3 | 1x1 4x1         | nothing   | a:1,3,4  |
      | a:1,2,3 b:      | 1x1 2x1         | nothing   | none     |
      | a:1,2,3         | 1x1 2x1 3x1 4x1 | nothing   | none     |

  Scenario Outline: When an order may be sent
    Given a lease that lasts <lease_ms> ms and was claimed <claimed_ms> ms ago
    Then an order to an engine that checks fencing tokens is <checked>
    And an order to an engine that ignores fencing tokens is <ignored>

    Examples:
      | lease_ms | claimed_ms | checked | ignored |
      | 15000    | 0          | sent    | refused |
      | 15000    | 3999       | sent    | refused |
      | 15000    | 4000       | sent    | sent    |
      | 4001     | 9000       | sent    | sent    |
      | 4000     | 9000       | refused | refused |
      | 0        | 9000       | refused | refused |

  Scenario: The rate limit of the weight store holds across changes of lease holder
    Then any order of takeovers starts no more loads than the shard's rate allows

  Scenario: Desired replicas rise at once and fall after a delay
    Given a pool of 4 engines with 10 slots
    When 30 requests run on version 1
    Then 5 replicas are desired
    When 6 requests run on version 1
    Then 5 replicas are desired
    When 300000 ms pass
    Then 1 replicas are desired

  Scenario Outline: How an engine handles an order
    Given an engine that holds 1 and <checks>
    When an order with <order> arrives
    Then the engine holds <held>

    Examples:
      | checks         | order                                        | held |
      | checks tokens  | token 5 for 1,2                              | 1,2  |
      | checks tokens  | token 5 for 2                                | 2    |
      | checks tokens  | token 3 for 2 after token 5 for 1,2          | 1,2  |
      | ignores tokens | token 3 for 2 after token 5 for 1,2          | 2    |
      | ignores tokens | token 5 for 2 past its deadline              | 1    |
      | checks tokens  | token 5 for 2,3 and the load of 3 failing    | 1,2  |

  Scenario Outline: Polling the reports of engines stays within its byte rate
    When one controller places <engines> engines
    Then it reads at most <bytes_per_s> bytes a second of reports

    Examples:
      | engines | bytes_per_s |
      | 4       | 8000        |
      | 175     | 8000        |
      | 2800    | 8000        |
