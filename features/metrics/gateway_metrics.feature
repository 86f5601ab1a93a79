Feature: The metrics of a gateway cover its requests, its delays and its retry budget

  Background:
    Given a deployment of a store, replicas and a gateway

  Scenario: Attempts are counted by kind of route, model and result
    When a booking, a lookup that one replica fails, and a chat are sent
    Then the gateway's metrics include
      | metric                                                                                            | value |
      | stoatpath_attempts_total{kind="at-most-once",model="booking-desk",result="whole"}                 | 1     |
      | stoatpath_attempts_total{kind="idempotent",model="booking-desk",result="backend-error"}           | 1     |
      | stoatpath_attempts_total{kind="idempotent",model="booking-desk",result="whole"}                   | 1     |
      | stoatpath_first_byte_seconds_count{kind="at-most-once"}                                           | 1     |
      | stoatpath_requests_waiting                                                                        | 0     |
      | stoatpath_log_lines_dropped_total                                                                 | 0     |

  Scenario: A blocked event loop is measured
    When the event loop is blocked for 400 ms
    Then its lag over 100 ms is counted

  Scenario: The remaining retry budget is exposed by service
    When a booking, a lookup that one replica fails, and a chat are sent
    Then the remaining retry budget of the plain service is exposed

  Scenario: Every metric of a gateway is documented and every documented one is served
    When a booking, a lookup that one replica fails, and a chat are sent
    Then the metrics of the gateway are those of docs/METRICS.md
