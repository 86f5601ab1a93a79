Feature: A planned stop cuts off no request that was accepted

  Scenario: A request is in the kernel's buffer when idle connections are closed
    Given a gateway with a kept connection
    When a request is written to it and idle connections are closed at once
    Then the request is answered

  Scenario: A request comes after the last open one has ended
    Given a gateway that has ended its open requests
    When a request comes on a new connection while the gateway closes
    Then it is answered, or its connection is refused

  Scenario: The head of a request has arrived in part when the stop ends
    Given a gateway with a connection on which half a head has arrived
    When the gateway stops and the other half comes 100 ms after its last request
    Then the request is answered

  Scenario: A router gets the second half of a head while it closes
    Given a router with a connection on which half a head has arrived
    When the router stops and the other half comes after its last request
    Then the request is answered

  Scenario: A gateway process gets SIGTERM twice under load
    Given a gateway process under load on kept and new connections
    When it is sent SIGTERM twice
    Then it exits with 0 within its grace period
    And each request was answered, or its connection refused after the stop began

  # Guards against requests that a stopping gateway accepts, sends to a backend server, and
  # cuts before their answer.
  Scenario Outline: Requests that take 2 s come while a gateway stops
    Given a gateway with a grace period of 8 s, and backend servers with <slots> slots
    When <route> requests with a time limit of 4 s come until it has ended
    Then each is answered with 200, 504, or with 503 and never ran
    And those in its first 2 s are answered with <first>
    And those later than 3.1 s, which might not end in time, never ran

    Examples:
      | route | slots | first            |
      | book  | 64    | 200              |
      | look  | 64    | 200              |
      | book  | 4     | 200, 503 or 504 |

  # Guards against requests that are cut, since a configuration no longer has their route.
  Scenario Outline: A route is dropped while its request <state>
    Given a gateway with a grace period of 8 s, and backend servers with <slots> slots
    When a configuration without the route of 4 open book requests comes into force
    Then these requests are answered with 200
    And a new one is answered with 404

    Examples:
      | state            | slots |
      | runs             | 64    |
      | waits for a slot | 1     |

  Scenario Outline: A gateway process gets SIGTERM <delay> ms after its start
    When a gateway process gets SIGTERM after <delay> ms
    Then it has ended within its grace period

    Examples:
      | delay |
      | 50    |
      | 700   |
      | 1100  |
      | 1500  |

  Scenario: A router process gets SIGTERM while it waits for the table
    When a router process whose table is silent gets SIGTERM after 2500 ms
    Then it has ended within 12 s
