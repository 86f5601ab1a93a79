Feature: The trace of a request has the events that affected it

  Scenario: A trace has the last store event, however old it is
    Given a log with a store outage that began 60 s before a request was refused
    When the trace of the request is rendered
    Then it has the event store.lost, and its cause refers to that event

  Scenario: A trace reports the end of a store outage
    Given a log with a store outage that ended long before a request failed
    When the trace of the request is rendered
    Then it has the event store.regained and no event store.lost

  Scenario: Events of other instances and later events are left out
    Given a log with store outages of another instance and, after the request, of this one
    When the trace of the request is rendered
    Then it has no event about the store

  # Guards against a refusal whose cause, a drain of long ago, the trace does not name.
  Scenario: The trace of a request that was refused since all zones are drained
    Given a log with a drain that began 60 s before a request was refused
    When the trace of the request is rendered
    Then it has the event zones.drained, and its cause refers to that event

  Scenario: The log line of a request has its route and the age of the configuration
    Given a deployment whose request log is recorded
    When a booking is sent
    Then its log line has the route, the service, the timeout, the revision and its age

  # Guards against logs that can't tell an answer that was cut from one that ended.
  Scenario Outline: The log line of a request tells how the end of its answer was known
    Given a deployment whose request log is recorded
    When <request>
    Then its log line says <whether> that the answer ended with its connection

    Examples:
      | request                                                 | whether |
      | a booking is sent                                       | nowhere |
      | a booking is sent whose answer ends with its connection | once    |
