Feature: The metrics of a gateway tell what it did and what it lacks

  Background:
    Given a deployment of a store, replicas and a gateway

  Scenario: Attempts are counted by kind of route, model and end
    When a booking, a lookup that one replica fails, and a chat are sent
    Then the gateway's metrics hold
      | metric                                                                                            | value |
      | stoatpath_attempts_total{kind="at-most-once",model="booking-desk",result="whole"}                 | 1     |
      | stoatpath_attempts_total{kind="idempotent",model="booking-desk",result="backend-error"}           | 1     |
      | stoatpath_attempts_total{kind="idempotent",model="booking-desk",result="whole"}                   | 1     |
      | stoatpath_first_byte_seconds_count{kind="at-most-once"}                                           | 1     |
      | stoatpath_requests_waiting                                                                        | 0     |
      | stoatpath_log_lines_dropped_total                                                                 | 0     |

  Scenario: An event loop that was held up shows it
    When the event loop is held up for 400 ms
    Then its lag over 100 ms was counted

  Scenario: The retry budget that is left is shown by service
    When a booking, a lookup that one replica fails, and a chat are sent
    Then what is left of the retry budget of the plain service is shown

  Scenario: Every metric of a gateway is documented and every documented one is served
    When a booking, a lookup that one replica fails, and a chat are sent
    Then the metrics of the gateway are those of docs/METRICS.md
