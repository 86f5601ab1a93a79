Feature: Router processes stop, pause and die under load, and no promise breaks

  Scenario: A router that is told to stop finishes what it began
    Given a site of 3 router processes under load
    When one router is sent SIGTERM while streams are open on it
    Then it exits with 0
    And every request of the load was completed
    And what was completed is billed exactly once, and bookings ran at most once

  Scenario: All routers restart gracefully, one after another
    Given a site of 3 router processes under load
    When each router is sent SIGTERM and started again in turn
    Then they exit with 0
    And every request of the load was completed
    And each session kept its version
    And what was completed is billed exactly once, and bookings ran at most once

  Scenario: All routers are killed and started again, each once the rest has noticed
    Given a site of 3 router processes under load
    When each router is sent SIGKILL and started again in turn
    Then no answer was cut and called whole, and not-run did not run
    And each session kept its version
    And what was completed is billed exactly once, and bookings ran at most once

  Scenario: A router is paused and goes on
    Given a site of 3 router processes under load
    When one router is sent SIGSTOP, and SIGCONT after others count it as dead
    Then no answer was cut and called whole, and not-run did not run
    And each session kept its version
    And what was completed is billed exactly once, and bookings ran at most once

  Scenario: A second signal says what it would cut and cuts nothing
    Given a router process with a stream of 2 seconds open
    When it is sent SIGTERM twice
    Then it names the open request and exits with 0 after the stream ended whole

  Scenario: A stop is bounded in time
    Given a router process with a stream of 60 seconds open
    When it is sent SIGTERM and may take 1 second
    Then it exits with 1, and the stream has no end marker
