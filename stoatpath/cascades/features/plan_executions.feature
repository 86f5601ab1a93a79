Feature: A request goes up its cascade only as far as it needs

  Scenario Outline: What follows from the rating of a cheap answer
    Given a plan of a cheap and a dear version at the target 0.7
    When the cheap answer is rated <cheap>
    Then another stage runs: <goes_on>

    Examples:
      | cheap | goes_on |
      | 0.95  | no      |
      | 0.70  | no      |
      | 0.69  | yes     |
      | 0.00  | yes     |

  Scenario Outline: The best rated answer is returned and every stage is billed
    Given a plan of a cheap and a dear version at the target 0.7
    When the cheap answer is rated <cheap>
    And the dear answer is rated <dear>
    Then the answer of the <returned> version is returned
    And 2 stages are billed

    Examples:
      | cheap | dear | returned |
      | 0.60  | 0.90 | dear     |
      | 0.60  | 0.50 | cheap    |
      | 0.60  | 0.60 | dear     |
      | 0.60  | none | dear     |

  Scenario Outline: An answer without a rating goes by what is known of its version
    Given a plan of a cheap and a dear version at the target 0.7
    And the cheap version was rated <rating> 50 times
    When the cheap answer is rated none
    Then another stage runs: <goes_on>

    Examples:
      | rating | goes_on |
      | 0.95   | no      |
      | 0.40   | yes     |

  Scenario: No stage is begun that can't end in time
    Given a plan of a cheap and a dear version at the target 0.7
    And the dear version takes 20 seconds
    And the deadline is in 5 seconds
    When the cheap answer is rated 0.1
    Then another stage runs: no
    And the answer of the cheap version is returned

  Scenario: A later stage that fails leaves the answer in hand
    Given a plan of a cheap and a dear version at the target 0.7
    When the cheap answer is rated 0.6
    And the dear stage fails
    Then another stage runs: no
    And the answer of the cheap version is returned
    And 1 stages are billed

  Scenario: Of any ratings the highest is returned, and an accepted one ends it
    Then for any two ratings the returned answer is the best of those that ran
