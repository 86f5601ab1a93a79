Feature: Requests are passed on, answered truthfully, and run as often as allowed

  Scenario Outline: A <route> request whose first run meets <fault>
    Given a deployment
    And the next run meets <fault>
    When a caller sends a <route> request
    Then the caller gets <status>
    And the request ran at most <runs> times
    And a success bears the seal and the whole body

    Examples: what may be repeated is tried elsewhere
      | route | fault          | status | runs |
      | look  | shed           | 200    | 1    |
      | look  | error          | 200    | 2    |
      | look  | reset-before   | 200    | 1    |
      | look  | reset-after    | 200    | 2    |
      | look  | half           | 200    | 2    |
      | look  | unframed       | 200    | 1    |
      | look  | unframed-reset | 200    | 2    |
      | look  | garbage        | 200    | 2    |
      | look  | wrong-id       | 200    | 2    |
      | look  | no-seal        | 200    | 2    |
      | look  | encoded        | 200    | 2    |
      | look  | extra          | 200    | 1    |
      | open  | error          | 200    | 2    |

    Examples: what may not be repeated runs once, and no answer says otherwise
      | route | fault          | status | runs |
      | book  | shed           | 200    | 1    |
      | book  | error          | 500    | 1    |
      | book  | reset-before   | 502    | 0    |
      | book  | reset-after    | 502    | 1    |
      | book  | half           | 502    | 1    |
      | book  | unframed       | 200    | 1    |
      | book  | unframed-reset | 502    | 1    |
      | book  | garbage        | 502    | 1    |
      | book  | wrong-id       | 502    | 1    |
      | book  | no-seal        | 502    | 1    |
      | book  | encoded        | 502    | 1    |
      | book  | extra          | 200    | 1    |
      | book  | silent         | 504    | 0    |

    Examples: a stream goes on after its last whole event
      | route | fault        | status | runs |
      | chat  | shed         | 200    | 1    |
      | chat  | error        | 200    | 2    |
      | chat  | cut          | 200    | 2    |
      | chat  | skip         | 200    | 2    |
      | chat  | reset-before | 200    | 1    |

    Examples: a stream that can't be resumed runs once
      | route | fault        | status | runs |
      | tell  | none         | 200    | 1    |
      | tell  | shed         | 200    | 1    |
      | tell  | error        | 500    | 1    |
      | tell  | reset-after  | 502    | 1    |
      | tell  | cut          | 0      | 1    |

    Examples: whole answers of models
      | route | fault        | status | runs |
      | sum   | none         | 200    | 1    |
      | sum   | error        | 200    | 2    |
      | sum   | half         | 200    | 2    |

  Scenario Outline: An unsure answer of a <route> request leads to <models>
    Given a deployment
    And the smallest model is sure by 30
    When a caller sends a <route> request
    Then the models that ran are <models>

    Examples:
      | route | models                |
      | chat  | tern-small tern-large |
      | sum   | tern-small tern-large |
      | tell  | tern-large            |

  Scenario: A stream has every event once and in order after its run was cut
    Given a deployment
    And the next run meets cut
    When a caller sends a chat request
    Then the caller got events 1 to 5 in order, and the end

  Scenario: An answer that is not sure enough is dropped for the larger model
    Given a deployment
    And the smallest model is sure by 30
    When a caller sends a chat request
    Then the models that ran are tern-small tern-large
    And the answer is of tern-large

  Scenario: A sure answer of the smallest model stands
    Given a deployment
    And the smallest model is sure by 90
    When a caller sends a chat request
    Then the models that ran are tern-small

  Scenario: A larger model that fails leaves the answer to the smallest
    Given a deployment
    And the smallest model is sure by 30
    And the second run meets error
    And the third run meets error
    When a caller sends a chat request
    Then the caller gets 500
    And the request ran at most 3 times

  Scenario Outline: A stream that <how> a backend server that dies goes on elsewhere
    Given a deployment
    And the next run meets <fault>
    When its backend server takes no connections any more
    Then the caller got events 1 to 5 in order, and the end
    And one look was enough to find that

    Examples:
      | how       | fault  |
      | waits at  | silent |
      | runs on   | stall  |

  Scenario: The long pause of a busy backend server is waited out
    Given a deployment
    And streams of 1 events with 3300 ms before each
    When a caller sends a chat request
    Then the caller got events 1 to 1 in order, and the end
    And the request ran at most 1 times

  Scenario: Headers that are the router's to set are not the caller's
    Given a deployment
    When a caller sends a look request with forged headers
    Then the replica got the organisation, its own name and the time that is left
    And the replica got neither the key nor any forged header

  Scenario: A caller that leaves its stream ends its run
    Given a deployment
    And streams of 500 events
    When a caller leaves a chat request after its first bytes
    Then the run is cancelled within half a second

  Scenario: A draining backend server gets no new work
    Given a deployment
    When backend server p0 says that it drains
    Then 10 look requests all run on p1

  Scenario: A slow answer is not asked for again where it is being made
    Given a deployment
    When backend server p0 says that it drains
    Then 30 look requests all run on p1
    And 1 look requests all run on p1 though it takes 400 ms

  Scenario: An address that another process took over is not used again
    Given a deployment
    When the address of p0 answers as another process
    Then 10 look requests all run on p1

  Scenario Outline: <what> is answered <status> and reaches no backend server
    Given a deployment
    When a caller sends <what>
    Then the caller gets <status>
    And no backend server was reached

    Examples:
      | what                         | status |
      | an unknown host              | 404    |
      | an unknown path              | 404    |
      | an unknown key               | 401    |
      | no key                       | 401    |
      | no identifier                | 400    |
      | two identifiers              | 400    |
      | both a length and chunks     | 400    |
      | two lengths                  | 400    |
      | a body over the limit        | 413    |
      | a head over the limit        | 431    |
      | a head that never ends       | 408    |
      | bytes that are not HTTP      | 400    |

  Scenario: An idle connection is closed for good when the gateway leaves
    Given a deployment
    When the gateway stops while a connection is idle
    Then the connection ends within the grace period

  Scenario: Streams in flight end whole when the gateway stops
    Given a deployment
    And streams of 40 events
    When the gateway stops while a stream is in flight
    Then the caller got events 1 to 40 in order, and the end
    And the gateway says that nothing was cut

  Scenario: A request in the last moments of the grace period is refused, not cut
    Given a deployment
    And streams of 500 events
    When the gateway stops while a stream holds it, and requests go on coming
    Then every one of them got a whole answer, the last ones 503
