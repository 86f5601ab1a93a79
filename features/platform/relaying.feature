Feature: Requests are relayed, reported correctly, and executed only as often as allowed

  Scenario Outline: A <route> request whose first execution has fault <fault>
    Given a deployment
    And the next execution has fault <fault>
    When a caller sends a <route> request
    Then the caller gets <status>
    And the request ran at most <runs> times
    And a successful response has the replica seal and the complete body

    Examples: repeatable requests are retried on another backend server
      | route | fault          | status | runs |
      | look  | shed           | 200    | 1    |
      | look  | shed-twice     | 200    | 1    |
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

    Examples: non-repeatable requests run at most once, and the response doesn't claim otherwise
      | route | fault          | status | runs |
      | book  | shed           | 200    | 1    |
      | book  | shed-twice     | 200    | 1    |
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

    Examples: a stream resumes after its last complete event
      | route | fault        | status | runs |
      | chat  | shed         | 200    | 1    |
      | chat  | error        | 200    | 2    |
      | chat  | cut          | 200    | 2    |
      | chat  | reset-before | 200    | 1    |
      | chat  | unframed     | 200    | 2    |
      | chat  | unframed-cut | 200    | 2    |

    Examples: a stream that can't be resumed runs once
      | route | fault        | status | runs |
      | tell  | none         | 200    | 1    |
      | tell  | shed         | 200    | 1    |
      | tell  | error        | 500    | 1    |
      | tell  | reset-after  | 502    | 1    |
      | tell  | cut          | 0      | 1    |
      | tell  | unframed     | 200    | 1    |
      | tell  | unframed-cut | 0      | 1    |

    Examples: buffered model responses
      | route | fault        | status | runs |
      | sum   | none         | 200    | 1    |
      | sum   | error        | 200    | 2    |
      | sum   | half         | 200    | 2    |

  # Guards against callers that wait until their deadline for the rest of a body of which
  # a part can't be read.
  Scenario Outline: A <route> request whose first answer is garbled within its body
    Given a deployment
    And the next execution has fault garbled
    When a caller sends a <route> request
    Then the caller gets <status> within 800 ms
    And the request ran at most <runs> times
    And a successful response has the replica seal and the complete body

    Examples:
      | route | status | runs |
      | look  | 200    | 2    |
      | sum   | 200    | 2    |
      | chat  | 200    | 2    |
      | book  | 502    | 1    |
      | tell  | 0      | 1    |

  # With one replica of the model service there is none to hedge to.
  Scenario Outline: A low-confidence response to a <route> request runs <models>
    Given a deployment with 1 model replica
    And the smallest model has confidence 30
    When a caller sends a <route> request
    Then the models that ran are <models>

    Examples:
      | route | models                |
      | chat  | tern-small tern-large |
      | sum   | tern-small tern-large |
      | tell  | tern-large            |

  # Guards against callers that are told "not run" for a request that a backend server
  # runs, since it wrote an earlier rejection once more on a kept connection.
  Scenario: Rejections that are written once more are taken for no other request
    Given a deployment
    And each second execution has fault shed-twice
    When 20 callers send a book request at the same time
    Then each was answered with 200 and ran once, or with 503 and never ran

  Scenario: An interrupted stream has every event once and in order
    Given a deployment
    And the next execution has fault cut
    When a caller sends a chat request
    Then the caller got events 1 to 5 in order and the end of the stream

  Scenario: A response with too low a confidence is replaced by the larger model's
    Given a deployment
    And the smallest model has confidence 30
    When a caller sends a chat request
    Then the models that ran are tern-small tern-large
    And the response is from tern-large

  Scenario: A high-confidence response of the smallest model is returned
    Given a deployment
    And the smallest model has confidence 90
    When a caller sends a chat request
    Then the models that ran are tern-small

  # Guards against a run of the larger model beyond those that the route allows.
  Scenario: A low-confidence response of the last run that is allowed is returned
    Given a deployment
    And 3 more model replicas
    And the smallest model has confidence 30
    And the next execution has fault reset-after
    And the third execution has fault reset-after
    When a caller sends a chat request
    Then the caller gets 200
    And the request ran at most 3 times

  Scenario: A low-confidence response isn't returned when the larger model fails
    Given a deployment
    And the smallest model has confidence 30
    And the second execution has fault error
    And the third execution has fault error
    When a caller sends a chat request
    Then the caller gets 500
    And the request ran at most 3 times

  Scenario Outline: A stream that <state> when its backend server dies is completed by another
    Given a deployment
    And the next execution has fault <fault>
    When its backend server stops accepting connections
    Then the caller got events 1 to 5 in order and the end of the stream
    And one probe was enough to detect it

    Examples:
      | state        | fault  |
      | hasn't begun | silent |
      | has begun    | stall  |

  Scenario: A long pause of a busy backend server causes no retry
    Given a deployment
    And streams of 1 events with 3300 ms before each
    When a caller sends a chat request
    Then the caller got events 1 to 1 in order and the end of the stream
    And the request ran at most 1 times

  Scenario: A caller can't forge the headers that the router sets
    Given a deployment
    When a caller sends a look request with forged headers
    Then the replica received the organisation, its own name and the remaining time
    And the replica received neither the key nor any forged header

  # Guards against requests that reach a backend server with another target.
  Scenario Outline: The target <target> reaches the replica unchanged
    Given a deployment
    When a look request comes with the target <target>
    Then the caller gets 200
    And the replica received the target <target>

    Examples:
      | target           |
      | /look/a?         |
      | /look/a#f        |
      | /look/a?b=c?d=/  |
      | /look/../x       |
      | /look/a/..       |
      | /look//b         |
      | /look/%7Ea%2Fb   |
      | /look/%zz?x=%    |
      | /look/a;p=1+2%20 |
      | /look/[a]{b}'"c  |

  # Guards against headers that lose the bytes which are not UTF-8, on either way.
  Scenario Outline: The header bytes <bytes> of a <route> request pass both ways unchanged
    Given a deployment
    And the next execution has fault echo-bytes
    When a <route> request comes with the header bytes <bytes>
    Then the caller gets 200
    And the replica and the caller received the header bytes <bytes>

    Examples:
      | route | bytes       |
      | look  | E9 FC       |
      | look  | 61 E9 C3 A9 |
      | look  | ED B3 A9    |
      | book  | E9 FC       |
      | chat  | E9 FC       |
      | chat  | C3 A9       |

  # Guards against requests that fail, or fail after they ran, by a name that isn't UTF-8.
  Scenario Outline: A <route> request during a roll-out runs with the bytes <bytes> in <header>
    Given a deployment
    And a roll-out of each service is in progress
    When 5 <route> requests come with the bytes <bytes> in <header>
    Then each gets 200, and replicas received the bytes <bytes> in <header>

    Examples:
      | route | header                    | bytes                         |
      | look  | Session                   | E9 FC                         |
      | chat  | Session                   | E9 FC                         |
      | chat  | X-Stoatpath-Prompt-Prefix | 61 E9 3A 36 30 2C 62 3A 34 30 |
      | sum   | X-Stoatpath-Prompt-Prefix | 61 E9 3A 36 30 2C 62 3A 34 30 |
      | look  | X-Stoatpath-Model         | E9 FC                         |

  # Guards against bodies that are changed on their way, or never sent.
  Scenario Outline: A <framing> body with content coding <coding> reaches the replica unchanged
    Given a deployment
    When a book request comes with a <framing> body and content coding <coding>
    Then the caller gets 200
    And the replica received its bytes and its content coding

    Examples:
      | framing  | coding   |
      | whole    | none     |
      | whole    | gzip     |
      | chunked  | gzip     |
      | whole    | deflate  |
      | whole    | br       |
      | whole    | identity |
      | expected | none     |
      | expected | gzip     |

  # Guards against callers who wait for an interim answer, or get one that they can't read.
  Scenario Outline: A request of <version> that expects <expectation> gets <first> first
    Given a deployment
    When a book request of <version> expects <expectation>
    Then its first status is <first>, its last one 200
    And the replica received the expectation <passed>

    Examples:
      | version  | expectation           | first | passed |
      | HTTP/1.1 | 100-continue          | 100   | none   |
      | HTTP/1.1 | 100-Continue          | 100   | none   |
      | HTTP/1.1 | x-other, 100-continue | 100   | none   |
      | HTTP/1.1 | x-other               | 200   | x-other |
      | HTTP/1.0 | 100-continue          | 200   | none   |

  # Guards against requests that get a header, or a second identifier, from the one before.
  Scenario Outline: A chunked body with <trailers> changes no other request, sent <how>
    Given a deployment
    When a book request with <trailers> and then a look request are sent <how>
    Then they get <first> and <second>
    And the replicas received the body, and no header that was a trailer

    Examples:
      | trailers                      | how          | first | second |
      | X-Trail: 1                    | in turn      | 200   | 200    |
      | X-Trail: 1, X-More: 0         | in turn      | 200   | 200    |
      | X-Stoatpath-Attempt-Id: other | in turn      | 200   | 200    |
      | X-Trail: 1                    | byte by byte | 200   | 200    |
      | no trailers                   | in turn      | 200   | 200    |
      | no trailers                   | byte by byte | 200   | 200    |
      | no trailers                   | at once      | 200   | 200    |
      | X-Trail: 1                    | at once      | 200   | 503    |
      | X-Stoatpath-Attempt-Id: other | at once      | 200   | 503    |

  # Guards against callers who wait for the time limit on bodies after a mistake.
  Scenario Outline: A chunked body that goes on with <bytes> is refused at once
    Given a deployment
    When a chunked book request goes on with <bytes>
    Then the caller gets 400 within 2 s
    And no backend server was reached

    Examples:
      | bytes                            |
      | zz\r\nbody\r\n                   |
      | 4\r\nbodyx\r\n                   |
      | 0\r\nno trailer\r\n\r\n          |
      | 0\r\nContent-Length: 5\r\n\r\n   |

  Scenario: An execution is cancelled when its caller disconnects
    Given a deployment
    And streams of 500 events
    When a caller disconnects from a chat request after the first bytes
    Then its execution is cancelled within half a second

  Scenario: A draining backend server gets no new requests
    Given a deployment
    When backend server p0 reports that it is draining
    Then 10 look requests all run on p1

  Scenario: A slow request isn't hedged to the backend server that runs it
    Given a deployment
    When backend server p0 reports that it is draining
    Then 30 look requests all run on p1
    And 1 look requests all run on p1 with a delay of 400 ms

  Scenario: An address that another process has taken over is not used
    Given a deployment
    When the address of p0 answers as another process
    Then 10 look requests all run on p1

  Scenario Outline: <request> gets <status> and reaches no backend server
    Given a deployment
    When a caller sends <request>
    Then the caller gets <status>
    And no backend server was reached

    Examples:
      | request                  | status |
      | an unknown host          | 404    |
      | an unknown path          | 404    |
      | an unknown key           | 401    |
      | no key                   | 401    |
      | no identifier            | 400    |
      | two identifiers          | 400    |
      | both a length and chunks | 400    |
      | two lengths              | 400    |
      | a body over the limit    | 413    |
      | a head over the limit    | 431    |
      | a head that never ends   | 408    |
      | bytes that are not HTTP  | 400    |

  Scenario: An idle connection is closed when the gateway stops
    Given a deployment
    When the gateway stops while a connection is idle
    Then the connection ends within the grace period

  Scenario: Streams in flight are completed when the gateway stops
    Given a deployment
    And streams of 40 events
    When the gateway stops while a stream is in flight
    Then the caller got events 1 to 40 in order and the end of the stream
    And the gateway reports that it cut no request

  Scenario: A request in the last moments of the grace period is refused, not cut
    Given a deployment
    And streams of 500 events
    When the gateway waits for a stream while it stops, and new requests arrive
    Then each of them got a complete response, the last ones 503

  # Guards against a timeout that ends connections to healthy backend servers which pause.
  Scenario: Connections to backend servers outlive a silence of a second or so
    Given the socket of a connection to a backend server
    Then the peer may be silent for 3 s, by keep-alive and by unacknowledged data

  # Guards against answers without end that take an instance's memory or time.
  Scenario Outline: Bytes without end are left: <fault> in answer to a <route> request
    Given a deployment
    And the next execution has fault <fault>
    When a caller sends a <route> request
    Then the caller gets <status>
    And the request ran at most <runs> times
    And at most 15 MB without end were read

    Examples:
      | fault           | route | status | runs |
      | endless-body    | look  | 200    | 2    |
      | endless-body    | book  | 502    | 1    |
      | endless-head    | look  | 200    | 2    |
      | endless-interim | look  | 200    | 2    |
      | endless-interim | book  | 502    | 1    |
      | endless-chunk   | look  | 200    | 2    |
      | endless-chunk   | book  | 502    | 1    |
      | endless-event   | chat  | 200    | 3    |
