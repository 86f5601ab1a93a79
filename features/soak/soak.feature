Feature: Gateways keep their promises while processes end and connections break

  Real processes on loopback, with faults drawn from a seed. More seeds and requests are
  played by hand, see CONTRIBUTING.

  Scenario: Answers with a length or chunks survive kills, pauses and broken connections
    When 200 streams are played with seed 9 and framed answers
    Then at least 150 streams were complete
    And no promise was broken

  Scenario: Answers that end with their connection survive the end of backend servers
    When 200 streams are played with seed 9 and unframed answers
    Then at least 150 streams were complete
    And no promise was broken
