Feature: Attempts are retried safely and report whether the request ran

  Background:
    Given backend servers that share a fault table

  Scenario Outline: A repeatable <kind> succeeds despite one <fault>
    Given the next request meets "<fault>"
    When a repeatable <kind> is sent
    Then the caller got the complete answer to its own request
    And it ran <ran> times

    Examples: Buffered completions
      | kind       | fault                | ran |
      | completion | reset-before         | 1   |
      | completion | reset-during         | 1   |
      | completion | reset-after          | 2   |
      | completion | not-run              | 1   |
      | completion | error-after          | 2   |
      | completion | half-answer          | 2   |
      | completion | half-answer-unmarked | 2   |
      | completion | wrong-id             | 2   |
      | completion | wrong-version        | 2   |
      | completion | no-finish            | 2   |
      | completion | slow                 | 2   |
      | completion | twice                | 1   |

    Examples: Calls of plain services
      | kind   | fault                | ran |
      | call   | reset-before         | 1   |
      | call   | reset-during         | 1   |
      | call   | reset-after          | 2   |
      | call   | not-run              | 1   |
      | call   | error-after          | 2   |
      | call   | half-answer          | 2   |
      | call   | half-answer-unmarked | 2   |
      | call   | wrong-id             | 2   |
      | call   | slow                 | 2   |

    Examples: Streams that fail before or after their first event
      | kind   | fault         | ran |
      | stream | reset-before  | 1   |
      | stream | reset-after   | 2   |
      | stream | not-run       | 1   |
      | stream | error-after   | 2   |
      | stream | stream-cut    | 2   |
      | stream | stream-ends   | 2   |
      | stream | stream-stall  | 2   |
      | stream | foreign-event | 2   |
      | stream | wrong-version | 2   |

  Scenario Outline: A single backend server is retried on a fresh connection after <fault>
    Given one backend server of each kind
    And connections that were used before
    And the next request meets "<fault>"
    When a repeatable <kind> is sent
    Then the caller got the complete answer to its own request
    And it ran <ran> times

    Examples:
      | kind       | fault        | ran |
      | completion | reset-before | 1   |
      | completion | slow         | 2   |
      | call       | reset-before | 1   |
      | call       | reset-after  | 2   |
      | call       | wrong-id     | 2   |
      | stream     | reset-before | 1   |

  Scenario Outline: A <kind> that may not be repeated meets <fault>
    Given the next request meets "<fault>"
    When a non-repeatable <kind> is sent
    Then the outcome is "<outcome>" for "<reason>"
    And it ran <ran> times

    Examples:
      | kind       | fault                | outcome   | reason         | ran |
      | completion | reset-before         | unknown   | broken-answer  | 0   |
      | completion | not-run              | completed | none           | 1   |
      | completion | error-after          | unknown   | backend-error  | 1   |
      | completion | slow                 | completed | none           | 1   |
      | call       | reset-before         | unknown   | broken-answer  | 0   |
      | call       | reset-during         | unknown   | broken-answer  | 0   |
      | call       | reset-after          | unknown   | broken-answer  | 1   |
      | call       | not-run              | completed | none           | 1   |
      | call       | error-after          | unknown   | backend-error  | 1   |
      | call       | half-answer          | unknown   | broken-answer  | 1   |
      | call       | half-answer-unmarked | unknown   | broken-answer  | 1   |
      | call       | wrong-id             | unknown   | foreign-answer | 1   |
      | call       | slow                 | completed | none           | 1   |
      | put        | reset-after          | unknown   | broken-answer  | 1   |
      | put        | reset-before         | unknown   | broken-answer  | 0   |
      | delete     | reset-after          | unknown   | broken-answer  | 1   |
      | delete     | reset-before         | unknown   | broken-answer  | 0   |

  Scenario Outline: A refused connection proves that a <kind> did not run
    Given all connections are refused
    When a non-repeatable <kind> is sent
    Then the outcome is "not-run" for "connect-failed"
    And it ran 0 times

    Examples:
      | kind       |
      | completion |
      | call       |

  Scenario Outline: A non-repeatable <kind> is retried after a refused connection
    Given one backend server of each kind refuses connections
    When a non-repeatable <kind> is sent
    Then the caller got the complete answer to its own request
    And it ran 1 times

    Examples:
      | kind       |
      | completion |
      | call       |

  Scenario: A request that all engines refuse did not run
    Given every request meets "not-run"
    When a non-repeatable completion is sent
    Then the outcome is "not-run" for "refused-by-backend"
    And it ran 0 times
    And 2 attempts were reported to routing

  # Guards against requests to backend servers that asked for a pause, from the own interface.
  Scenario Outline: Backend servers that ask for a pause get no more <kind> requests
    Given every request meets "hold-off"
    When 4 <kind> requests are sent in turn
    Then the outcome is "not-run" for "backends-limited"
    And 2 attempts were reported to routing

    Examples:
      | kind       |
      | completion |
      | stream     |
      | call       |

  Scenario Outline: A stream that can't be resumed is aborted after <fault>
    Given engines that do not resume streams
    And the next request meets "<fault>"
    When a repeatable stream is sent
    Then the caller's stream is not ended
    And the caller got no byte of another answer
    And it ran 1 times

    Examples:
      | fault         |
      | stream-cut    |
      | stream-ends   |
      | stream-stall  |
      | foreign-event |

  Scenario: An answer is never composed of two different texts
    Given the next request meets "stream-cut"
    And every request meets "other-text"
    When a repeatable stream is sent
    Then the caller's stream is not ended
    And the caller got no byte of another answer

  Scenario: A stream that may not be repeated is not resumed
    Given the next request meets "stream-cut"
    When a non-repeatable stream is sent
    Then the caller's stream is not ended
    And it ran 1 times

  Scenario: All pooled connections to a backend server are dropped when one goes silent
    When requests were answered and then all open connections go silent
    Then each later repeatable request is answered on a new connection and ran once
    And each backend server lost exactly one request
    And a non-repeatable request used no silent connection

  Scenario: A duplicate or late answer never reaches the next request
    When an answer is sent twice and other requests follow on the connection
    Then every request got its own answer

  Scenario: A connection to a service that echoes no identifier is not reused
    When a plain service that echoes no identifier sends an answer twice
    Then every request got its own answer

  Scenario Outline: An unusually slow attempt is hedged when <kind>
    Given requests that are <kind>
    When a first attempt is slow after a history of fast ones
    Then the caller got the complete answer to its own request
    And a hedge was sent within the budget
    And the slow attempt was cancelled at its engine

    Examples:
      | kind     |
      | buffered |
      | streamed |

  Scenario Outline: The engine stops when the caller disconnects <moment>
    When the caller disconnects <moment>
    Then the engine received the cancellation and stopped

    Examples:
      | moment            |
      | before its answer |
      | during its stream |

  Scenario: Retries stay within the budget while every request fails
    Given every request meets "error-after"
    When 100 repeatable requests are sent
    Then at most 130 attempts were sent
