Feature: Versions are rolled out and suspended at a whole site

  Background:
    Given a site with 2 routers and the sample configurations

  Scenario: A bad version is suspended at every router
    Given the service runs on tern-small alone
    And version 2 of tern-small answers with quality 0.2
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    Then no engine runs it for requests sent after
    And the verdict is stored

  Scenario: A version that fails is as bad as one that answers badly
    Given the service runs on tern-small alone
    And version 2 of tern-small fails on every engine
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    Then no engine runs it for requests sent after

  Scenario: A good version becomes the current one
    Given the service runs on tern-small alone
    And a session that began on version 1
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is the current version
    Then that session is still on version 1
    And new work runs on version 2

  Scenario: Of two roll-outs at once for one service only the bad one is suspended
    Given all requests are for the purpose lease-summary
    And version 2 of tern-large answers with quality 0.2
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And version 2 of tern-large is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    Then version 2 of tern-small is not suspended

  Scenario: A version turns bad while the store is down
    Given the service runs on tern-small alone
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it has a share
    And the store goes down
    And version 2 of tern-small turns bad
    And requests are sent until it is suspended
    Then a router that starts now knows the verdict from its peers
    And the verdict is stored once the store is back

  Scenario: Every instance is replaced after the verdict was stored
    Given the service runs on tern-small alone
    And version 2 of tern-small answers with quality 0.2
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    And the verdict is stored
    And every router and controller is replaced
    Then no engine runs it for requests sent after

  Scenario Outline: A roll-out interrupted at step <index> carries on
    Given the service runs on tern-small alone
    When version 2 of tern-small is rolled out in the steps 0.3, 0.6, 1.0
    And requests are sent until it has passed <index> steps
    And the controller is replaced
    Then it has still passed <index> steps or more
    When requests are sent until it is the current version
    Then new work runs on version 2

    Examples:
      | index |
      | 0     |
      | 1     |
      | 2     |

  Scenario: An operator lifts a suspension by another trial
    Given the service runs on tern-small alone
    And version 2 of tern-small answers with quality 0.2
    When version 2 of tern-small is rolled out in the steps 0.5, 1.0
    And requests are sent until it is suspended
    And version 2 of tern-small is repaired and tried again
    And requests are sent until it is the current version
    Then new work runs on version 2

  Scenario: A step is not taken while the store is down
    Given the service runs on tern-small alone
    When version 2 of tern-small is rolled out in the steps 0.3, 0.6, 1.0
    And requests are sent until it has a share
    And the store goes down
    And 80 requests are sent
    Then it has passed 0 steps at every router
    When the store is back
    And requests are sent until it has passed 1 steps
    Then it has still passed 1 steps or more

  Scenario: An operator withdraws a version while it is rolled out
    Given the service runs on tern-small alone
    When version 2 of tern-small is rolled out in the steps 0.3, 0.6, 1.0
    And requests are sent until it has a share
    And an operator withdraws version 2 of tern-small
    Then no engine runs it for requests sent after
