Feature: A body that ends with its connection is cut visibly until all of it is sent

  # Guards against the end of a process that discards what it has not sent yet, while its
  # connections close as those of a complete response do.
  Scenario Outline: A caller reads a response of <size> bytes <speed>
    When a caller reads a response without length of <size> bytes <speed>
    Then the connection is to be reset on close until nothing waits to be sent
    And the caller gets all of it

    Examples:
      | size    | speed   |
      | 0       | at once |
      | 1000    | at once |
      | 1000    | slowly  |
      | 30000   | slowly  |
      | 200000  | at once |
      | 200000  | slowly  |
