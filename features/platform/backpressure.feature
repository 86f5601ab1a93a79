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
