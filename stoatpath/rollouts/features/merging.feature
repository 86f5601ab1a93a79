Feature: Counts, steps and verdicts merge whatever the network does

  Scenario: Counts converge
    Then counts sent with loss, doubling and reordering converge to what was counted

  Scenario: Counts of a restarted router add to those of its earlier incarnation
    Given a router that counted 3 ratings
    When it restarts and counts 2 ratings
    Then the judge knows 5 ratings

  Scenario: Suspensions hold until a later trial
    Then no order of verdicts, restarts, gossip and configurations breaks suspension

  Scenario Outline: News of other releases
    When the news "<news>" is merged
    Then <result>

    Examples:
      | news                                                             | result                  |
      | {"verdicts":[{"version":"m@2","trial":1}]}                       | m@2 is suspended        |
      | {"verdicts":[{"version":"m@2","trial":1,"color":1}],"other":[1]} | m@2 is suspended        |
      | {"steps":[{"version":"m@2","trial":1,"index":1,"age":3}]}        | m@2 has reached step 1  |
      | {}                                                               | m@2 is not suspended    |
