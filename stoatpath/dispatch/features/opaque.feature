Feature: Relayed streams are split at events, and extra sends are limited

  Scenario Outline: Events <what>
    Given the bytes <chunks>
    When they are split after event <start>
    Then the events <passed> are relayed
    And the rest is <verdict>

    Examples:
      | what                          | start | chunks                             | passed | verdict  |
      | that arrive complete          | 0     | id: 1\nx\n\n id: 2\nx\n\n          | 1 2    | complete |
      | that arrive in parts          | 0     | id: 1\nx \n \nid: 2\n x\n\n        | 1 2    | complete |
      | whose last one is truncated   | 0     | id: 1\nx\n\n id: 2\nx              | 1      | partial  |
      | that resume after an event    | 7     | id: 8\nx\n\n                       | 8      | complete |
      | that rise by more than one    | 0     | id: 1\nx\n\n id: 3\nx\n\n          | 1 3    | complete |
      | of which one comes twice      | 0     | id: 1\nx\n\n id: 1\nx\n\n          | 1      | broken   |
      | that begin too early          | 7     | id: 7\nx\n\n                       |        | broken   |
      | with a line before the number | 0     | v: 2\nid: 1\nx\n\n                 | 1      | complete |
      | with a broken number          | 0     | id: one\nx\n\n                     |        | broken   |

  Scenario: The relayed events do not depend on how the stream is divided into chunks
    Given any division into chunks of a stream of 20 events
    Then each complete event is relayed once, in order

  Scenario: Extra sends stay within the ratio in every window
    Given a budget of 0.9 of the requests in 10000 ms
    When requests and retries come in any order
    Then no window holds more extra sends than the ratio allows

  Scenario: Requests older than the window no longer count
    Given a budget of 0.9 of the requests in 10000 ms
    When 10 requests spend as much as allowed
    Then nothing remains, and nothing is regained after 20000 ms

  Scenario: Hedges leave their reserve of the budget to retries
    Given a budget of 0.9 of the requests in 10000 ms
    When 20 requests spend as much as allowed on hedges
    Then at least 8 extra sends remain for retries
