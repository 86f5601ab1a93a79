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

  # Guards against requests that a stopping gateway accepts and cuts, on new and on kept
  # connections, and against processes that outlast their grace period.
  Scenario: Planned stops, with signals in series, cut no accepted request
    When 240 streams are played with seed 2 and planned stops only
    Then at least 180 streams were complete
    And no promise was broken

  # Guards against callers who stop an instance for others: equal identifiers, also those of
  # another organisation, callers who leave, pipelined requests and half heads.
  Scenario: Callers who misuse identifiers and connections hurt nobody else
    When 200 streams are played with seed 3 beside odd callers
    Then odd callers have sent 10 requests of each kind or more
    And at least 170 streams were complete
    And no promise was broken
