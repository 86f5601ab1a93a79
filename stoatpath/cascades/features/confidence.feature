Feature: A cascade by confidence escalates only where that pays off

  Scenario: A larger model that begins late is used less, until the lateness has decayed
    Given a cascade whose larger model began 20 of its last 20 answers late
    Then an answer is accepted from a confidence of at most 15
    And after 20 seconds without answers the threshold is at least 45

  Scenario: A larger model that begins in time is used as configured
    Given a cascade whose larger model began 0 of its last 20 answers late
    Then an answer is accepted from a confidence of 55

  Scenario Outline: <why>
    Given a cascade whose larger model began 0 of its last 20 answers late
    When a request is planned <how>
    Then it runs on <models>

    Examples:
      | why                                                   | how                      | models |
      | With one attempt the largest model runs               | with one attempt         | large  |
      | A request that can't be repeated runs on the largest  | that can't be repeated   | large  |
      | A resumed stream stays on the largest model           | to resume after an event | large  |
      | Without a retry budget the largest model runs first   | without retry budget     | large  |
      | A model that the caller names is the only one         | for medium               | medium |

  Scenario: Without a retry budget the smallest model runs while the larger begins late
    Given a cascade whose larger model began 20 of its last 20 answers late
    When a request is planned without retry budget
    Then it runs on small
