Feature: Members probe each other; the platform's list only names candidates

  Scenario Outline: All others notice a member that <what>
    Given <size> members that know each other
    When one of them <what>
    Then all others count it as <state> within <bound> s
    And no other member was ever counted as dead

    Examples:
      | size | what                   | state   | bound |
      | 9    | ends                   | dead    | 3     |
      | 9    | vanishes with its host | dead    | 14    |
      | 9    | is paused              | dead    | 14    |
      | 9    | leaves                 | leaving | 1     |
      | 60   | ends                   | dead    | 3     |
      | 60   | vanishes with its host | dead    | 14    |
      | 60   | leaves                 | leaving | 2     |

  Scenario Outline: No live member is declared dead when <fault>
    Given 9 members that know each other
    When this holds for 60 s: <fault>
    Then no member is counted as dead

    Examples:
      | fault                                        |
      | a tenth of all messages is lost              |
      | a third of all messages comes twice and late |
      | a live member is missing from the list       |
      | a dead member stays on the list              |
      | the list can't be read                       |

  Scenario: A member that was paused comes back
    Given 9 members that know each other
    When one of them is paused for 30 s
    And it resumes and 15 s pass
    Then all count it as live under a higher incarnation

  Scenario: A member starts again under its name with a clock that is behind
    Given 9 members that know each other
    When one of them starts again with a lower incarnation
    Then all count it as live under a higher incarnation

  Scenario Outline: A message with <defect> is handled safely
    Given a member that knows another
    When it gets a message with <defect>
    Then it <result>

    Examples:
      | defect                    | result           |
      | an unknown field          | adds the sender  |
      | no zone and no state      | adds the sender  |
      | no topics and no members  | adds the sender  |
      | no sender                 | refuses it       |
      | a sender that is a number | refuses it       |
      | a negative incarnation    | refuses it       |
      | an unknown state          | refuses it       |
      | members that are a string | adds the sender  |
      | a malformed member        | adds the sender  |
      | topics that are a list    | adds the sender  |
      | a topic of another form   | adds the sender  |
      | an older incarnation      | keeps its record |
      | a claim that it is dead   | refutes it       |

  Scenario: Arbitrary JSON in place of a message
    Then no JSON value in place of a message stops a member

  Scenario: Updates arrive in any order
    Then members that receive the same updates in any order, twice or late, agree

  Scenario Outline: A message is sent <how>
    Given two members connected by sockets with a shared key
    When a message is sent <how>
    Then it is <verdict>

    Examples:
      | how                                  | verdict  |
      | as it is                             | answered |
      | a second time                        | refused  |
      | with another body                    | refused  |
      | under another topic                  | refused  |
      | with an old nonce                    | refused  |
      | with the older of two keys           | answered |
      | with an unknown key                  | refused  |
      | with no signature                    | refused  |
      | and answered with a forged signature | dropped  |

  Scenario: Gossip stays within its byte rate
    Given a member whose topics always have data to send
    When it gossips for 60 s with 8000 bytes a second
    Then it sent at most 9500 bytes a second
    And every message carried the vital topic
    And every topic was carried

  Scenario: The whole table is fetched after missed updates
    Given 9 members that know each other
    When one of them misses all updates about a new member
    Then it knows the new member within 40 s
