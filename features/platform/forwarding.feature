Feature: Callers of a gateway that reaches no backend server are served through others

  # Guards against callers that are refused by gateways cut off from all backend servers.
  Scenario Outline: Requests to gateways that are cut off are answered; connections <fail>
    Given 3 gateways that know each other, 2 model and 2 plain replicas
    And 2 gateways are cut off from all replicas, whose connections <fail>
    When callers send <route> requests to these, 10 a second for 5 s
    Then of those sent later than 3 s after the cut at least 9 in 10 are answered with 200
    And each request ran at most <runs> times
    And whole answers reached the callers

    Examples:
      | fail        | route | runs |
      | are refused | look  | 2    |
      | are refused | book  | 1    |
      | are refused | chat  | 3    |
      | hang        | look  | 2    |
      | hang        | book  | 1    |
      | hang        | chat  | 3    |

  Scenario: A gateway that is cut off isn't ready until it reaches replicas again
    Given 3 gateways that know each other, 2 model and 2 plain replicas
    And 1 gateways are cut off from all replicas, whose connections are refused
    When callers send look requests to these, 10 a second for 1 s
    And callers send chat requests to these, 10 a second for 1 s
    Then these are not ready, and the others are
    When the cut heals
    Then all gateways are ready within 2 s

  # Guards against requests to a backend server that leaves, from an instance that passed
  # on an answer which said so.
  Scenario: A gateway learns from answers that came through others which replicas leave
    Given 3 gateways that know each other, 2 model and 2 plain replicas
    And 1 gateways are cut off from all replicas, whose connections are refused
    And the replica p0 says in its answers that it is leaving
    When callers send look requests to these, 10 a second for 3 s
    Then one of them was told that p0 leaves
    When the cut heals
    Then all gateways are ready within 2 s
    And of 20 more look requests to these p0 gets none, though no other replica is left

  # Guards against callers that are refused while all gateways that reach replicas drain.
  Scenario Outline: Callers of a gateway that is cut off are served while the others drain
    Given 3 gateways that know each other, 2 model and 2 plain replicas
    And 1 gateways are cut off from all replicas, whose connections <fail>
    When callers send <route> requests to these, 10 a second for 2 s
    And the others are told to stop, with a grace period of 8 s
    And callers send <route> requests to these, 10 a second for 2 s
    Then of those sent since then at least 9 in 10 are answered with 200
    And the others stop without cutting a request

    Examples:
      | fail        | route |
      | are refused | look  |
      | hang        | look  |
      | hang        | chat  |

  # Guards against headers that lose the bytes which are not UTF-8 at a second gateway.
  Scenario Outline: Header bytes of a <route> request pass through two gateways unchanged
    Given 2 gateways that know each other, 2 model and 2 plain replicas
    And 1 gateways are cut off from all replicas, whose connections are refused
    And the replicas answer with the header bytes that they receive
    When callers send <route> requests to these, 10 a second for 1 s
    And a <route> request with the header bytes E9 FC comes to one of these
    Then it is answered with 200 and the header bytes E9 FC, which a replica received

    Examples:
      | route |
      | look  |
      | chat  |

  # Guards against requests that gateways forward to each other in circles.
  Scenario: No request is forwarded where no gateway reaches replicas
    Given 3 gateways that know each other, 2 model and 2 plain replicas
    And 3 gateways are cut off from all replicas, whose connections are refused
    When callers send look requests to these, 10 a second for 2 s
    Then all are answered with 503 within 1 s each
    And all gateways are ready within 2 s

  # Guards against requests that are cut by a gateway that stops, on either side of a
  # forward.
  Scenario Outline: <which> stop, and the requests that are forwarded take longer
    Given 3 gateways that know each other, 2 model and 2 plain replicas
    And 1 gateways are cut off from all replicas, whose connections are refused
    When callers send look requests to these, 10 a second for 2 s
    And replicas take 30 s for requests on book, which has a time limit of 20 s
    And <which> are told to stop, with a grace period of 3 s, and book requests come
    Then each is answered, and with 503 only if it never ran
    And no request ran twice, or began to run in the second half of a grace period
    And replicas were given no time beyond the end of the gateways that stop

    Examples:
      | which      |
      | the others |
      | these      |
