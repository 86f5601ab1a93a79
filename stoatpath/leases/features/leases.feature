Feature: At most one process holds the lease of a shard

  Scenario: No sequence of faults lets two processes act as the holder
    Then claims, renewals, lost replies, pauses and orders leave one acting holder

  Scenario: A lease expires before another process may claim it, whatever the delays
    Then for any delays of writes and reads the lease expires before the next claim

  Scenario Outline: The reply to a <write> is lost
    Given a holder "a" and another process "b"
    When the reply to the next <write> of "a" is lost after it took effect
    Then "a" reads back that it holds the lease
    And "b" does not hold it

    Examples:
      | write   |
      | claim   |
      | renewal |

  Scenario Outline: The holder is paused <when> and resumes after <paused_ms> ms
    Given a holder "a" and another process "b"
    When "a" is paused <when> for <paused_ms> ms
    And "b" claims the lease if it is free
    And "a" resumes
    Then an engine that checks fencing tokens accepts orders only of "<accepted>"
    And an engine that ignores them accepts orders only of "<accepted>"

    Examples:
      | when                   | paused_ms | accepted |
      | before it reads        | 16000     | b        |
      | before it renews       | 16000     | b        |
      | before it checks       | 16000     | b        |
      | before it checks       | 9000      | a        |

  Scenario: Only fencing tokens protect from a pause between lease check and sending
    Given a holder "a" and another process "b"
    When "a" is paused before it sends for 16000 ms
    And "b" claims the lease if it is free
    And "a" resumes
    Then an engine that checks fencing tokens accepts orders only of "b"
    And an engine that ignores them accepts orders of "a" only after the order's deadline

  Scenario: Leases expire while the store is down and are claimed again afterwards
    Given a holder "a" and another process "b"
    When the store is down for 20000 ms
    Then nobody holds the lease
    When the store is back and 40000 ms pass
    Then exactly one process holds the lease

  Scenario: A graceful stop hands the lease over at once
    Given a holder "a" and another process "b"
    When "a" stops gracefully
    Then "b" claims the lease without waiting
