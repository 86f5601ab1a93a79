Feature: A part of a configuration that is unreadable or gone opens nothing and stops nothing else

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
