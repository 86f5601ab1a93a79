Feature: A router process that was suspended checks what it knows before new work

  Scenario Outline: A version is withdrawn while a router is suspended, <store>
    Given a site and a router process of its own
    When the router process is suspended by a signal
    And requests arrive at it and the version they would get is withdrawn
    And it wakes with <store>
    Then no request ran on the withdrawn version
    And what says not-run did not run

    Examples:
      | store              |
      | the store in reach |
      | the store down     |
