Feature: A backend server is selected from a bounded sample

  Scenario: The index by version follows every load report and every instance list
    Then after any reports and lists each version has exactly the backend servers that serve it

  Scenario Outline: Backend servers that are <state> are not selected
    Given <count> backend servers that serve a version
    And all but one of them are <state>
    When 50 choices are made
    Then each choice is the one that is left

    Examples:
      | count | state        |
      | 3     | leaving      |
      | 3     | silent       |
      | 3     | tried before |
      | 200   | leaving      |
      | 200   | silent       |
      | 200   | tried before |

  Scenario: No backend server is usable
    Given 5 backend servers that serve a version
    And all of them are leaving
    When a choice is made
    Then it is the failure no-backend, with the outcome not-run

  Scenario: The cost of a selection does not grow with the fleet
    Given 2000 backend servers that serve a version
    When 50 choices are made
    Then no choice evaluated more than 12 of them
