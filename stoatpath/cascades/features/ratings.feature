Feature: Ratings are learned from whenever they come

  Scenario: Drift shows within a hundred ratings
    Given a version that was rated 0.9 1000 times
    When it is rated 0.3 100 times more
    Then the chance that it is good enough is under 0.3

  Scenario: Ratings of harder requests are kept apart
    Given a version that was rated 0.9 100 times
    When it is rated 0.3 100 times more as a later stage
    Then the chance that it is good enough is over 0.9

  Scenario Outline: A rating that fails or is late is no rating in time
    Given a rating service that answers 0.8 <how>
    When an answer is rated with 20 ms to its deadline
    Then the rating is <rating>
    And <learned> ratings are learned from in the end

    Examples:
      | how          | rating | learned |
      | at once      | 0.8    | 1       |
      | after 60 ms  | none   | 1       |
      | with a fault | none   | 0       |

  Scenario: Open questions are bounded
    Given a rating service that answers 0.8 after 60 ms
    When 250 answers are to be rated later
    Then 200 questions were asked

  Scenario: A worse last answer is not returned, and both stages are billed
    Given a site whose cheap answers are worth 0.65 and dear ones 0.4
    When a guest question is asked that starts on the cheap version
    Then it is answered by the cheap version
    And the ledger holds the cheap and the dear stage

  Scenario: A failing last stage does not lose the answer in hand
    Given a site whose cheap answers are worth 0.65 and dear ones 0.9
    And every dear engine answers with an error
    When a guest question is asked that starts on the cheap version
    Then it is answered by the cheap version
    And the ledger holds the cheap stage alone
