Feature: Gateways together send a backend server no more than it asks for

  # Guards against a named limit that is not read, or that each instance takes whole.
  Scenario: A backend server that names a limit gets no more than that from all gateways
    Given 5 gateways that know each other, and 3 backend servers of a service
    And backend server p0 names a limit of 2 requests a second
    When callers send 40 look requests a second through all gateways for 4 s
    Then p0 got at most one and a half times its limit and 5 requests in any 4 s
    And p0 got at least 2 requests from gateways that it had told
    And all requests are answered with 200

  Scenario: Requests are refused at once while all backend servers are at their limits
    Given 2 gateways that know each other, and 2 backend servers of a service
    And all backend servers name a limit of 0.2 requests a second
    When callers send 20 look requests a second through all gateways for 2 s
    Then some requests are refused with 503 and a time to return of 0.1 s to 10 s
    And none of the refused requests ran

  # Guards against requests to a backend server that leaves but is still listed as ready.
  Scenario Outline: A backend server that says in <answer> that it is leaving gets no more requests
    Given 1 gateways that know each other, and 2 backend servers of a service
    And backend server p0 says in <answer> that it is leaving
    When <before> look requests are sent, and p0 has got one of them
    Then of 20 more look requests p0 gets none
    And after its entry was removed and listed again, of 20 more look requests p0 gets none

    Examples:
      | answer                | before |
      | its answers           | 20     |
      | answers that it fails | 20     |

  # Guards against requests to a backend server that asked for a pause.
  Scenario: A backend server that turns requests away for some time gets none until its end
    Given 2 gateways that know each other, and 2 backend servers of a service
    And backend server p0 turns requests away for 30 s
    When callers send 40 look requests a second through all gateways for 2 s
    Then p0 got at most 1 request from each gateway
    And all requests are answered with 200

  # Guards against a pause that is forgotten as the entry of a backend server comes and goes.
  Scenario: A pause lasts while the entry of the backend server is away for a moment
    Given 1 gateways that know each other, and 2 backend servers of a service
    And backend server p0 turns requests away for 30 s
    When 20 look requests are sent, and p0 has got one of them
    Then after its entry was away for 0.7 s, of 20 more look requests p0 gets none

  # Guards against requests to a backend server that said so only after its entry was gone.
  Scenario: A backend server that says it leaves while its entry is away gets no more requests
    Given 1 gateways that know each other, and 2 backend servers of a service
    And backend server p0 says in its answers that it is leaving
    When p0 answers a look request 0.5 s after its entry was removed
    Then after its entry was away for 0.7 s, of 20 more look requests p0 gets none

  Scenario: Requests are refused at once while all backend servers want none
    Given 1 gateways that know each other, and 2 backend servers of a service
    And all backend servers turn requests away for 3 s
    When callers send 10 look requests a second through all gateways for 1 s
    Then some requests are refused with 503 and a time to return of 1.5 s to 5 s
    And each backend server got at most 1 request

  Scenario: A backend server whose pause is over gets one request first
    Given 1 gateways that know each other, and 2 backend servers of a service
    And backend server p0 turns requests away for 0.3 s
    When callers send 40 look requests a second through all gateways for 1 s
    And p0 takes requests again, each for 800 ms
    Then p0 gets 1 of 20 book requests meanwhile, and more when it has answered

  # Guards against backend servers that fall over from the requests they have to reject.
  Scenario: Backend servers that limit rejections are not overrun by all gateways together
    Given 5 gateways that know each other, and 2 backend servers of a service
    And all backend servers run 8 requests of 200 ms at once, and end beyond 5 rejections a second
    When callers send 120 look requests a second through all gateways for 6 s
    Then at most 2 times a backend server fell from 3 s after they first said so
    And at least 200 requests are answered with 200

  # Guards against instances that all take a cold, empty backend server for the best one.
  Scenario Outline: A cold backend server gets no more than its bound from all gateways: <case>
    Given 3 gateways that know each other, and 3 backend servers of a service
    And its backend servers are cold for 3 s and then take <rate> requests a second
    And the gateways know each other for 9 s
    When p0 becomes cold <how> and callers send 150 look requests a second for 3 s
    Then p0 got from <least> to <most> requests in any second
    And all requests are answered with 200

    Examples:
      | case                  | rate | how                   | least | most |
      | its row says so       | 10   | by its row            | 2     | 20   |
      | a new process         | 10   | by a later birth      | 2     | 20   |

  Scenario: A cold backend server of a service without a bound gets its share from all gateways
    Given 3 gateways that know each other, and 3 backend servers of a service
    And its backend servers are cold for 3 s and then take 0 requests a second
    And the gateways know each other for 9 s
    When p0 becomes cold by its row and callers send 150 look requests a second for 3 s
    Then no gateway has a bound for p0, and it got at least 0.2 of the requests
    And all requests are answered with 200
