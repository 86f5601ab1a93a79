Feature: Counts, steps and verdicts converge despite network faults

  Scenario: Counts converge
    Then counts sent with loss, duplication and reordering converge to the true counts

  Scenario: Counts of a restarted router add to those of its earlier incarnation
    Given a router that counted 3 ratings
    When it restarts and counts 2 ratings
    Then the owner counts 5 ratings

  Scenario: Suspensions hold until a later trial
    Then no order of verdicts, restarts, gossip and configurations breaks suspension

  Scenario Outline: Updates from processes of other software versions
    When the update "<update>" is merged
    Then <result>

    Examples:
      | update                                                           | result                  |
      | {"verdicts":[{"version":"m@2","trial":1}]}                       | m@2 is suspended        |
      | {"verdicts":[{"version":"m@2","trial":1,"color":1}],"other":[1]} | m@2 is suspended        |
      | {"steps":[{"version":"m@2","trial":1,"index":1,"age":3}]}        | m@2 has reached step 1  |
      | {}                                                               | m@2 is not suspended    |
