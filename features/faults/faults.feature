Feature: Responses, executions and billing of a running site agree under faults

  Scenario Outline: A <kind> with fault <fault>
    Given a running site with two routers
    And the next call of a backend server has fault "<fault>"
    When a <kind> is sent
    Then its caller gets outcome "<outcome>"
    And executions and billing records agree with the responses

    Examples: Non-repeatable requests
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

    Examples: Repeatable requests
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

  Scenario Outline: Every backend server refuses a <kind>
    Given a running site with two routers
    And every call of a backend server has fault "not-run"
    When a <kind> is sent
    Then its caller gets outcome "not-run"
    And executions and billing records agree with the responses

    Examples:
      | kind          |
      | booking       |
      | keyed booking |
      | question      |
      | summary       |

  Scenario Outline: The table has fault <fault> while a keyed booking is sent twice
    Given a running site with two routers
    And the next write to the table has fault "<fault>"
    When a keyed booking is sent to one router, and again to the other
    Then it ran <ran> times
    And executions and billing records agree with the responses

    Examples:
      | fault        | ran |
      | down         | 1   |
      | slow         | 1   |
      | request-lost | 1   |
      | reply-lost   | 1   |
      | write-lost   | 1   |
      | throttled    | 1   |

  Scenario: One idempotency key is sent to two routers at once
    Given a running site with two routers
    When each of ten keys is sent to both routers at once
    Then the booking of each key ran once
    And executions and billing records agree with the responses

  Scenario Outline: A router is killed <moment>
    Given a running site with two routers
    When a router is killed <moment> and the key is sent to the other
    Then the second caller gets outcome "<outcome>"
    And it ran <ran> times
    And the key is billed <billed> times
    And executions and billing records agree with the responses

    Examples:
      | moment                      | outcome   | ran | billed |
      | before the claim            | completed | 1   | 1      |
      | after the claim             | unknown   | 0   | 0      |
      | after the send              | unknown   | 1   | 0      |
      | after the answer            | unknown   | 1   | 0      |
      | before the billing flush    | completed | 1   | 1      |

  Scenario: A router process is killed by a signal before the billing flush
    Given a running site with two routers
    When a router process responds and gets SIGKILL before its billing flush
    Then the second caller of the key gets a replay
    And each response is billed once, by the peer
    And executions and billing records agree with the responses

  Scenario: A router process is paused before the billing flush and resumes later
    Given a running site with two routers
    When a router process responds, is paused until its peer has billed, and resumes
    Then the second caller of the key gets a replay
    And each response is billed once, by the peer
    And executions and billing records agree with the responses

  Scenario: A router process is paused while a booking runs
    Given a running site with two routers
    When a router process is paused while a booking runs, and resumes later
    Then the second caller gets outcome "unknown"
    And the first caller gets outcome "completed"
    And it ran 1 times
    And executions and billing records agree with the responses

  Scenario: Random faults, kills and repeated keys at a running site
    Then responses, executions and billing agree after random events
