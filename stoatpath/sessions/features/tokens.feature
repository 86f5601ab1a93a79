Feature: Signed tokens that any instance can verify

  Scenario Outline: A token <case>
    Given a token signed with the key "2" of the keys "1, 2"
    When it is read by an instance with the keys "<keys>", <case>
    Then it <result>

    Examples:
      | case                           | keys    | result          |
      | as it is                       | 1, 2    | yields its pin  |
      | after a newer key was added    | 1, 2, 3 | yields its pin  |
      | after older keys were dropped  | 2, 3    | yields its pin  |
      | after its own key was dropped  | 1, 3    | is not accepted |
      | with its version changed       | 1, 2    | is not accepted |
      | with its signature cut         | 1, 2    | is not accepted |
      | with another key's signature   | 1, 2    | is not accepted |
      | sent by another organisation   | 1, 2    | is not accepted |
      | sent to another service        | 1, 2    | is not accepted |

  Scenario: Only text that was signed with a known key is accepted
    Then any text, and any change of a token, yields no pin or the same one
