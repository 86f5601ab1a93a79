Feature: A request that waits gets a slot or an answer, and no slot is lost

  Scenario Outline: A slot freed in the same turn as the request <ending>
    Given a gate with one slot that is taken
    When a request waits and the slot is freed in the turn in which it <ending>
    Then the slot is free again

    Examples:
      | ending       |
      | times out    |
      | is cancelled |

  Scenario: Random endings leave every slot free
    Then any order of arrivals, timeouts, cancellations and releases frees all slots
