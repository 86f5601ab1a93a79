Feature: Circuit breakers stop requests to failing backend servers

  Scenario Outline: What opens a circuit
    Given a breaker of one backend server
    When <count> attempts end with <ending>
    Then the circuit is <state>

    Examples:
      | count | ending             | state  |
      | 1     | connect-failed     | open   |
      | 3     | broken-answer      | open   |
      | 3     | foreign-answer     | open   |
      | 3     | backend-error      | open   |
      | 3     | silent-connection  | open   |
      | 3     | refused-by-backend | open   |
      | 2     | broken-answer      | closed |
      | 2     | refused-by-backend | closed |
      | 9     | timed-out          | closed |
      | 9     | caller-gone        | closed |
      | 9     | success            | closed |

  Scenario: A success resets the count of consecutive failures
    Given a breaker of one backend server
    When 2 attempts end with backend-error
    And 1 attempts end with success
    And 2 attempts end with backend-error
    Then the circuit is closed

  Scenario: After the open time the circuit is half-open: one probe is sent at a time
    Given a breaker of one backend server
    When 3 attempts end with connect-failed
    And its open time has passed
    Then the circuit is closed
    When a request is sent
    Then the circuit is open
    When 1 attempts end with success
    Then the circuit is closed

  Scenario: A failed probe extends the open time
    Given a breaker of one backend server
    When 3 attempts end with connect-failed
    And its open time has passed
    And a request is sent
    And 1 attempts end with connect-failed
    Then it stays open for 500 ms at least

  Scenario: A probe without a result blocks only until its timeout
    Given a breaker of one backend server
    When 3 attempts end with connect-failed
    And its open time has passed
    And a request is sent
    And 5001 ms pass
    Then the circuit is closed

  Scenario: With every circuit open, requests are still sent
    Given 4 backend servers that serve a version
    And every circuit is open
    When 20 choices are made
    Then none of them failed

  Scenario: A backend server whose circuit closed gets its load gradually (slow start)
    Given 2 backend servers that serve a version
    And the circuit of the first closed 100 ms ago
    When 50 choices are made
    Then the first was chosen less than 10 times
