Feature: An answer that stops within its head is a failed attempt, never an answer

  # Guards against callers that get an empty or short answer as a whole one, as a backend
  # server ended while it wrote a head.
  Scenario Outline: Backend servers <end> within the head of answers to <route> requests
    Given a deployment
    When the first answers to <route> requests <end> at each <nth> byte of their heads
    Then each caller got <status> and nothing that looks whole but is not
    And each request ran exactly <runs> times
    And the log has a broken answer of each head, and whole answers after it only

    Examples: repeatable requests are sent again
      | route | end   | nth   | status | runs |
      | look  | close | first | 200    | 2    |
      | look  | reset | third | 200    | 2    |
      | sum   | close | third | 200    | 2    |
      | chat  | close | third | 200    | 2    |
      | chat  | reset | third | 200    | 2    |

    Examples: the others may have run, and are not
      | route | end   | nth   | status | runs |
      | book  | close | first | 502    | 1    |
      | book  | reset | third | 502    | 1    |
      | tell  | close | third | 502    | 1    |
      | tell  | reset | third | 502    | 1    |

  Scenario Outline: Backend servers <end> within the head of the rest of a stream
    Given a deployment
    And 1 more model replicas
    When streams are cut, and the resumed ones <end> at each <nth> byte of their heads
    Then each caller got 200 and nothing that looks whole but is not
    And each request ran exactly 3 times
    And the log has a broken answer of each head, and whole answers after it only

    Examples:
      | end   | nth   |
      | close | third |
      | reset | third |

  # Guards against streams that end as complete, since no attempt is left after the one
  # whose head was cut.
  Scenario: No backend server gives the rest of a stream
    Given a deployment
    When all attempts to resume streams close at each third byte of their heads
    Then each caller got an incomplete response with the events before the cut only

  Scenario Outline: Backend servers stall within the head of answers to <route> requests
    Given a deployment
    When the first answers to <route> requests stall within their heads until the deadline
    Then each caller got 504 and nothing that looks whole but is not
    And each request ran exactly 1 times

    Examples:
      | route |
      | look  |
      | sum   |
      | chat  |
      | book  |
      | tell  |

  Scenario Outline: Backend servers that usually answer <route> requests at once stall
    Given a deployment
    When a <route> request is answered, and then first answers stall within their heads
    Then each caller got 200 and nothing that looks whole but is not
    And each request ran at most 2 times, and most of them 2 times

    Examples:
      | route |
      | look  |
      | sum   |

  # The same for the heads that other gateways write.
  Scenario Outline: Peers that answer for backend servers <end> within the head: <route>
    Given a deployment whose gateway forwards all requests to 2 peers
    When the first answers to <route> requests <end> at each <nth> byte of their heads
    Then each caller got <status> and nothing that looks whole but is not
    And the peers ran each request exactly <runs> times
    And the log has a broken forward of each head, and whole ones after it only

    Examples:
      | route | end   | nth   | status | runs |
      | look  | close | third | 200    | 2    |
      | look  | reset | third | 200    | 2    |
      | chat  | close | third | 200    | 2    |
      | book  | close | first | 502    | 1    |
      | book  | reset | third | 502    | 1    |
      | tell  | close | third | 502    | 1    |

  Scenario: No peer gives the rest of a stream
    Given a deployment whose gateway forwards all requests to 2 peers
    When all attempts to resume streams close at each third byte of their heads
    Then each caller got an incomplete response with the events before the cut only
