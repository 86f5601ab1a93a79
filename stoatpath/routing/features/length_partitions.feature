Feature: Long prompts do not delay the first tokens of short ones

  Scenario Outline: Long prompts among short ones, <pattern>
    When the load "<pattern>" runs with and without partitions, for 4 seeds
    Then partitions earn a higher score
    And at most half as many short prompts are late

    Examples:
      | pattern             |
      | usual               |
      | pool lost           |
      | burst               |
      | burst and pool lost |

  Scenario: Instances with the same mix of prompts compute the same partitions, whatever the order of their lists
    Given two instances that sent 40 short prompts for each 10 long ones
    Then both reserve the same 3 of 9 backend servers for short prompts

  Scenario Outline: After <prompts> prompts a long one avoids <avoided> of <count> backend servers
    Given an instance that sent <prompts> prompts
    Then a long prompt avoids <avoided> of <count> backend servers

    Examples:
      | prompts | count | avoided |
      | 50      | 1     | 0       |
      | 50      | 2     | 0       |
      | 10      | 9     | 0       |
      | 50      | 3     | 1       |

  Scenario: Prompts of equal length may use at least half of the fleet
    Given an instance that sent 100 prompts of one length
    Then such a prompt may go to at least half of 9 backend servers

  Scenario: Prompts sent long ago no longer count
    Given an instance that sent 100 long prompts, and 60 s later 50 short ones
    Then a prompt of 4 times the short length is long

  Scenario: Only healthy backend servers are partitioned
    Given a chooser that sent 40 short prompts for each 10 long ones to 9 backend servers
    When the backend servers that serve short prompts fail half of their answers
    Then other backend servers serve short prompts
