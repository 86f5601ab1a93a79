Feature: A backend server is chosen without looking at all of them

  Scenario: The lists by version follow every report and every change of the list
    Then after any reports and lists each version lists just those that serve it

  Scenario Outline: Backend servers that may not take the work are passed over
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

  Scenario: Nobody is left
    Given 5 backend servers that serve a version
    And all of them are leaving
    When a choice is made
    Then it is a failure that says so, with the outcome not-run

  Scenario: The work of a choice does not grow with the backend servers
    Given 2000 backend servers that serve a version
    When 50 choices are made
    Then no choice looked at more than 12 of them
