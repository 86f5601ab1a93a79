Feature: Router processes stop, pause and die under load without breaking guarantees

  Scenario: A router that gets SIGTERM completes its open requests
    Given a site of 3 router processes under load
    When one router is sent SIGTERM while streams are open on it
    Then it exits with 0
    And every request of the load was completed
    And each completed request is billed exactly once, and bookings ran at most once

  Scenario: All routers restart gracefully, one after another
    Given a site of 3 router processes under load
    When each router is sent SIGTERM and started again in turn
    Then they exit with 0
    And every request of the load was completed
    And each session kept its version
    And each completed request is billed exactly once, and bookings ran at most once

  Scenario: All routers are killed and restarted in turn, with time for failure detection
    Given a site of 3 router processes under load
    When each router is sent SIGKILL and started again in turn
    Then more than 50 requests were completed, and none with the outcome not-run ran
    And each session kept its version
    And each completed request is billed exactly once, and bookings ran at most once

  Scenario: A router is paused and resumes
    Given a site of 3 router processes under load
    When one router is sent SIGSTOP, and SIGCONT after the others consider it dead
    Then more than 50 requests were completed, and none with the outcome not-run ran
    And each session kept its version
    And each completed request is billed exactly once, and bookings ran at most once

  # Guards against requests that are cut as a terminal or a process group ends.
  Scenario: A router that gets SIGHUP goes on
    Given a site of 3 router processes under load
    When one router is sent SIGHUP while streams are open on it
    Then it runs on
    And every request of the load was completed
    And each completed request is billed exactly once, and bookings ran at most once

  Scenario: A second signal logs the open requests and interrupts none
    Given a router process with a stream of 2 seconds open
    When it is sent SIGTERM twice
    Then it logs the open request and exits with 0 after the stream is complete

  Scenario: The shutdown time is bounded
    Given a router process with a stream of 60 seconds open
    When it is sent SIGTERM with a shutdown timeout of 1 second
    Then it exits with 1, and the stream has no end marker

  # Guards against requests that are cut without an answer at the end of a shutdown.
  Scenario: A request that outlasts the shutdown time is answered
    Given a router process with a stream of 60 seconds open
    When it is sent SIGTERM with a shutdown timeout of 1 second, and an unstreamed one
    Then it exits with 1, and the unstreamed one is answered with 503, outcome unknown
