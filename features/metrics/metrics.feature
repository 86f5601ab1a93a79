Feature: The metrics of a process count its requests

  Background:
    Given a site with a router and the sample configurations

  Scenario: Requests are counted by outcome and reason
    When 3 good requests and 2 with an unknown key are sent
    Then the router's metrics include
      | metric                                                                                  | value |
      | stoatpath_requests_total{outcome="completed",reason="",service="desk-assist"}           | 3     |
      | stoatpath_requests_total{outcome="not-run",reason="unauthenticated",service=""}         | 2     |
      | stoatpath_request_duration_seconds_count{service="desk-assist"}                         | 3     |
      | stoatpath_requests_open                                                                 | 0     |
      | stoatpath_billing_outbox_records                                                        | 0     |
      | stoatpath_may_take_work                                                                 | 1     |

  Scenario: Every metric is documented and every documented one is served
    When 1 good requests and 1 with an unknown key are sent
    Then the metrics of the router and of a controller are those of docs/METRICS.md
