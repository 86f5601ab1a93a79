Feature: Why a request was served as it was, asked of any instance

  Scenario: Any instance explains a request that any router served
    Given a site that served a question, a stream, a keyed call and a refused request
    When the controller and each router are asked why
    Then all give the same steps of each request, in order
    And the steps of the question say arrival, plan, slot, backend server and end
    And the refused request is explained by its refusal

  Scenario: An unknown request is said to be unknown, and who did not answer
    Given a site that served a question, a stream, a keyed call and a refused request
    When an unknown request is asked for while a router is gone
    Then the failure says that nobody remembers it and names the router

  Scenario: Neither log lines nor explanations hold secrets or bodies
    Given a site that served a question, a stream, a keyed call and a refused request
    Then no log line and no explanation holds a key, a session, a prompt or an answer

  Scenario: The memory of the ring is bounded
    Then any notes leave the ring within its bound, and the newest request is kept
