Feature: Requests are routed by cached prompt prefix, load, zone and failure rate

  Scenario: All instances of a zone prefer the same backend server for a prompt
    Given 3 backend servers in zone-a and 3 in zone-b
    Then two choosers of zone-a send 50 shared prompts to the same backend servers in zone-a

  Scenario: Different prompts are spread evenly over the backend servers of the zone
    Given 3 backend servers in zone-a and 3 in zone-b
    Then 300 shared prompts of zone-a go to each of a0 a1 a2 60 to 140 times

  Scenario Outline: A prompt <verdict> when its preferred backend server <state>
    Given 2 backend servers in zone-a and 2 in zone-b
    When the preferred backend server <state>
    Then the prompt <verdict>

    Examples:
      | state                             | verdict        |
      | is idle                           | stays there    |
      | has one short request in flight   | stays there    |
      | has much prompt work pending      | goes elsewhere |
      | failed half of its answers        | goes elsewhere |
      | refused a connection         | goes elsewhere |
      | was tried before                  | goes elsewhere |
      | failed half of them 30 s ago      | stays there    |

  Scenario: A request without a shared prompt stays in its zone until the queue costs more than crossing
    Given 1 backend servers in zone-a and 1 in zone-b
    Then 2 requests in flight in zone-a keep a plain request there, 4 send it to zone-b

  Scenario: A burst of one shared prompt is spread over all backend servers
    Given 2 backend servers in zone-a and 2 in zone-b
    When 80 requests of one shared prompt come at once
    Then none of the backend servers gets more than twice its share

  Scenario: When all circuits are open, a backend server is still selected
    Given 2 backend servers in zone-a and 0 in zone-b
    When all of them refused a connection
    Then a prompt goes to one of them

  Scenario: When every backend server was tried, one of them is selected again
    Given 2 backend servers in zone-a and 0 in zone-b
    When all of them were tried
    Then a prompt goes to one of them

  Scenario: In a fleet of thousands only a sample and the preferred backend server are evaluated
    Given 1400 backend servers in zone-a and 1400 in zone-b
    Then a prompt goes to its preferred backend server, with at most 8 candidates listed
    And a plain request goes to an idle one of zone-a although 9 in 10 are busy
