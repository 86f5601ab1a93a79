Feature: A load run tells kept promises from broken ones

  Scenario: Under load and faults every promise is kept
    Given a load of 40 requests a second for 2 seconds with faults
    When it is run against a site
    Then at least 40 requests were sent and all checks are kept

  Scenario Outline: Each broken promise is found
    Given the result of a load run in which every promise was kept
    When <broken>
    Then the check "<check>" is broken and no other

    Examples:
      | broken                              | check                                       |
      | a request got no reply              | every request gets a reply                  |
      | a record is missing in the ledger   | a whole answer is billed once               |
      | a record stands twice in the ledger | a whole answer is billed once               |
      | a record of another request appears | only answered or `unknown` requests are billed     |
      | a call ran twice                    | a call that may not be repeated runs once   |
      | a refused request ran after all     | `not-run` did not run                       |
      | an answer names another request     | an answer is whole and the caller's own     |

  Scenario: A plan beyond the bounds is refused
    Given a plan of 600 seconds
    Then it is refused
