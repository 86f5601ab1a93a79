Feature: Decisions about requests and prompt parts last in the store

  # Guards against decisions that reach no instance which has lost its peers.
  Scenario: An instance that reaches no other applies a decision, with its own clock
    Given 2 instances that reach the store, but not each other
    When the first puts part x into quarantine for 60 s
    Then within 1 s part x is in quarantine at both for another 58 s to 60 s

  Scenario: Of two decisions at the same time, the newer one holds everywhere
    Given 2 instances that reach the store, but not each other
    When the first puts part x into quarantine for 60 s, and the second lifts that later
    Then within 2 s part x is in quarantine nowhere
    And the store has 1 decision

  Scenario: A decision is stored once the store is back
    Given 2 instances that reach the store, but not each other
    When the store is away for 4 s, while the first puts part x into quarantine for 60 s
    Then within 6 s part x is in quarantine at both for another 50 s to 60 s

  Scenario: A decision that can't be stored is given up
    Given 2 instances that reach the store, but not each other
    When the store is away for 40 s, while the first puts part x into quarantine for 60 s
    Then the store has 0 decisions

  # Guards against a decision that no task writes, since it came as the last one ended.
  Scenario: A decision that comes just when another is stored is stored, too
    Given 2 instances that reach the store, but not each other
    When the first puts part y into quarantine at the moment at which part x is stored
    Then the store has 2 decisions

  # Guards against many priced calls to a store that is away.
  Scenario: While the store is away, the pauses between writes grow
    Given 2 instances that reach the store, but not each other
    When the store is away for 40 s, while the first puts part x into quarantine for 60 s
    Then the first has tried to write at most 10 times

  # Guards against a table that grows for ever.
  Scenario: Decisions that no instance remembers are removed from the store
    Given 2 instances that reach the store, but not each other
    When the first puts part x into quarantine for 60 s
    And 700 s later the second puts part y into quarantine for 60 s
    Then the store has 1 decision

  Scenario: An instance that starts later knows the decisions in the store
    Given 2 instances that reach the store, but not each other
    When the first puts part x into quarantine for 60 s
    And 5 s later another instance starts
    Then within 1 s part x is in quarantine at all for another 50 s to 54 s

  Scenario Outline: A stored decision that <is wrong> changes nothing and is logged
    Given 2 instances that reach the store, but not each other
    When the store has the decision <value>
    Then no part is in quarantine at an instance
    And each instance has logged an unreadable row
    And the row stays when the second puts part y into quarantine

    Examples:
      | is wrong                       | value                                                                                  |
      | isn't JSON                     | {x                                                                                     |
      | isn't an object                | [1]                                                                                    |
      | has no end                     | {"service": "desk-assist", "part": "x", "version": 5, "repeats": 0, "lifted": false}   |
      | ends later than any quarantine | {"service": "desk-assist", "part": "x", "version": 5, "repeats": 0, "lifted": false, "until_store_ms": 9000000} |
      | has a text for its end         | {"service": "desk-assist", "part": "x", "version": 5, "repeats": 0, "lifted": false, "until_store_ms": "soon"} |
      | has no whole version           | {"service": "desk-assist", "part": "x", "version": 5.5, "repeats": 0, "lifted": false, "until_store_ms": 30000} |
      | names no part                  | {"service": "desk-assist", "version": 5, "repeats": 0, "lifted": false, "until_store_ms": 30000} |
