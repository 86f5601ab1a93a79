Feature: Requests whose content ends backend servers are refused, others are served

  # Guards against requests with one prompt part that end one backend server after another.
  Scenario: A prompt part that ends backend servers gets to few of them
    Given 3 gateways and 8 model replicas that end when an answer to the part "dd" begins
    When callers send 12 other and 3 poison chat requests a second through all gateways for 7 s
    Then at least 3 replicas have ended
    And at most 3 poison requests reach replicas later than 3 s after the fifth crash
    And the refused poison requests are answered with 503 and a time to return
    And at least 9 in 10 of the other requests sent in the last 2 s are answered with 200

  # Guards against one request that, sent again and again, ends all backend servers of a service.
  Scenario: A request that ends backend servers gets to few of them, though it comes again
    Given 3 gateways and 4 plain replicas that end when they run the path "/look/dd"
    When callers send 12 other and 6 poison lookups a second through all gateways for 8 s
    Then at least 2 replicas have ended
    And at most 3 poison requests reach replicas later than 3 s after the third crash
    And the refused poison requests are answered with 503 and a time to return
    And at least 9 in 10 of the other requests sent in the last 2 s are answered with 200

  # Guards against crashes of one replica, under the name that it keeps, that count as one.
  Scenario: The same where replicas come back under their names
    Given 3 gateways and 2 plain replicas that end when they run the path "/look/dd"
    And these replicas come back under their names
    When callers send 40 other and 6 poison lookups a second through all gateways for 8 s
    Then at least 2 replicas have ended
    And at most 3 poison requests reach replicas later than 3 s after the third crash
    And at least 9 in 10 of the other requests sent in the last 2 s are answered with 200

  # Guards against crashes that are not seen, since the callers of the request left before.
  Scenario Outline: A <kind> whose callers leave at once gets to few backend servers
    Given 3 gateways and 4 <replicas> replicas that end when they run the path "<path>"
    When callers send 12 other and 6 poison <kind>s a second for 8 s, and those of poison leave after 10 ms
    Then at least 2 replicas have ended
    And at most 3 poison requests reach replicas later than 3 s after the third crash
    And at least 9 in 10 of the other requests sent in the last 2 s are answered with 200

    Examples:
      | kind   | replicas | path     |
      | lookup | plain    | /look/dd |
      | chat   | model    | /chat/dd |

  # Guards against a quarantine that is unknown to instances which reach no other instance.
  Scenario: A gateway that reaches no other learns which requests are in quarantine
    Given 2 gateways and 4 plain replicas that end when they run the path "/look/dd"
    And another gateway that knows no other
    When callers send 12 other and 6 poison lookups a second through the first 2 gateways for 4 s
    And callers send 6 poison lookups a second through the last gateway for 2 s
    Then no poison request of the last gateway reached a replica

  # Guards against a quarantine that is lost when all instances end at once.
  Scenario: A quarantine holds after all gateways have ended
    Given 2 gateways and 4 plain replicas that end when they run the path "/look/dd"
    When callers send 12 other and 6 poison lookups a second through all gateways for 4 s
    And all gateways end and 1 other starts
    And callers send 6 poison lookups a second through the last gateway for 2 s
    Then no poison request of the last gateway reached a replica

  # Guards against logs that don't tell under which content a backend server ended.
  Scenario: The log of a request tells its shared parts and how far a failed attempt came
    Given 1 gateways and 2 model replicas that end when an answer to the part "dd" begins
    When a poison chat request is sent
    Then its log line names the part "dd" and a failed attempt that began and had no events

  # Guards against logs that don't tell which failed requests were the same.
  Scenario: The log tells which requests have the same content
    Given 2 gateways and 2 plain replicas that end when they run the path "/look/dd"
    When a poison lookup is sent through each gateway, and another one
    Then the log lines of the poison lookups name the same content, that of the other another
