Feature: Nothing is sent on a permission that expired while a connection was opened

  Scenario: A gateway that fails closed is paused for longer than its keys are valid
    Given a gateway that fails closed, with a bound of 1000 ms on revoked keys
    And its process is paused for 1500 ms as a connection opens
    When a caller sends a look request
    Then it is answered 503 and no backend server got it

  Scenario: A key is revoked while a connection opens
    Given a gateway with rows of all tables
    And a connection that takes 400 ms, in which the key of the caller is revoked
    When a caller sends a look request
    Then it is answered 503 and no backend server got it

  # Guards against requests that run for an organisation that no longer holds their key.
  Scenario: A key passes to another organisation while a connection opens
    Given a gateway with rows of all tables
    And a connection that takes 400 ms, in which another organisation gets the key
    When a caller sends a look request
    Then it is answered 503 and no backend server got it

  # Guards against requests that are reset, since the idle time of their connection ended
  # in the same pause of the process in which they arrived.
  Scenario Outline: A process is paused while a request arrives and its idle time ends: <loop>
    Given a gateway on <loop> whose idle connections are closed after 600 ms
    And a kept connection to it
    When the event loop stands still for 900 ms and a request arrives meanwhile
    Then the request on the kept connection is answered
    And the connection is closed after 600 ms without a request

    Examples:
      | loop    |
      | asyncio |
      | uvloop  |

  Scenario: A backend server begins to leave while a connection to it opens
    Given a gateway with rows of all tables
    And a connection that takes 400 ms, in which its backend server begins to leave
    When a caller sends a look request
    Then it is answered 200 by the other backend server alone

  Scenario: A roll-out is rolled back while a connection opens
    Given a gateway with rows of all tables
    And a connection that takes 400 ms, in which its backend server is no candidate
    When a caller sends a look request
    Then it is answered 200 by the other backend server alone

  Scenario: A permit expires while the process is paused
    Given a gateway with rows of all tables
    And all backend servers name a limit of 2000 requests a second
    And its process is paused for 600 ms as a connection opens
    When a caller sends a look request
    Then it is answered 200 by an attempt with a new permit

  Scenario: The deadline of a request passes while the process is paused
    Given a gateway with rows of all tables
    And its process is paused for 1200 ms as a connection opens
    When a caller sends a look request
    Then it is answered 504 or 503 and no backend server got it

  Scenario: The process is paused between a retry's place in the budget and its send (pure)
    Given a retry budget with room for one extra send
    When the process is paused for 5 s after a retry was counted
    Then the retry is sent only if there is room for another one
