Feature: Versions are rolled out and suspended across a site

  Background:
    Given a site with 2 routers and the sample configurations

  Scenario: A bad version is suspended at every router
    Given the service runs on tern-small alone
    And version 2 of tern-small answers with quality 0.2
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    Then no engine runs it for later requests
    And the verdict is stored

  Scenario: A version whose requests fail is suspended at every router
    Given the service runs on tern-small alone
    And version 2 of tern-small fails on every engine
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    Then no engine runs it for later requests

  Scenario: A good version becomes the current one
    Given the service runs on tern-small alone
    And a session that began on version 1
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is the current version
    Then that session is still on version 1
    And new requests run on version 2

  Scenario: Of two concurrent roll-outs of one service only the bad one is suspended
    Given all requests are for the purpose lease-summary
    And version 2 of tern-large answers with quality 0.2
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And version 2 of tern-large is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    Then version 2 of tern-small is not suspended

  Scenario: A version degrades while the store is down
    Given the service runs on tern-small alone
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it gets a share of the traffic
    And the store goes down
    And version 2 of tern-small degrades
    And requests are sent until it is suspended
    Then a new router gets the verdict from its peers
    And the verdict is stored once the store has recovered

  Scenario: Every instance is replaced after the verdict was stored
    Given the service runs on tern-small alone
    And version 2 of tern-small answers with quality 0.2
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    And the verdict is stored
    And every router and controller is replaced
    Then no engine runs it for later requests

  Scenario Outline: A roll-out continues after its controller is replaced at step <index>
    Given the service runs on tern-small alone
    When version 2 of tern-small is rolled out in the steps 0.3, 0.6, 1.0
    And requests are sent until every router has reached step <index>
    And the controller is replaced
    Then every router is still at step <index> or later
    When requests are sent until it is the current version
    Then new requests run on version 2

    Examples:
      | index |
      | 0     |
      | 1     |
      | 2     |

  Scenario: An operator lifts a suspension with a new trial
    Given the service runs on tern-small alone
    And version 2 of tern-small answers with quality 0.2
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    And version 2 of tern-small is fixed and gets a new trial
    And requests are sent until it is the current version
    Then new requests run on version 2

  Scenario: A roll-out doesn't advance while the store is down
    Given the service runs on tern-small alone
    When version 2 of tern-small is rolled out in the steps 0.3, 0.6, 1.0
    And requests are sent until it gets a share of the traffic
    And the store goes down
    And 80 requests are sent
    Then the lowest step in force at any router is 0
    When the store has recovered
    And requests are sent until every router has reached step 1
    Then every router is still at step 1 or later

  Scenario: An operator withdraws a version during its roll-out
    Given the service runs on tern-small alone
    When version 2 of tern-small is rolled out in the steps 0.3, 0.6, 1.0
    And requests are sent until it gets a share of the traffic
    And an operator withdraws version 2 of tern-small
    Then no engine runs it for later requests
