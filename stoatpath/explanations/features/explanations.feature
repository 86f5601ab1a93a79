Feature: Any instance explains how a request was served

  Scenario: Any instance explains a request that any router served
    Given a site that served a question, a stream, a keyed call and a refused request
    When the controller and each router are asked for the explanations
    Then all return the same steps of each request, in order
    And the steps of the question are arrival, plan, slot, backend server and end
    And the explanation of the refused request ends with its failure

  Scenario: The failure for an unknown request names the instances that did not answer
    Given a site that served a question, a stream, a keyed call and a refused request
    When an unknown request is looked up while a router is down
    Then the failure says that no instance remembers it and names the router

  Scenario: Neither log lines nor explanations contain secrets or bodies
    Given a site that served a question, a stream, a keyed call and a refused request
    Then no log line and no explanation contains a key, a session, a prompt or an answer

  Scenario: The memory of the ring is bounded
    Then any decisions keep the ring within its bound, and the newest request is kept
