Feature: A key is claimed before its request is sent

  # Table faults: "throttled" and "down" refuse a call, "slow" delays it, "request-lost"
  # and "reply-lost" time out without and with its effect, "late" times out and applies
  # the write 1 s after that, "write-lost" confirms a write that is not stored.

  Scenario Outline: A claim is acquired despite the table fault "<fault>"
    Given a table that meets "<fault>"
    When a request with a key is claimed
    Then the claim is acquired and stored in the table
    And it is still stored after every late write

    Examples:
      | fault               |
      | none                |
      | slow                |
      | throttled           |
      | down                |
      | request-lost        |
      | reply-lost          |
      | write-lost          |
      | late                |
      | reply-lost, down    |
      | write-lost, down    |
      | late, reply-lost    |
      | late, write-lost    |

  Scenario Outline: With the table unreachable nothing is sent, and a retry may run
    Given a table that meets "<fault>"
    And a table that is "down" for 6 s
    When a request with a key is claimed
    Then the outcome is "unknown"
    And once the table is reachable the key can be claimed again

    Examples:
      | fault      |
      | down       |
      | late       |
      | reply-lost |

  Scenario Outline: Two attempts with one key, at <places>
    Given a table that meets "<fault>"
    When two attempts with one key are claimed at <places>
    Then exactly one of them is acquired
    And the other one's outcome is "unknown"

    Examples:
      | places        | fault      |
      | one instance  | none       |
      | two instances | none       |
      | two instances | slow       |
      | two instances | reply-lost |
      | two instances | late       |
      | two instances | write-lost |

  Scenario: The outcome of an unfinished claim stays unknown at any age
    When a request with a key is claimed
    And its instance is killed and 400 days pass
    Then another attempt's outcome is "unknown"
    And a sweep of expired claims leaves the claim unchanged

  Scenario: A key with another body is refused, and the request was not run
    When a request with a key is claimed
    Then an attempt with another body is refused as "not-run" for "idempotency-key-reused"

  Scenario Outline: A refused request is marked not run, so that a retry may run
    Given a request with a key that is claimed
    And a table that meets "<fault>"
    When it is released
    Then the key can be claimed again within 10 s

    Examples:
      | fault        |
      | none         |
      | down         |
      | reply-lost   |
      | request-lost |
      | late         |

  Scenario: A final state is written after a long outage of the table
    Given a request with a key that is claimed
    And a table that is "down" for 60 s
    When it is released
    Then the release took less than 1 s of real time
    And the key can be claimed again within 70 s

  Scenario Outline: The stored answer is replayed after <fault>
    Given a request with a key that is claimed
    And a table that meets "<fault>"
    When it is finished with an answer
    Then another attempt replays the same bytes
    And an attempt with another body is refused as "not-run" for "idempotency-key-reused"

    Examples:
      | fault      |
      | none       |
      | down       |
      | reply-lost |
      | late       |

  Scenario: An answer too large for a row is not stored, and the request is not run again
    Given a request with a key that is claimed
    When it is finished with an answer of 300000 bytes
    Then another attempt's outcome is "completed"
    And the row is smaller than 1000 bytes

  Scenario: Many claims share a transaction
    When 400 requests with keys are claimed at once
    Then all of them are acquired with at most 4 writes

  Scenario: Expired answers are removed, their keys stay
    Given a request with a key that is claimed
    When it is finished with an answer
    And 4 days pass and expired claims are swept
    Then another attempt's outcome is "completed"

  Scenario: Expired rows of requests that were not run are removed
    Given a request with a key that is claimed
    When it is released
    And 4 days pass and expired claims are swept
    Then no row is left

  Scenario: A key runs at most once under random faults
    Then over random faults, kills and retries a key runs at most once
