Feature: Each caller gets its own whole answer, and its leaving is noticed

  Scenario: A stream names its version, session and move when it begins
    Given a site with one router
    When a session whose version was withdrawn asks for a stream
    Then the head of the stream names version, session and why it moved
    And the stream ends with its end marker

  Scenario: A stream that fails half-way is broken off
    Given a site with one router
    When every engine cuts its stream half-way
    Then the caller's stream has begun and has no end marker
    And nothing is billed

  Scenario: Pipelined requests get their own answers in order
    Given a site with one router
    When 12 requests are pipelined on one connection
    Then each answer is that of the request in its place

  Scenario: A caller that leaves its stream frees its slot and the engine's
    Given a site with one router
    When 5 callers leave their streams half-way
    Then no slot stays taken and no engine runs on
    And nothing is billed

  Scenario: A caller that leaves a keyed call finds its answer later
    Given a site with one router
    When a caller leaves a slow keyed call and repeats it
    Then the repeated call is given the stored answer
    And the call ran once and is billed once

  Scenario: A keyed stream is replayed whole
    Given a site with one router
    When a keyed stream is asked for twice
    Then both answers hold the same events and the second is a replay
    And the stream ran once and is billed once

  Scenario: A request over the rate limit is refused at once
    Given a site with one router
    When an organisation sends more than its rate limit
    Then the rest is refused as rate-limited with the time to wait, and did not run

  Scenario Outline: A keyed request over the rate limit, when its key <state>
    Given a site with one router
    And the organisation has used up its rate limit
    When a keyed request follows whose key <state>
    Then its answer is <status> with the outcome <outcome>

    Examples:
      | state            | status | outcome   |
      | was never sent   | 429    | not-run   |
      | has an answer    | 200    | completed |
      | may be running   | 409    | unknown   |
      | can't be read    | 429    | unknown   |

  Scenario: A claim that is not confirmed in time is answered by the deadline
    Given a site with one router
    When a keyed call meets a table that is slow beyond its deadline
    Then it is answered as unknown near its deadline, and did not run
    And the key may be used again
