Feature: A gateway that stops answers all that it has taken

  # Guards against requests that are dropped since the answer before them says close.
  Scenario: Two requests come at once on a kept connection of a gateway that stops
    Given a gateway with a kept connection
    When two book requests are written to it at once as the gateway stops
    Then both are answered with 200, and the second answer says close
