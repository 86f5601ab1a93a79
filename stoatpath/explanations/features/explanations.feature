Feature: Any instance explains how a request was served

  Scenario: Any instance explains a request that any router served
    Given a site that served a question, a stream, a keyed call and a refused request
    When the explanations are looked up at the controller and each router
    Then all return the same steps of each request, in order
    And the question went through arrival, plan, admission, routing, stages and end
    And the explanation of the refused request ends with its failure

  Scenario: The failure for an unknown request names the instances that did not answer
    Given a site that served a question, a stream, a keyed call and a refused request
    When an unknown request is looked up after a router went down
    Then the failure says that no instance remembers it and names the router

  Scenario: Neither log lines nor explanations contain secrets or bodies
    Given a site that served a question, a stream, a keyed call and a refused request
    Then no log line and no explanation contains a key, a session, a prompt or an answer

  Scenario: The memory of the ring is bounded
    Then the ring stays within its bound plus one request and keeps the newest request
