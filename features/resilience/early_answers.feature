Feature: An answer that comes while its request is written, and is cut, is no answer

  # Guards against callers that get a part of a body as the whole one, since a backend
  # server answered a long upload at once and its connection was reset.
  Scenario Outline: Backend servers answer uploads early and reset: a <route> request, <framing>
    Given a gateway before backend servers that answer uploads early and reset
    When a caller uploads 3000 KB in a <route> request, for answers with <framing>
    Then the caller gets a whole 502

    Examples:
      | route | framing   |
      | book  | a length  |
      | book  | chunks    |
      | book  | neither   |
      | look  | a length  |
      | look  | chunks    |
      | look  | neither   |
