Feature: Instances share the limit of a backend server by permits of one issuer

  Scenario: An issuer never grants more than its rate and a small reserve
    Given any requests of any instances for permits at any times
    Then in any period it grants at most the rate of the period and its reserve
    And a new issuer grants none at once

  Scenario: An instance without a permit is told when to ask again
    Given an issuer of 2 permits a second that 10 instances ask at once
    Then none of them is to ask again before a permit is there
    And each is to ask again within 5 s

  Scenario Outline: <limited> of <servers> backend servers name a limit of <limit>: <count> instances
    Given <count> instances before <servers> backend servers
    When <limited> of them name a limit of <limit> requests a second for 12 s
    Then none of these gets more than it allows
    And each of these gets at least half of its limit
    And requests are refused only when all backend servers have a limit, within 50 ms

    Examples:
      | count | servers | limited | limit |
      | 7     | 9       | 2       | 2     |
      | 7     | 9       | 2       | 0.5   |
      | 7     | 4       | 4       | 2     |
      | 69    | 9       | 2       | 2     |
      | 69    | 4       | 4       | 20    |
      | 195   | 9       | 2       | 0.5   |
      | 195   | 9       | 5       | 20    |
      | 544   | 9       | 2       | 2     |

  Scenario Outline: A limit is kept while <faults> of <count> instances <fault>
    Given <count> instances before 4 backend servers
    When all of them name a limit of <limit> requests a second while <faults> instances <fault>
    Then none of these gets more than it allows

    Examples:
      | count | limit | faults | fault                       |
      | 7     | 0.5   | 3      | join                        |
      | 7     | 2     | 3      | join                        |
      | 69    | 2     | 3      | join                        |
      | 7     | 0.5   | 2      | restart                     |
      | 7     | 2     | 7      | restart                     |
      | 7     | 2     | 2      | freeze                      |
      | 69    | 2     | 7      | freeze                      |
      | 7     | 2     | 2      | lose their peers            |
      | 69    | 2     | 20     | lose their peers            |
      | 7     | 2     | 3      | leave                       |
      | 69    | 0.5   | 20     | leave                       |
      | 195   | 2     | 20     | join                        |

  Scenario: Doubt of the instances that lost their peers doesn't add up to more than allowed
    Given 7 instances before 4 backend servers
    When all of them name a limit of 2 requests a second while 2 instances lose their peers
    Then none of these gets more than it allows, disturbed instances included

  Scenario: A limit that falls, rises and ends is followed
    Given 7 instances before 4 backend servers
    When one names a limit of 8, then 1, then 8 requests a second and then none
    Then it gets no more than each of these allows
    And in the end it gets as many requests as the others

  Scenario Outline: A malformed <message> about permits is rejected
    Given any JSON in place of a <message> about permits
    Then no permit results from it

    Examples:
      | message |
      | request |
      | answer  |
