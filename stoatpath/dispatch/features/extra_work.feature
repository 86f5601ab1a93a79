Feature: Requests that begin late are sent a second time within the operators' limit

  # Guards against an instance that spends more than its share in some window.
  Scenario: Second attempts stay within the share of requests and of tokens
    Given a limit of 0.1 on extra work
    When requests of any size and second attempts come in any order
    Then the window before each second attempt holds no more of them than the share

  # Load: one backend server in a slow moment. Guards against a stream that waits for it
  # although another server is free, and against events of both attempts.
  Scenario: A stream that begins late is answered by a second attempt
    Given two backend servers, of which the first one begins after 5 s
    When a stream is requested with a limit of 0.5 on extra work
    Then its events come from the second one, each once
    And the attempt at the first one was cancelled within 500 ms
    And the request counts as run twice

  # Guards against streams that are sent twice where operators have set no limit.
  Scenario: Without a limit a stream is not sent a second time
    Given two backend servers, of which the first one begins after 1 s
    When a stream is requested with a limit of 0 on extra work
    Then its events come from the first one, each once

  # Guards against an answer of low confidence that waits for the other attempt.
  Scenario: An unsure answer of the second attempt settles the stage
    Given two backend servers, of which the first one begins after 5 s
    And the second one is unsure
    When a stream is requested with a limit of 0.5 on extra work
    Then the stage ends as "unsure-answer" within 1 s

  # Guards against streams joined of two runs: the loser of a stage is watched for a
  # moment, and its answer may begin while a larger model writes.
  Scenario Outline: The first attempt is unsure, and the second one begins <late> ms later
    Given two backend servers that begin after 150 ms and <late> ms after that
    And the first one is unsure
    When a stream is requested with a limit of 0.5 on extra work, and then a larger model
    Then the events are those of the larger model, each once

    Examples:
      | late |
      | 20   |
      | 60   |
      | 150  |

  # Guards against an attempt that is ended, or passed over, while it writes the stream.
  Scenario Outline: The <winner> attempt begins to write as the <other> one turns out unsure
    Given two attempts of one stream, of which the <winner> one begins
    And the <other> one is found unsure at that moment
    When both run
    Then the answer is that of the <winner> one, which wasn't superseded

    Examples:
      | winner | other  |
      | first  | second |
      | second | first  |

  # Guards against a loser that takes the stream over from the attempt that resumes it.
  Scenario: The first attempt is cut, and the loser of the hedge begins after it
    Given two backend servers that begin after 150 ms and 60 ms after that
    And the first one is cut after its head
    When a stream is requested with a limit of 0.5 on extra work
    Then its events come from the first one, each once

  # Guards against second attempts that take room or work that others need.
  Scenario Outline: No second attempt is made when <case>
    Given two backend servers, of which the first one begins after 1 s
    And <case>
    When a stream is requested with a limit of 0.5 on extra work
    Then its events come from the first one, each once
    And "<reason>" was counted

    Examples:
      | case                                | reason             |
      | the second one is nearly full       | no-room            |
      | the second one names a limit        | not-allowed        |
      | the retry budget is spent           | retry-budget-spent |
      | the share is used                   | limit-spent        |
