Feature: A waiting request gets a slot or a failure, and no slot is lost

  Scenario Outline: A slot is released in the event loop iteration in which the request <ending>
    Given a gate with one slot, which is in use
    When a request waits and the slot is freed in the loop iteration in which it <ending>
    Then the slot is free again

    Examples:
      | ending       |
      | times out    |
      | is cancelled |

  Scenario: No slot is lost when requests end in random ways
    Then all slots are free after any arrivals, timeouts, cancellations and releases
