Feature: Work of a machine that was only silent is neither repeated nor given up

  Scenario Outline: A gateway on <loop> is paused for longer than a stream may pause
    Given a gateway on <loop> whose backend servers may pause for 800 ms within a stream
    And a backend server in a thread of its own sends an event each 300 ms
    When the gateway is paused for 1300 ms while a caller reads a chat stream
    Then the answer is whole and the thread got one request

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario: The entry of a backend server goes away and it accepts no connections
    Given a gateway whose backend servers may pause for 6000 ms within a stream
    And streams with 400 ms between events
    When the entry and the listener of its backend server go away during a chat stream
    Then the answer is whole and one backend server got one request

  Scenario: A caller reads nothing for a while and the backend server accepts no connections
    Given a backend server with a large stream that stops listening as it is sent
    When its caller reads nothing for 2000 ms, and then everything
    Then the answer is whole and the backend server got one request
