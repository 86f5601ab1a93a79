Feature: New work is shared between the current and the rolled-out version

  Scenario: A rising share moves keys only to the new version
    Then for any rising shares a key never goes back to the old version

  Scenario: Two roll-outs of one service are independent of each other
    When 20000 keys are assigned in two roll-outs at shares 0.2 and 0.5
    Then the share of keys on both new versions is near 0.1

  Scenario Outline: The share of a version
    Given a roll-out with the steps 0.1, 0.5, 1.0
    And <what>
    Then the new version gets a share of <share>

    Examples:
      | what                                        | share |
      | no step is known                            | 0.0   |
      | step 0 is reached                           | 0.1   |
      | step 1 is reached                           | 0.5   |
      | step 2 is reached                           | 0.8   |
      | step 3 is reached                           | 1.0   |
      | step 1 is reached by an earlier trial       | 0.0   |
      | step 1 is reached and an operator halts it  | 0.0   |
      | step 1 is reached and it is suspended       | 0.0   |
      | step 1 is reached and then step 0 arrives  | 0.5   |

  Scenario: A suspended version gets no new work, whatever its step
    Given a roll-out with the steps 0.1, 0.5, 1.0
    And step 2 is reached and it is suspended
    Then every key is assigned the old version
