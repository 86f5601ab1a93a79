Feature: A caller who has left is not served

  # Guards against requests that wait in a gateway and are sent after their callers left.
  Scenario Outline: Callers of <route> requests leave while these wait for a slot
    Given a gateway before one backend server that runs 2 requests at a time, 600 ms each
    When 12 callers send <route> requests, and those after the second leave after 150 ms
    Then no request arrives at the backend server later than 500 ms after its caller has left
    And the requests of the callers that stayed are answered with 200

    Examples:
      | route |
      | book  |
      | look  |
      | tell  |

  Scenario: A caller leaves while the connection of its request opens
    Given a gateway before one backend server whose connections open after 400 ms
    When a caller sends a book request and leaves after 100 ms
    Then no request arrives at the backend server

  # Guards against streams that run on, since nothing tells that their caller has left.
  Scenario Outline: The caller of a <route> request leaves within a pause of 2 s
    Given a gateway before backend servers whose events come every 2000 ms
    When the caller of a <route> request leaves after 300 ms
    Then its run is cancelled within 500 ms

    Examples:
      | route |
      | chat  |
      | tell  |

  Scenario: A request that may run once runs to its end once it has been sent
    Given a gateway before one backend server that runs 2 requests at a time, 600 ms each
    When 2 callers send book requests, and those after the first leave after 150 ms
    Then all 2 requests ran to their end
