Feature: A gateway's logs are bounded and never block on a slow reader

  Scenario: When the reader stops, lines are dropped and logging doesn't block
    Given a handler on a pipe without a reader
    When 5000 lines are logged
    Then no call blocked, and the lines that didn't fit are counted

  Scenario: The number of dropped lines is logged once there is room again
    Given a handler on a pipe without a reader
    When 5000 lines are logged
    And the pipe is read and another line is logged later
    Then a line reports how many were dropped

  Scenario: A burst of lines is limited to the budget, with a reserve for warnings
    Given a handler with a line budget on a pipe with a reader
    When 3000 lines and then 100 warnings are logged at once
    Then at most 1000 lines were written, all warnings among them

  Scenario: The longest fields of a line that is too long for the pipe are removed
    Given a handler with a line budget on a pipe with a reader
    When a line with a field of 100000 characters is logged
    Then a line shorter than 4096 bytes has its event and its request

  Scenario: A request is logged in one line with its decisions
    Given a request log
    When a request is routed, fails once and is served
    Then one line has both decisions, the outcome and the duration

  Scenario: Requests that never end don't take unbounded memory
    Given a request log
    When 20000 requests begin and none ends
    Then at most 5000 traces are stored
