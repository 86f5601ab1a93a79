Feature: A silent exchange ends early only if its backend server is unreachable

  # Guards against streams that are sent elsewhere while a healthy backend server pauses.
  Scenario Outline: <case>: the exchange <result>
    Given a backend server that sends nothing from 0 ms to <until> ms
    And that <accepts> connections meanwhile, after <delay> ms
    Then the exchange <result>

    Examples:
      | case                       | until | accepts        | delay | result                     |
      | queued                     | 9000  | accepts        | 0     | goes on                    |
      | silent for a second        | 1300  | doesn't accept | 400   | goes on                    |
      | silent for a second, reset | 1300  | doesn't accept | 0     | goes on                    |
      | gone without a word        | 99000 | doesn't accept | 400   | ends within 2000 ms        |
      | gone, refuses              | 99000 | doesn't accept | 0     | ends within 2000 ms        |
