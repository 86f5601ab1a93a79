Feature: A gateway's logging is bounded and never blocks on its reader

  Scenario: A reader that stops reading causes dropped lines, not delays
    Given a handler on a pipe that nobody reads
    When 5000 lines are logged
    Then no call has blocked, and the dropped lines are counted

  Scenario: The number of dropped lines is logged once the pipe has room again
    Given a handler on a pipe that nobody reads
    When 5000 lines are logged
    And the pipe is read and another line is logged later
    Then a line reports how many were dropped

  Scenario: A burst of lines is limited and leaves room for warnings
    Given a handler on a pipe that is read
    When 3000 lines and then 100 warnings are logged at once
    Then at most 1000 lines were written, all warnings among them

  Scenario: A line that is too long for the pipe loses its longest fields
    Given a handler on a pipe that is read
    When a line with a field of 100000 characters is logged
    Then a line of at most 4096 bytes names its event and its request

  Scenario: A request has one line with its decisions
    Given a request log
    When a request is routed, fails once and is served
    Then one line has both decisions, how it ended and how long it took

  Scenario: Requests that never end don't take unbounded memory
    Given a request log
    When 20000 requests begin and none ends
    Then at most 5000 traces are retained
