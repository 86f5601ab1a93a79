Feature: An answer whose head HTTP forbids is a failed attempt, never an answer

  # Guards against callers that get such a head as it came, a body that it frames, or no
  # answer at all, since the router's own writer refuses it.
  Scenario Outline: Backend servers answer <route> requests with heads that HTTP forbids
    Given a deployment
    When the first answers to <route> requests have each head that HTTP forbids
    Then each caller got <status> and nothing that looks whole but is not
    And each request ran exactly <runs> times
    And the log has a broken answer of each head, and whole answers after it only

    Examples: repeatable requests are sent again
      | route | status | runs |
      | look  | 200    | 2    |
      | sum   | 200    | 2    |
      | chat  | 200    | 2    |

    Examples: the others may have run, and are not
      | route | status | runs |
      | book  | 502    | 1    |
      | tell  | 502    | 1    |

  Scenario: Backend servers give the rest of a stream with heads that HTTP forbids
    Given a deployment
    And 1 more model replicas
    When streams are cut, and the resumed ones have each head that HTTP forbids
    Then each caller got 200 and nothing that looks whole but is not
    And each request ran exactly 3 times
    And the log has a broken answer of each head, and whole answers after it only

  Scenario: No backend server gives the rest of a stream with a valid head
    Given a deployment
    When all attempts to resume streams have each head that HTTP forbids
    Then each caller got an incomplete response with the events before the cut only

  # The same for the heads that other gateways write.
  Scenario Outline: Peers answer for backend servers with heads that HTTP forbids: <route>
    Given a deployment whose gateway forwards all requests to 2 peers
    When the first answers to <route> requests have each head that HTTP forbids
    Then each caller got <status> and nothing that looks whole but is not
    And the peers ran each request exactly <runs> times
    And the log has a broken forward of each head, and whole ones after it only

    Examples:
      | route | status | runs |
      | look  | 200    | 2    |
      | chat  | 200    | 2    |
      | book  | 502    | 1    |
      | tell  | 502    | 1    |
