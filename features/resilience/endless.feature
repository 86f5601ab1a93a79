Feature: Answers without end to many requests don't end an instance

  # Guards against instances that run out of memory, since what the connections of many
  # requests have got waits to be read, or is held until an end that never comes.
  Scenario Outline: Backend servers send <part> without end to many callers at once
    Given a gateway process with 150 MB, before backend servers that send <part> without end
    When 800 callers at once send a <route> request
    Then each is answered with 502, 503 or 504
    And the process never took more than 150 MB

    Examples:
      | part             | route |
      | interim answers  | look  |
      | interim fields   | look  |
      | fields           | look  |
      | long fields      | look  |
      | chunk extensions | look  |
      | trailers         | look  |
      | bytes of a body  | book  |
