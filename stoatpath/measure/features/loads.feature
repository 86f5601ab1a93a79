Feature: Load runs check guarantees and report each violation

  Scenario: All guarantees hold under load and faults
    Given a load of 40 requests a second for 2 seconds with faults
    When the load runs against a site
    Then at least 40 requests were sent and all checks pass

  Scenario Outline: Each violated guarantee is reported
    Given the result of a load run without violations
    When <violation>
    Then only the check "<check>" fails

    Examples:
      | violation                                     | check                                          |
      | a request got no reply                        | every request gets a reply                     |
      | a billing record is missing from the ledger   | a whole answer is billed once                  |
      | a billing record is in the ledger twice       | a whole answer is billed once                  |
      | the ledger has a record of an unknown request | only answered or `unknown` requests are billed |
      | a call ran twice                              | a call that may not be repeated runs once      |
      | a request with the outcome `not-run` ran      | `not-run` did not run                          |
      | an answer has the id of another request       | an answer is whole and the caller's own        |

  Scenario: A plan that exceeds the limits is rejected
    Given a load plan of 600 seconds
    Then the plan is rejected
