Feature: A roll-out is evaluated repeatedly while ratings arrive

  Scenario Outline: Bad versions are suspended after few ratings
    Given an evaluator of a roll-out that tolerates a drop of 0.05
    When <good> ratings are good and then the new version's mean is <mean> for <purposes>
    Then it is suspended within <ratings> ratings of the new version

    Examples:
      | good | mean | purposes    | ratings |
      | 0    | 0.6  | all         | 60      |
      | 2000 | 0.6  | all         | 100     |
      | 0    | 0.75 | all         | 400     |
      | 0    | 0.5  | one of four | 200     |

  Scenario Outline: Good versions are not suspended
    Given an evaluator of a roll-out that tolerates a drop of 0.05
    When 3000 ratings are given with <disturbance>
    Then it is never suspended

    Examples:
      | disturbance                       |
      | the same quality                  |
      | a better new version              |
      | a drop of 0.03                    |
      | a drop of 0.3 in both versions    |
      | a bias of 0.1 that comes later    |
      | no ratings of the new version     |
      | no ratings of the old version     |

  Scenario Outline: The decision of one evaluation
    Given an evaluator of a roll-out that tolerates a drop of 0.05
    When <ratings> good ratings came within <elapsed_ms> ms
    Then the decision is "<action>" because "<reason>"

    Examples:
      | ratings | elapsed_ms | action  | reason           |
      | 0       | 10000      | hold    | 0 of 200 ratings |
      | 199     | 10000      | hold    | of 200 ratings   |
      | 250     | 999        | hold    | not lasted       |
      | 250     | 1000       | advance | without evidence |

  Scenario: The e-value of equal versions has a mean of at most one
    Then the mean e-value of equal versions over 2000 samples is at most 1.1

  Scenario: Rounding to levels keeps the mean
    Then the mean level of 20000 ratings of 0.873 is near 0.873
