Feature: Long prompts do not hold back the first tokens of short ones

  Scenario Outline: Long prompts among short ones, <pattern>
    When the load "<pattern>" is played with prompts apart and anywhere, for 4 seeds
    Then apart earns more credit
    And at most half as many short prompts are late

    Examples:
      | pattern             |
      | usual               |
      | pool lost           |
      | burst               |
      | burst and pool lost |

  Scenario: All instances agree on the sides, whatever order they know the fleet in
    Given two instances that sent 40 short prompts for each 10 long ones
    Then both keep the same 3 of 9 backend servers for short prompts

  Scenario Outline: With <count> backend servers and <prompts> prompts seen, nobody is avoided
    Given an instance that sent <prompts> prompts
    Then a long prompt avoids <avoided> of <count> backend servers

    Examples:
      | prompts | count | avoided |
      | 50      | 1     | 0       |
      | 50      | 2     | 0       |
      | 10      | 9     | 0       |
      | 50      | 3     | 1       |

  Scenario: Prompts of one length are not split
    Given an instance that sent 100 prompts of one length
    Then such a prompt may go to at least half of 9 backend servers

  Scenario: What was sent long ago counts no more
    Given an instance that sent 100 long prompts, and 60 s later 50 short ones
    Then what is beside them long is judged by the short ones

  Scenario: A side is made of backend servers that do not fail
    Given a chooser that sent 40 short prompts for each 10 long ones to 9 backend servers
    When those that serve short prompts fail half of their answers
    Then others serve short prompts
