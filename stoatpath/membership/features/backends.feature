Feature: Backend servers are tracked by their own reports, since the list may be wrong

  Scenario Outline: <case>
    Given a router that knows backend servers b1, b2 and b3
    When these events happen: <events>
    Then after <seconds> s it may use <usable>

    Examples:
      | case                                         | events                                                   | seconds | usable     |
      | no fault                                     | nothing happens                                          | 6       | b1, b2, b3 |
      | one reports that it leaves                   | b1 reports that it leaves                                | 1       | b2, b3     |
      | the leaving one is still listed as live      | b1 reports that it leaves                                | 40      | b2, b3     |
      | one is listed as leaving and does not say so | b1 is listed as leaving                                  | 1       | b2, b3     |
      | the list goes back to an older state         | b1 is listed as leaving and then as live                 | 10      | b2, b3     |
      | one is listed as live again for long enough  | b1 is listed as leaving and then as live                 | 40      | b1, b2, b3 |
      | one stops reporting and stays listed         | b1 stops reporting                                       | 6       | b2, b3     |
      | one refuses connections and stays listed     | b1 refuses connections                                   | 1       | b2, b3     |
      | a live one is missing from the list          | b1 is missing from the list                              | 40      | b1, b2, b3 |
      | a dead one is missing from the list          | b1 is missing from the list; b1 stops reporting          | 12      | b2, b3     |
      | the list is empty for a while                | all are missing from the list                            | 40      | b1, b2, b3 |
      | the list is empty and one leaves             | all are missing from the list; b1 reports that it leaves | 2       | b2, b3     |
      | a new process at another address             | b1 starts again elsewhere and reports                    | 3       | b1, b2, b3 |
      | a malformed report                           | b1 sends a malformed report                              | 6       | b2, b3     |
      | a report that comes late                     | an old report of b1 arrives late                         | 6       | b2, b3     |

  Scenario Outline: The watcher notices that a backend server <what>
    Given a router's watcher and 4 engine stand-ins
    When an engine stand-in <what>
    Then the router stops using it after at most <polls> polls of it

    Examples:
      | what                        | polls |
      | reports that it leaves      | 2     |
      | stops and stays on the list | 2     |

  Scenario: Each router selects a stable subset that covers the zones
    Given 2800 replicas in 29 pools and 8 zones, and 540 routers
    Then each router selects at least 8 and at most 11 of each pool and one of each zone
    And a replica is selected by at most 3 times as many routers as the average
    And removing a replica changes the subset of a router by at most one
    And the weights of a router's subset add up to all replicas

  Scenario: Polling keeps within its byte rate
    Then the polling period grows with the backend servers and is at least 250 ms
