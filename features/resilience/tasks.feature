Feature: An unexpected error ends neither a process nor one of its tasks for good

  Scenario Outline: The task <task> of a gateway fails and runs again
    Given a gateway whose <task> fails once with an unexpected error
    When 800 ms have passed
    Then <task> has run again
    And the failure is counted and logged with what its loss means

    Examples:
      | task            |
      | gossip          |
      | tables          |
      | operator-rows   |
      | server-rows     |
      | status-rows     |
      | quarantine-rows |
      | releases        |
      | maintenance     |

  Scenario: A row that raises an unexpected error is left out, and later rows apply
    Given a gateway on which revision 2 of the configuration raises an error
    When revision 2 is written together with another row, and then revision 3
    Then revision 3 is in force and the other row was applied

  Scenario: A part of a task that fails ends the others, so that none runs twice
    Given a table relay whose check of ages fails once
    When it is run under a supervisor
    Then one check of ages, one series of steps and one of versions are running

  Scenario: The failing tasks of a router run again
    Given a router whose watcher of backend servers fails once
    When 800 ms have passed on the site
    Then the router knows a backend server that was added afterwards

  Scenario: Pauses grow with jitter up to 5 s and start anew after a recovery
    Given a supervised task that fails each time
    When its failures are followed for 60 s
    Then its pauses are between half of and the full 100 ms, 200 ms and so on to 5 s
    And it counts as failing for long only after 30 s
    And it no longer does once it has run for 10 s

  Scenario: A task that returns, or whose child was cancelled, counts as failed
    Given a supervised task that returns, and one that raises CancelledError
    Then both were started again, and both end when they are cancelled

  Scenario: One of two gateways has a task that keeps failing
    Given two gateways, and a task of the first that keeps failing
    Then the first says that it is not ready and serves on, and the second is ready

  Scenario: All gateways have a task that keeps failing
    Given two gateways, and a task of both that keeps failing
    Then at least one of them is ready at every moment

  Scenario: A gateway without others stays ready while a task keeps failing
    Given a gateway alone with a task that keeps failing
    Then it stays ready
