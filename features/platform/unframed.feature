Feature: An answer without length and chunks is complete only if nothing speaks against it

  # Guards against streams that end as complete before their last event: a process that
  # is killed closes its connections as one that has finished does.
  Scenario Outline: A stream that can be resumed ends with its connection: <fault>
    Given a deployment
    And the next execution has fault <fault>
    When a caller reads all bytes of the response to a chat request
    Then the caller got a complete response with chunks and events 1 to 5
    And the request ran at most 2 times
    And the log has the answer once, as whole

    Examples:
      | fault            |
      | unframed         |
      | unframed-cut     |
      | unframed-short   |
      | unframed-crash   |
      | unframed-restart |

  Scenario Outline: All streams of a service end with their connections: <fault>
    Given a deployment
    And all later executions have fault <fault>
    When a caller reads all bytes of the response to a chat request
    Then the caller got a complete response with chunks and events 1 to 5
    And the request ran at most <runs> times

    Examples:
      | fault          | runs |
      | unframed       | 2    |
      | unframed-short | 3    |

  # Guards against streams that break off although their last event was delivered, and
  # a backend server that has it refuses to send a rest.
  Scenario Outline: A stream ends with its connection, and the rest is answered with <next>
    Given a deployment
    And the next execution has fault unframed
    And all later executions have fault <next>
    When a caller reads all bytes of the response to a chat request
    Then the caller got a complete response with chunks and events 1 to 5
    And the log has the answer once, as unproven

    Examples:
      | next         |
      | status-400   |
      | status-409   |

  # Guards against streams that end as complete although nobody has said what follows.
  Scenario Outline: A stream ends with its connection: <first>, and nobody knows its rest: <next>
    Given a deployment
    And the next execution has fault <first>
    And all later executions have fault <next>
    When a caller reads all bytes of the response to a chat request
    Then the caller got an incomplete response with events 1 to <last>

    Examples:
      | first          | next         | last |
      | unframed       | status-500   | 5    |
      | unframed       | shed         | 5    |
      | unframed       | reset-before | 5    |
      | unframed       | reset-after  | 5    |
      | unframed       | short        | 5    |
      | unframed-short | status-500   | 3    |
      | unframed-short | shed         | 3    |
      | unframed-short | reset-before | 3    |
      | unframed-short | reset-after  | 3    |
      | unframed-short | garbage      | 3    |

  # Guards against a stream that ends as complete although nobody was asked for the rest.
  Scenario Outline: A stream ends with its connection, and the retry budget is spent
    Given a deployment
    And its retry budget is spent
    And the next execution has fault <fault>
    When a caller reads all bytes of the response to a chat request
    Then the caller got an incomplete response with events 1 to <last>
    And the request ran at most 1 times

    Examples:
      | fault          | last |
      | unframed | 5    |
      | unframed-short | 3    |

  # Guards against a stream that ends as complete although more of it was seen.
  Scenario Outline: A stream ends with its connection early, and its rest is cut: <rest>
    Given a deployment
    And the next execution has fault unframed-short
    And the next execution has fault <rest>
    And all later executions have fault reset-after
    When a caller reads all bytes of the response to a chat request
    Then the caller got an incomplete response with events 1 to <last>

    Examples:
      | rest     | last |
      | cut-1    | 4    |
      | unframed | 5    |

  # Also a part of an event shows that the stream goes on.
  Scenario Outline: A stream ends early: <first>, then <second>, then only <later>
    Given a deployment
    And the next execution has fault <first>
    And the next execution has fault <second>
    And all later executions have fault <later>
    When a caller reads all bytes of the response to a chat request
    Then the caller got an incomplete response with events 1 to 3

    Examples:
      | first          | second         | later          |
      | unframed-short | cut-0          | reset-after    |
      | unframed-short | cut-0          | unframed-empty |
      | unframed-short | late           | reset-after    |
      | unframed-short | unnumbered     | reset-after    |
      | unframed-short | unnumbered     | unframed-empty |
      | unframed-cut   | unframed-empty | unframed-empty |

  # Guards against answers that look whole although their process ended within them, and
  # against lengths that vouch for an end that nobody knows.
  Scenario Outline: A <route> request whose answer ends with its connection: <fault>
    Given a deployment
    And the next execution has fault <fault>
    When a caller reads all bytes of the response to a <route> request
    Then the caller got <response>
    And the request ran at most <runs> times

    Examples:
      | route | fault            | response                                          | runs |
      | tell  | unframed         | a complete response with chunks and events 1 to 5 | 1    |
      | tell  | unframed-crash   | an incomplete response with events 1 to 3         | 1    |
      | tell  | unframed-restart | an incomplete response with events 1 to 3         | 1    |
      | book  | unframed         | a response that ended with its connection         | 1    |
      | book  | unframed-short   | a response that ended with its connection         | 1    |
      | book  | unframed-crash   | a response with status 502                        | 1    |
      | look  | unframed         | a response that ended with its connection         | 1    |
      | look  | unframed-crash   | a whole response                                  | 2    |
      | sum   | unframed-restart | a whole response                                  | 2    |

  Scenario: The answer to a forwarded request ends with its connection
    Given 3 gateways that know each other, 2 model and 2 plain replicas
    And 2 gateways are cut off from all replicas, whose connections are refused
    When callers send look requests to these, 10 a second for 1 s
    And one of these gets a look request whose executions have fault unframed
    Then the caller got a response that ended with its connection
    When one of these gets a chat request whose executions have fault unframed
    Then the caller got a complete response with chunks and events 1 to 5

  # Guards against answers that fail for the way in which a backend server tells who it
  # is, and against a part of its report that is taken for the whole.
  Scenario Outline: A backend server tells who it is with fault <fault> after <answer>
    Given a deployment
    And the next execution has fault <answer>
    And backend servers tell who they are with fault <fault>
    When a caller reads all bytes of the response to a sum request
    Then the caller got <response>
    And the request ran at most <runs> times

    Examples:
      | fault   | answer           | response                                  | runs |
      | split   | unframed         | a response that ended with its connection | 1    |
      | split   | unframed-restart | a whole response                          | 2    |
      | text    | unframed         | a response that ended with its connection | 1    |
      | list    | unframed         | a response that ended with its connection | 1    |
      | endless | unframed         | a response that ended with its connection | 1    |
      | busy    | unframed         | a response that ended with its connection | 1    |
      | late    | unframed         | a response that ended with its connection | 1    |

  Scenario Outline: The log says why an answer that ended with its connection was cut
    Given a deployment
    And the next execution has fault <fault>
    When a caller reads all bytes of the response to a <route> request
    Then the log says that its backend server is not running: <why>

    Examples:
      | route | fault            | why                      |
      | sum   | unframed-crash   | ClientConnectorError     |
      | sum   | unframed-restart | another process answered |
      | look  | unframed-crash   | ClientConnectorError     |
