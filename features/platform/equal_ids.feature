Feature: Requests with equal identifiers hurt nobody else

  # Guards against a requester that stops an instance for all: two waiting requests with
  # one identifier broke the queue for slots, and the answers of others became 500.
  Scenario Outline: Pairs of requests with one identifier wait while all slots are in use: <owner>
    Given a deployment whose backend servers take 100 ms for a request
    When 40 callers send one request after the other for 2 s
    And <owner> sends 12 pairs of requests with one identifier a pair meanwhile
    Then each request of the callers is answered with 200 and ran once
    And each request of the pairs is answered with 200
    And all slots are free again

    Examples:
      | owner                |
      | another organisation |
      | the same one         |
