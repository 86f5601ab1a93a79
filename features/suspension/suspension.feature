Feature: A resumed router process checks its configuration before it runs new requests

  Scenario Outline: Versions are withdrawn while a router is suspended, and it resumes with <store>
    Given a site and a router process of its own
    When the router process is suspended by a signal
    And requests are sent to it and the current versions are withdrawn
    And it resumes with <store>
    Then no request ran on a withdrawn version
    And no request with the outcome not-run ran

    Examples:
      | store               |
      | the store reachable |
      | the store down      |
