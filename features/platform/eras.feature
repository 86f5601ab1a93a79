Feature: Gateways carry on when the store comes back from an older copy

  # Guards against copies that take no version of the store's new era, and go stale.
  Scenario Outline: <count> gateways follow the store into its new era
    Given <count> gateways that know each other, and a copy of the store
    When 5 configurations are written, and the store comes back from the copy
    Then no gateway goes back to an earlier configuration
    And all gateways confirm their routes again within 3 s
    And they put the next configuration in force that the operator writes

    Examples:
      | count |
      | 1     |
      | 3     |

  # Guards against a change that is missed, as its version was given out before.
  Scenario: Versions that are given out again hide no change
    Given 1 gateways that know each other, and a copy of the store
    When a backend server is listed, and the store comes back from the copy with another instead
    Then all gateways list the other one, and in the end not the first

  Scenario Outline: A roll-out that was <state> stays so when its record is lost
    Given 3 gateways that know each other, and a copy of the store
    And a roll-out that is then <state>
    When the store comes back from the copy, and the operator writes the order again
    Then the store holds the status <state> again within 10 s
    And no gateway has an open roll-out

    Examples:
      | state       |
      | completed   |
      | rolled_back |

  # Guards against roll-outs that run again: a gateway that starts later finds a status
  # of another order.
  Scenario Outline: An order is written again after its status <state> was restored
    Given 3 gateways that know each other, and a copy of the store
    And a roll-out that is then <state>
    When the store comes back from the copy, and the order is written again after its status
    Then the store holds the status <state> again within 10 s
    And a gateway that starts then has no open roll-out

    Examples:
      | state       |
      | completed   |
      | rolled_back |

  Scenario: A backend server that was leaving goes on to leave
    Given 1 gateways that know each other, and a copy of the store
    When backend server p0 begins to leave, and the store comes back from the copy
    Then all gateways confirm their routes again within 3 s
    And p0 gets no look request

  Scenario: A condition on a version of an earlier era can't be met
    Given 1 gateways that know each other, and a copy of the store
    When a row is written, and the store comes back from the copy with another row of that version
    Then a write on condition of the first row's version is refused
