Feature: A part of a configuration that is unreadable or gone opens nothing and stops nothing else

  # Guards against a configuration that no instance takes, with all its changes, since one
  # part of it can't be read.
  Scenario Outline: A configuration whose <part> has <field> as <value>
    Given a deployment with a second organisation
    When a configuration comes whose <part> has <field> as <value>
    Then requests are answered so: <answers>

    Examples:
      | part         | field        | value   | answers                                            |
      | first route  | public       | "no"    | chat 503, look 200, open 200, look of another 200  |
      | first route  | kind         | "other" | chat 503, look 200, open 200, look of another 200  |
      | first tenant | priority     | -1      | chat 503, look 503, open 200, look of another 200  |
      | first tenant | api_keys     | "key"   | chat 503, look 503, open 200, look of another 200  |
      | first service | engine      | 7       | chat 503, look 200, open 200, look of another 200  |
      | limits       | max_body_bytes | "much" | chat 200, look 200, open 200, look of another 200 |

  # Guards against a revoked key that stays valid, since a part of the configuration that
  # took it away can't be read.
  Scenario: A key is taken away by a configuration with an unreadable route
    Given a deployment with a second organisation
    When a configuration comes without the second organisation and with an unreadable route
    Then requests are answered so: chat 503, look 200, open 200, look of another 401

  # Guards against a route that opens to all, since only a more general one can be read.
  Scenario: An unreadable route is under the prefix of a public one
    Given a deployment with a second organisation
    When a configuration comes in which all is public but an unreadable route
    Then requests are answered so: chat 503, look 200, open 200, look without key 200

  # Guards against a service that stops at all instances when they restart.
  Scenario: A gateway starts with a configuration of which a part can't be read
    Given a deployment with a second organisation
    When a configuration comes whose first route has timeout_ms as "long"
    And the gateway is replaced by one that starts
    Then requests are answered so: chat 503, look 200, open 200, look of another 200

  # Guards against keys that stay valid though nobody knows whether they still are.
  Scenario Outline: The operator's row is <state>, and later readable again
    Given a deployment whose keys must be confirmed within 1500 ms
    When the operator's row is <state>, and requests arrive for 2500 ms
    Then requests with a key got 200 at first and 503 at the end, and none after 1500 ms got 200
    And every public request got 200
    When the operator's row is written again
    Then requests are answered so: look 200, open 200

    Examples:
      | state             |
      | not JSON          |
      | without a version |
      | without routes    |
      | removed           |

  # Guards against routes that open to all once the configuration has no organisations.
  Scenario Outline: The organisations are <state> where callers have keys
    Given a deployment whose callers have keys
    When a configuration comes whose organisations are <state>
    Then requests are answered so: look 401, open 200, look without key 401

    Examples:
      | state   |
      | missing |
      | null    |
      | []      |
