Feature: The running site keeps its promises under faults

  Scenario Outline: <kind> meets <fault>
    Given a running site with two routers
    And the next call of a backend server meets "<fault>"
    When a <kind> is sent
    Then its caller is told "<outcome>"
    And what ran and what is billed agree with what callers were told

    Examples: Calls that may not be repeated
      | kind          | fault                | outcome   |
      | booking       | reset-before         | unknown   |
      | booking       | reset-during         | unknown   |
      | booking       | reset-after          | unknown   |
      | booking       | not-run              | completed |
      | booking       | error-after          | unknown   |
      | booking       | half-answer          | unknown   |
      | booking       | half-answer-unmarked | unknown   |
      | booking       | wrong-id             | unknown   |
      | booking       | slow                 | completed |
      | keyed booking | reset-after          | unknown   |
      | keyed booking | not-run              | completed |

    Examples: Calls that may be repeated
      | kind     | fault                | outcome   |
      | lookup   | reset-after          | completed |
      | lookup   | error-after          | completed |
      | lookup   | half-answer          | completed |
      | lookup   | slow                 | completed |
      | question | reset-during         | completed |
      | question | half-answer-unmarked | completed |
      | question | wrong-id             | completed |
      | question | wrong-version        | completed |
      | question | error-after          | completed |
      | summary  | reset-before         | completed |
      | summary  | stream-cut           | completed |
      | summary  | stream-ends          | completed |
      | summary  | stream-stall         | completed |
      | summary  | foreign-event        | completed |

  Scenario Outline: All pools are out
    Given a running site with two routers
    And every call of a backend server meets "not-run"
    When a <kind> is sent
    Then its caller is told "not-run"
    And what ran and what is billed agree with what callers were told

    Examples:
      | kind          |
      | booking       |
      | keyed booking |
      | question      |
      | summary       |

  Scenario Outline: The table meets <fault> while a keyed booking is sent twice
    Given a running site with two routers
    And the table's next writes meet "<fault>"
    When a keyed booking is sent to one router, and again to the other
    Then it ran <ran> times
    And what ran and what is billed agree with what callers were told

    Examples:
      | fault        | ran |
      | down         | 1   |
      | slow         | 1   |
      | request-lost | 1   |
      | reply-lost   | 1   |
      | write-lost   | 1   |
      | throttled    | 1   |

  Scenario: One key at two routers at once
    Given a running site with two routers
    When one key is sent to both routers at once, ten times
    Then each of the keys ran once
    And what ran and what is billed agree with what callers were told

  Scenario Outline: A router is killed <moment>
    Given a running site with two routers
    When a router is killed <moment> and the key is sent to the other
    Then the second caller is told "<outcome>"
    And it ran <ran> times
    And the key is billed <billed> times
    And what ran and what is billed agree with what callers were told

    Examples:
      | moment                      | outcome   | ran | billed |
      | before the claim            | completed | 1   | 1      |
      | after the claim             | unknown   | 0   | 0      |
      | after the send              | unknown   | 1   | 0      |
      | after the answer            | unknown   | 1   | 0      |
      | before the billing flush    | completed | 1   | 1      |

  Scenario: A router process is killed by a signal before the billing flush
    Given a running site with two routers
    When a router process answers and gets SIGKILL before its flush
    Then the key's second caller gets a replay
    And each answer is billed once, by the peer
    And what ran and what is billed agree with what callers were told

  Scenario: A router process is paused before the billing flush and wakes later
    Given a running site with two routers
    When a router process answers, is paused until its peer has billed, and wakes
    Then the key's second caller gets a replay
    And each answer is billed once, by the peer
    And what ran and what is billed agree with what callers were told

  Scenario: A router process is paused with a booking under way
    Given a running site with two routers
    When a router process is paused while a booking runs, and wakes later
    Then the second caller is told "unknown"
    And the first caller is told "completed"
    And it ran 1 times
    And what ran and what is billed agree with what callers were told

  Scenario: Random faults, kills and retries at the running site
    Then over random courses the site keeps its promises
