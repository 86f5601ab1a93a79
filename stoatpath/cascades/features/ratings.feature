Feature: Every rating updates the estimates, in time or late

  Scenario: Drift shows within a hundred ratings
    Given a version that was rated 0.9 1000 times
    When it is rated 0.3 100 times more
    Then the probability that it reaches the target is under 0.3

  Scenario: Ratings of escalated requests have estimates of their own
    Given a version that was rated 0.9 100 times
    When it is rated 0.3 100 times more as a later stage
    Then the probability that it reaches the target is over 0.9

  Scenario Outline: A rating that fails or is late is not returned
    Given a rating service that answers 0.8 <how>
    When an answer is rated with 20 ms to its deadline
    Then the rating is <rating>
    And <recorded> ratings are recorded in the end

    Examples:
      | how          | rating | recorded |
      | at once      | 0.8    | 1       |
      | after 60 ms  | none   | 1       |
      | with a fault | none   | 0       |

  Scenario: The number of open rating calls is bounded
    Given a rating service that answers 0.8 after 60 ms
    When 250 answers are to be rated later
    Then the rating service was called 200 times

  Scenario: A last answer with a lower rating is not returned, and both stages are billed
    Given a site whose cheap answers are rated 0.65 and expensive ones 0.4
    When a guest question is asked that starts on the cheap version
    Then it is answered by the cheap version
    And the ledger holds the cheap and the expensive stage

  Scenario: When the last stage fails, the earlier answer is returned
    Given a site whose cheap answers are rated 0.65 and expensive ones 0.9
    And every expensive engine answers with an error
    When a guest question is asked that starts on the cheap version
    Then it is answered by the cheap version
    And the ledger holds the cheap stage alone
