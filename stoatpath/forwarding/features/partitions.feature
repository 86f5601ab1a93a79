Feature: An instance knows that it reaches no backend server of a service

  Scenario Outline: <case>: the service counts as <belief>
    Given <total> backend servers of a service, of which <open> accept connections
    When an attempt at one of them ends as <reason>
    Then within 1 s the service counts as <belief>

    Examples:
      | case                       | total | open | reason            | belief      |
      | all refuse                 | 9     | 0    | connect-failed    | unreachable |
      | one has failed             | 9     | 8    | connect-failed    | reachable   |
      | the only one refuses       | 1     | 0    | connect-failed    | unreachable |
      | connections fell silent    | 9     | 0    | silent-connection | unreachable |
      | an answer broke off        | 9     | 0    | broken-answer     | reachable   |

  Scenario: The service is reachable again soon after one backend server accepts
    Given 9 backend servers of a service, of which 0 accept connections
    When an attempt at one of them ends as connect-failed
    And all backend servers accept connections 5 s later
    Then within 1 s the service counts as reachable
    And the changes of the belief were told: unreachable, reachable

  Scenario Outline: <cut> of <count> instances are cut off: each finds others that are not
    Given <count> instances that know each other, of which <cut> reach no backend server
    When these have asked for <seconds> s
    Then each of these knows peers that reach backend servers, and no others
    And no more than 23 KB a second were sent for each

    Examples:
      | count | cut | seconds |
      | 7     | 1   | 1       |
      | 7     | 6   | 1       |
      | 69    | 41  | 1       |
      | 195   | 117 | 1       |
      | 544   | 435 | 2       |

  # Guards against answers that can't be read, and against those of older releases.
  Scenario Outline: The answer of a peer is <text>: until when it takes <what>
    Given the answer of a peer: <text>
    Then it takes requests <requests> and streams <streams>

    Examples:
      | text                                                      | what    | requests     | streams      |
      | {"address": "a:1", "left_ms": 500, "streams_left_ms": -5} | both    | for 500 ms   | for -5 ms    |
      | {"address": "a:1", "left_ms": null, "streams_left_ms": null} | both | without end  | without end  |
      | {"address": "a:1"}                                        | both    | without end  | without end  |
      | {"address": ""}                                           | nothing | never        | never        |
      | {"address": "a:1", "left_ms": "x"}                        | nothing | never        | never        |
      | {"address": "a:1", "left_ms": NaN}                        | nothing | never        | never        |

  Scenario: Where no instance reaches backend servers, none is found
    Given 7 instances that know each other, of which 7 reach no backend server
    When these have asked for 2 s
    Then none of these knows a peer
