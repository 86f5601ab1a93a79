Feature: The expected time of a request follows the known load of the backend server

  Scenario Outline: The weight of a load report decays with its age
    Given backend servers on which other routers use half of the slots
    And one that reported <running> running requests <age_ms> ms ago
    Then it is expected to run <batch> requests of other routers, within 0.5

    Examples:
      | running | age_ms | batch |
      | 0       | 0      | 0     |
      | 16      | 0      | 16    |
      | 0       | 500    | 4     |
      | 0       | 5000   | 8     |
      | 16      | 5000   | 8     |

  Scenario: Requests of this router count at once
    Given backend servers on which other routers use half of the slots
    And one that reported 8 running requests 0 ms ago
    When 4 requests are sent to it
    Then it is expected to take longer than before

  Scenario: A backend server with long token times is expected to take longer
    Given 2 engines, one with token times of 20 ms and one with 60 ms
    Then the second is expected to take 3 times as long
