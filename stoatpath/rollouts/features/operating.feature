Feature: Operators halt, resume and retry a roll-out

  Scenario Outline: What <action> changes
    Given a roll-out whose state is <before>
    When an operator plans to <action> it
    Then the configuration stays valid, its state is <after> and the trial is <trial>

    Examples:
      | before  | action | after   | trial |
      | running | halt   | halted  | 1     |
      | halted  | resume | running | 1     |
      | halted  | retry  | running | 2     |
      | running | retry  | running | 2     |

  Scenario: A roll-out that does not exist
    Given a roll-out whose state is running
    When an operator plans to halt another one
    Then the problem lists the existing roll-outs
