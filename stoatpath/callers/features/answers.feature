Feature: Each caller gets its own complete answer, and disconnects are detected

  Scenario: The head of a stream has the version, the session and why it moved
    Given a site with one router
    When a session whose version was withdrawn requests a stream
    Then the response head names the version, the session and why it moved
    And the stream ends with its end marker

  Scenario: A stream that fails midway is aborted
    Given a site with one router
    When every engine cuts its stream midway
    Then the caller received a part of the stream and no end marker
    And nothing is billed

  Scenario: Pipelined requests get their own answers in order
    Given a site with one router
    When 12 requests are pipelined on one connection
    Then the answers are in the order of the requests

  Scenario: A caller that disconnects from its stream frees its slot and stops the engine
    Given a site with one router
    When 5 callers disconnect from their streams midway
    Then no slot stays acquired and no engine completes a run
    And nothing is billed

  Scenario: A keyed call whose caller disconnects is completed, and a retry gets its answer
    Given a site with one router
    When a caller disconnects from a slow keyed call and repeats it
    Then the repeated call gets the stored answer
    And the call ran once and is billed once

  Scenario: A keyed stream is replayed in full
    Given a site with one router
    When a keyed stream is requested twice
    Then both answers have the same events and the second is a replay
    And the stream ran once and is billed once

  Scenario: A request over the rate limit is refused immediately
    Given a site with one router
    When an organisation sends more than its rate limit
    Then the rest is refused as rate-limited with a Retry-After header, and did not run

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

  Scenario: A request whose claim is not confirmed in time is answered by its deadline
    Given a site with one router
    When a keyed call needs a table that responds after its deadline
    Then its outcome is unknown by its deadline, and it did not run
    And the key can be used again
