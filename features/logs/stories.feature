Feature: The story of a request holds what decided it

  Scenario: A story tells the last news of the store however old it is
    Given a log in which the store was lost 60 s before a request was refused
    When the story of the request is read
    Then it tells that the store was lost, and the cause says to look for that

  Scenario: A store that is back is told as such
    Given a log in which the store was lost and regained long before a request failed
    When the story of the request is read
    Then it tells that the store was regained, not that it was lost

  Scenario: News of other instances and later news are left out
    Given a log in which only another instance lost the store, and this one later
    When the story of the request is read
    Then it tells nothing of the store

  Scenario: A request's line says what it asked for and how old the routes were
    Given a deployment that logs
    When a booking is made
    Then its line names the route, the service, the time allowed, the revision and its age
