Feature: Heads of responses are read strictly, wherever they are read

  Scenario: No head that HTTP forbids is read, in whatever parts it comes
    Given each head that HTTP forbids, in any parts
    Then it is refused, and no byte of it is passed on

  Scenario: Each valid head is passed on as it came, in whatever parts it comes
    Given valid heads after any interim answers, in any parts
    Then each is passed on as it came, without the interim answers

  # Guards against connections that are read on although no head can come of their bytes.
  Scenario Outline: Bytes that can't become a head are refused at once: <bytes>
    When a response begins with <bytes>
    Then it is refused

    Examples:
      | bytes                              |
      | this is no answer                  |
      | HTTP/2                             |
      | HTTP/1.1 200 OK\r\nX-A: 1\x00       |
      | HTTP/1.1 200 OK\r\nno field\r\n     |
      | HTTP/1.1 200 OK\r\nX-A: 1\n         |
      | HTTP/1.1 200 OK\nX-A: 1\r\n         |
      | HTTP/1.1 100 Continue\r\n\r\nX       |

  Scenario: A head without end is refused
    When a response has a head without end
    Then it is refused after at most 48 KB

  # Guards against memory that interim answers take until somebody reads them.
  Scenario: Interim answers are not kept
    Given a connection that waits for a response
    When 100 interim answers arrive
    Then no response is kept for its reader
    And the response after them is read

  Scenario: Interim answers without end are refused
    Given a connection that waits for a response
    When 101 interim answers arrive
    Then the connection has failed

  # The adapters of each kind of server read with the same checks.
  Scenario Outline: A <sender> answers with heads that HTTP forbids
    Given a <sender> that answers each call with a head that HTTP forbids
    When it is called once for each of them
    Then each call failed

    Examples:
      | sender            |
      | store             |
      | peer              |
      | platform service  |
      | engine            |
      | identity          |
