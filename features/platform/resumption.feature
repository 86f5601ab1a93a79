Feature: A stream that has begun ends with its last event, or visibly incomplete

  # Guards against streams that end as complete, or contain an error's text, since the
  # attempt that resumed them got another answer than the rest of the stream.
  Scenario Outline: A stream is cut after <events> events, and resumed attempts get <next>
    Given a deployment
    And the next execution has fault cut-<events>
    And all later executions have fault <next>
    When a caller reads the bytes of the response to a chat request
    Then the caller got an incomplete response with events 1 to <events> only

    Examples: other statuses
      | events | next       |
      | 0      | status-400 |
      | 3      | status-400 |
      | 3      | status-404 |
      | 3      | status-409 |
      | 3      | status-429 |
      | 3      | status-302 |
      | 3      | status-500 |
      | 3      | status-503 |
      | 5      | status-409 |

    Examples: no stream, or one that reports a failure
      | events | next       |
      | 0      | status-200 |
      | 3      | status-200 |
      | 3      | status-204 |
      | 5      | status-200 |
      | 0      | events-409 |
      | 3      | events-404 |
      | 3      | events-500 |
      | 5      | events-503 |

    Examples: an end where more was seen
      | events | next  |
      | 0      | empty |
      | 3      | empty |

    Examples: no whole answer
      | events | next         |
      | 3      | short        |
      | 3      | reset-before |
      | 3      | reset-after  |
      | 3      | garbage      |
      | 3      | shed         |
      | 3      | no-seal      |
      | 3      | wrong-id     |
      | 3      | encoded      |

    Examples: a stream that isn't the rest
      | events | next         |
      | 3      | again        |
      | 3      | late         |
      | 3      | repeat       |
      | 3      | unnumbered   |
      | 1      | again        |
      | 4      | repeat       |

  Scenario Outline: A stream is cut, an attempt gets <next>, and the one after it the rest
    Given a deployment
    And 3 more model replicas
    And the next execution has fault cut-3
    And the next execution has fault <next>
    When a caller sends a chat request
    Then the caller got events 1 to 5 in order and the end of the stream
    And the request ran at most 3 times

    Examples:
      | next       |
      | status-409 |
      | status-200 |
      | events-500 |
      | short      |
      | shed       |
      | again      |
      | late       |
      | repeat     |
      | unnumbered |

  # Guards against streams that end as complete before their last event, since an attempt
  # that resumed them got a whole answer without any event.
  Scenario Outline: A stream has fault <cut>, and attempts that resume it get <rest>, then <next>
    Given a deployment
    And 2 more model replicas
    And the next execution has fault <cut>
    And the next execution has fault <rest>
    And all later executions have fault <next>
    When a caller reads the bytes of the response to a chat request
    Then the caller got a complete response with the events 1 2 3 4 5
    And the request ran at most 3 times

    Examples: another backend server has the rest
      | cut     | rest           | next |
      | break-0 | empty          | none |
      | break-3 | empty          | none |
      | break-3 | comment        | none |
      | break-3 | unframed-empty | none |

    Examples: another backend server has none either
      | cut     | rest           | next    |
      | break-5 | empty          | empty   |
      | break-5 | empty          | comment |
      | break-5 | unframed-empty | empty   |

  # Guards against the same, where no other backend server confirms that nothing follows.
  Scenario Outline: A stream is cut between events, an attempt gets <rest>, all later <next>
    Given a deployment
    And 2 more model replicas
    And the next execution has fault break-3
    And the next execution has fault <rest>
    And all later executions have fault <next>
    When a caller reads the bytes of the response to a chat request
    Then the caller got an incomplete response with events 1 to 3 only

    Examples:
      | rest           | next           |
      | empty          | status-409     |
      | empty          | status-500     |
      | empty          | reset-after    |
      | empty          | break-0        |
      | break-0        | empty          |
      | unframed-empty | reset-after    |

  Scenario Outline: A stream of the only backend server is cut, and its rest is <rest>
    Given a deployment with 1 model replica
    And the next execution has fault break-3
    And all later executions have fault <rest>
    When a caller reads the bytes of the response to a chat request
    Then the caller got an incomplete response with events 1 to 3 only

    Examples:
      | rest           |
      | empty          |
      | unframed-empty |

  # Guards against callers that can't get the end of a stream whose last event they have.
  Scenario: A caller resumes a stream after its last event, at the only backend server
    Given a deployment with 1 model replica
    When a caller resumes a chat request after 5
    Then the caller got a complete response without events

  # Guards against sound streams that are broken off: "a series of events with
  # increasing ids".
  Scenario Outline: A stream has numbers of kind <first> in its first run, <later> later
    Given a deployment
    And the next execution has fault <first>
    And all later executions have fault <later>
    When a caller reads the bytes of the response to a chat request
    Then the caller got a complete response with the events <events>

    Examples:
      | first      | later  | events         |
      | skip       | none   | 1 2 4 5        |
      | sparse     | none   | 10 20 30 40 50 |
      | sparse-cut | sparse | 10 20 30 40 50 |

  # Guards against events that come twice: nobody can tell whether another run begins
  # before or after an event without number.
  Scenario: A stream is cut after an event without number
    Given a deployment
    And the next execution has fault unnumbered-cut
    When a caller reads the bytes of the response to a chat request
    Then the caller got an incomplete response, with the last event unnumbered once
    And the requests ran 1 times

  # Guards against the head of an error within a stream, and against its end as complete.
  Scenario: A gateway fails in the middle of a stream
    Given a deployment
    And its backend servers pause 20 ms between events
    And the gateway fails internally once a stream has begun
    When a caller reads the bytes of the response to a chat request
    Then the caller got an incomplete response with events 1 to 1 only

  Scenario Outline: A caller resumes a stream after <last>, and the first run has fault <fault>
    Given a deployment
    And the next execution has fault <fault>
    When a caller resumes a chat request after <last>
    Then the caller got a <end> response with the events <events>

    Examples:
      | last    | fault  | end        | events    |
      | 3       | none   | complete   | 4 5       |
      | 3       | cut-1  | complete   | 4 5       |
      | 003     | none   | complete   | 4 5       |
      | 5       | none   | complete   |           |
      | 999     | none   | complete   |           |
      | 0       | none   | complete   | 1 2 3 4 5 |
      | nothing | none   | complete   | 1 2 3 4 5 |
      | text    | none   | complete   | 1 2 3 4 5 |
      | 3       | repeat | complete   | 4 5       |
      | 3       | again  | complete   | 4 5       |
      | 3       | empty  | complete   | 4 5       |

  Scenario: Two streams with the same attempt identifier at once
    Given a deployment
    And its backend servers pause 20 ms between events
    When two callers send chat requests with the same identifier at once
    Then each got a complete response with events 1 to 5

  Scenario Outline: A stream that fails before it has begun is answered with <status>
    Given a deployment
    And all later executions have fault <fault>
    When a caller sends a tell request
    Then the caller gets <status>
    And the request ran at most 1 times

    Examples:
      | fault      | status |
      | events-500 | 500    |
      | events-409 | 409    |
      | status-409 | 409    |

  Scenario Outline: A stream through another gateway is cut, and resumed attempts get <next>
    Given 3 gateways that know each other, 2 model and 2 plain replicas
    And 2 gateways are cut off from all replicas, whose connections are refused
    When callers send look requests to these, 10 a second for 1 s
    And callers send chat requests to these, 10 a second for 1 s
    And one of these gets a chat request whose executions have faults cut-3 and <next>
    Then the caller got an incomplete response with events 1 to 3 only

    Examples:
      | next                |
      | status-409          |
      | status-200          |
      | events-500          |
      | status-500          |
      | head-chunks-close-1 |

  # Guards against the end of a gateway that looks like the end of a stream.
  Scenario Outline: A gateway is <ended> in the middle of a stream
    Given a deployment
    And its backend servers pause 400 ms between events
    When a caller reads a stream, and after event <events> the gateway is <ended>
    Then the caller got an incomplete response with whole events in order

    Examples:
      | ended                          | events |
      | killed                         | 1      |
      | killed                         | 3      |
      | stopped, with a grace of 0.8 s | 1      |
      | stopped, with a grace of 0.8 s | 2      |

  Scenario Outline: The gateway that <part> a stream is <ended> in its middle
    Given 4 gateways that know each other, 2 model and 2 plain replicas
    And 2 gateways are cut off from all replicas, whose connections are refused
    When callers send look requests to these, 10 a second for 1 s
    And callers send chat requests to these, 10 a second for 1 s
    And one of these gets a chat request, and the one that <part> it is <ended> meanwhile
    Then the caller got whole events in order, and all of them in a complete response

    Examples:
      | part     | ended                          |
      | forwards | killed                         |
      | forwards | stopped, with a grace of 0.8 s |
      | serves   | killed                         |
      | serves   | stopped, with a grace of 0.8 s |
