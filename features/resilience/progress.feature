Feature: Streams end by what they achieve, not by single bytes

  Scenario Outline: A stream that stalls and drips <what> ends like a silent one
    Given a gateway whose backend servers may pause for 800 ms within a stream
    And the next stream of a backend server stalls after two events and drips <what>
    When a caller reads a <route> stream
    Then the answer ends <how> between 700 and 2500 ms after its start

    Examples:
      | what     | route | how     |
      | nothing  | chat  | whole   |
      | comments | chat  | whole   |
      | bytes    | chat  | whole   |

  # Guards against streams that are cut since their backend server pauses, though nobody
  # else can carry them on; and against those that never end.
  Scenario Outline: A stream that can't be resumed stalls, drips <what> and ends at its deadline
    Given a gateway whose backend servers may pause for 800 ms within a stream
    And the next stream of a backend server stalls after two events and drips <what>
    When a caller reads a tell stream
    Then the answer ends cut off between 3900 and 5500 ms after its start

    Examples:
      | what     |
      | nothing  |
      | comments |
      | bytes    |

  # Guards against streams that are given up sooner than by their callers.
  Scenario Outline: A route with an objective of <target> ms and pauses of <gap> ms (pure)
    Given a <kind> route with an objective of <target> ms and pauses of <gap> ms
    Then its streams may be silent for <limit>

    Examples:
      | kind          | target | gap  | limit    |
      | resumable     | 3000   | 800  | 10800 ms |
      | resumable     | 1000   | 800  | 5760 ms  |
      | resumable     | 100    | 0    | 1800 ms  |
      | not resumable | 3000   | 800  | any time |
      | not resumable | 100    | 0    | any time |

  Scenario: A slow but sound stream is never ended
    Given a gateway whose backend servers may pause for 800 ms within a stream
    And streams with 600 ms between events
    When a caller reads a chat stream
    Then the answer ends whole between 2000 and 4500 ms after its start

  Scenario Outline: A stream of the router interface drips <what> (pure)
    Given the exchange of a router with a limit of 200 ms between events
    When its stream drips <what> every 50 ms
    Then the exchange has <end> after 600 ms

    Examples:
      | what         | end   |
      | comments     | ended |
      | bytes        | ended |
      | whole events | held  |

  Scenario Outline: A caller does not take an answer
    Given a backend server that answers with <answer>
    When a caller reads <reading> of it
    Then the gateway ends its connection, having held at most <held> MB for it
    And no other backend server gets the request, and none is counted as failed

    Examples:
      | answer                  | reading             | held |
      | a stream without an end | nothing             | 1    |
      | a stream without an end | a byte now and then | 1    |
      | a body of 8 MB          | nothing             | 9    |

  Scenario: A slow caller gets a whole answer
    Given a backend server that answers with a body of 8 MB
    When a caller reads 200 KB each 50 ms
    Then it has read the whole answer
