Feature: At most one holder acts on a shard

  Scenario: No order of faults gives two effective holders
    Then claims, renewals, lost replies, pauses and orders keep one effective holder

  Scenario: Whatever the delays, a lease ends before another process may claim it
    Then for any delays of write and reading the holder lapses before the next claim

  Scenario Outline: The reply to a <write> is lost
    Given a holder "a" and another process "b"
    When the reply to the next <write> of "a" is lost after it took effect
    Then "a" finds by reading back that it holds the lease
    And "b" does not hold it

    Examples:
      | write   |
      | claim   |
      | renewal |

  Scenario Outline: The holder is paused <when> and its lease lapses meanwhile
    Given a holder "a" and another process "b"
    When "a" is paused <when> for <paused_ms> ms
    And "b" claims the lease if it is free
    And "a" wakes
    Then an engine that checks fencing numbers obeys only "<obeyed>"
    And an engine that ignores them obeys only "<obeyed>"

    Examples:
      | when                   | paused_ms | obeyed |
      | before it reads        | 16000     | b      |
      | before it renews       | 16000     | b      |
      | before it checks       | 16000     | b      |
      | before it checks       | 9000      | a      |

  Scenario: A pause between the check and the sending is caught by fencing numbers alone
    Given a holder "a" and another process "b"
    When "a" is paused before it sends for 16000 ms
    And "b" claims the lease if it is free
    And "a" wakes
    Then an engine that checks fencing numbers obeys only "b"
    And an engine that ignores them obeys "a" only after the order's deadline

  Scenario: Holders lapse while the store is down and claim again after
    Given a holder "a" and another process "b"
    When the store is down for 20000 ms
    Then nobody holds the lease
    When the store is back and 40000 ms pass
    Then exactly one process holds the lease

  Scenario: A graceful stop hands the lease over at once
    Given a holder "a" and another process "b"
    When "a" stops gracefully
    Then "b" claims the lease without waiting
