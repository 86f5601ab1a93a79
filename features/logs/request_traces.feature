Feature: The trace of a request from log files has what explains its outcome

  Scenario: A trace has the last state of the store however old it is
    Given a log in which the store was lost 60 s before a request was refused
    When the trace of the request is read
    Then it has the loss of the store, and its cause refers to that event

  Scenario: A trace shows a store as regained after a loss
    Given a log in which the store was lost and regained long before a request failed
    When the trace of the request is read
    Then it has the regained store, but not its loss

  Scenario: Events of other instances and later events are left out
    Given a log in which only another instance lost the store, and this one later
    When the trace of the request is read
    Then it has no event of the store

  Scenario: The log line of a request has its route and the age of the routes
    Given a deployment whose request log is captured
    When a booking is made
    Then its line names the route, the service, the timeout, the revision and its age
