Feature: A gateway that stops answers all that it has taken

  # Guards against requests that are taken late in a grace period and cut without an
  # answer, on kept connections, new ones, behind another request, and in any route.
  Scenario Outline: Backend servers work longer than a gateway that stops has left
    Given a gateway with a grace period of <grace> s, whose backend servers take 30 s
    When requests with <limit> come on all routes until the gateway has ended
    Then each is answered, or is a stream that is visibly cut, or its connection refused
    And those answered with 503 never ran, name a time to retry and say close
    And none began to run that might not end before the gateway
    And backend servers were given no time beyond the end of the gateway

    Examples:
      | grace | limit                   |
      | 3     | no time limit           |
      | 3     | a time limit of 700 ms  |
      | 1     | a time limit of 20000 ms |
      | 0     | no time limit           |

  # Guards against requests that are dropped since the answer before them says close.
  Scenario: Two requests come at once on a kept connection of a gateway that stops
    Given a gateway with a kept connection
    When two book requests are written to it at once as the gateway stops
    Then both are answered with 200, and the second answer says close

  # Guards against requests whose body ends late in the grace period.
  Scenario Outline: A body that <body> while a gateway stops arrives late
    Given a gateway with a grace period of 3 s, whose backend servers take 30 s
    When a book request whose body <body> comes 0.3 s after the stop began
    Then it is answered with 503 and has not run

    Examples:
      | body                    |
      | takes 1.4 s             |
      | is awaited and takes 1.4 s |
      | never ends              |

  # Guards against requests that get a slot when they can't end any more.
  Scenario: Requests wait for a slot while a gateway stops
    Given a gateway with a grace period of 3 s, whose backend servers take 0.8 s
    And it has 1 slot
    When 5 book requests come 0.1 s after the stop began
    Then 2 are answered with 200, and the others with 503 within 1.5 s of the stop

  # Guards against answers that callers don't get whole since they read slowly.
  Scenario: Callers read slowly while a gateway stops
    Given a gateway with a grace period of 3 s, whose backend servers take 0.1 s
    When a caller takes 1 s to read an answer of 4 MB
    Then the answer is whole

  # Guards against what a pause of the process or further signals change.
  Scenario Outline: A gateway process <event> while it stops
    Given a gateway process with a grace period of 4 s, whose backend servers take 30 s
    When it gets SIGTERM and then <event>, while requests come
    Then each is answered, or is a stream that is visibly cut, or its connection refused
    And those answered with 503 never ran, name a time to retry and say close
    And it has ended before the end of its grace period

    Examples:
      | event                    |
      | gets no other signal     |
      | gets SIGTERM and SIGHUP  |
      | is paused for 1 s        |
      | is paused until its end  |

  # Guards against attempts that begin late in a grace period without regard to its end.
  Scenario: A stream is carried on late in a grace period
    Given a gateway with a grace period of 3 s, whose backend servers take 30 s
    When a chat stream comes 0.1 s after the stop began, and breaks off after 9 events
    Then it was carried on by another backend server, and then visibly cut
    And both were given no time beyond the end of the gateway
