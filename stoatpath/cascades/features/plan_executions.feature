Feature: A request escalates through its cascade only as far as needed

  Scenario Outline: The rating of a cheap answer decides on the next stage
    Given a plan of a cheap and an expensive version at the target 0.7
    When the cheap answer is rated <cheap>
    Then another stage runs: <runs>

    Examples:
      | cheap | runs |
      | 0.95  | no   |
      | 0.70  | no   |
      | 0.69  | yes  |
      | 0.00  | yes  |

  Scenario Outline: The best rated answer is returned and every stage is billed
    Given a plan of a cheap and an expensive version at the target 0.7
    When the cheap answer is rated <cheap>
    And the expensive answer is rated <expensive>
    Then the answer of the <returned> version is returned
    And 2 stages are billed

    Examples:
      | cheap | expensive | returned  |
      | 0.60  | 0.90      | expensive |
      | 0.60  | 0.50      | cheap     |
      | 0.60  | 0.60      | expensive |
      | 0.60  | none      | expensive |

  Scenario Outline: An answer without a rating is judged by the estimate of its version
    Given a plan of a cheap and an expensive version at the target 0.7
    And the cheap version was rated <rating> 50 times
    When the cheap answer is rated none
    Then another stage runs: <runs>

    Examples:
      | rating | runs |
      | 0.95   | no   |
      | 0.40   | yes  |

  Scenario: A stage that can't end before the deadline is not started
    Given a plan of a cheap and an expensive version at the target 0.7
    And the expensive version takes 20 seconds
    And the deadline is in 5 seconds
    When the cheap answer is rated 0.1
    Then another stage runs: no
    And the answer of the cheap version is returned

  Scenario: When a later stage fails, the earlier answer is returned
    Given a plan of a cheap and an expensive version at the target 0.7
    When the cheap answer is rated 0.6
    And the expensive stage fails
    Then another stage runs: no
    And the answer of the cheap version is returned
    And 1 stages are billed

  Scenario: The answer with the highest rating is returned, and an accepted one ends the cascade
    Then for any two ratings the returned answer is the best of those that ran
