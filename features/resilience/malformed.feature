Feature: Any JSON or bytes from outside leaves a process as it was, but for a log line

  Scenario: Peers send any JSON
    Given two gateways whose messages to each other were recorded
    When each topic gets 150 messages, recorded ones with a part replaced
    Then each is answered, or rejected as unreadable
    And the gateway still builds its own messages, metrics and decisions

  Scenario: Peers answer any JSON
    Given two gateways whose messages to each other were recorded
    When the first asks for tables and gossips 150 times, and gets changed answers
    Then neither task fails

  Scenario Outline: Any value is stored in a row of the table <table>
    Given a gateway with rows of all tables
    When 200 values are applied to a row of the table "<table>"
    Then no error but a log line comes of it, and requests are still served

    Examples:
      | table       |
      | op          |
      | rollouts    |
      | servers     |
      | statuses    |
      | quarantines |

  Scenario: The store answers with any page
    Given a store that answers with 150 pages of any JSON
    When a gateway's client reads and follows a table
    Then each read is a page or a failure

  # Guards against answers without end that take an instance's memory.
  Scenario Outline: A <sender> answers without end
    Given a <sender> that answers without end
    When it is asked 3 times
    Then each answer is a failure, and at most <limit> MB of each were read

    Examples:
      | sender                        | limit |
      | store                         | 24    |
      | peer                          | 16    |
      | platform service              | 24    |
      | engine that reports           | 4     |
      | engine that gets an order     | 4     |
      | engine that is told to cancel | 4     |

  Scenario: Callers send any head
    Given a gateway with rows of all tables
    When 100 callers send heads with changed or random bytes
    Then each is answered or closed, and requests are still served

  Scenario: A backend server answers with any head
    Given a gateway with a backend server that answers 100 times with any head
    When a caller sends a request for each
    Then each caller gets an answer that is no 500 of the gateway itself

  Scenario Outline: A peer sends <what> of a size that can't be passed on
    Given two gateways whose messages to each other were recorded
    When the first gets <what> of 2^64 - 1
    Then it still gossips with the second and decides on quarantines

    Examples:
      | what                      |
      | a claim of an incarnation |
      | a count of quarantines    |
      | a version of a quarantine |
