Feature: An instance knows that it reaches no backend server of a service

  Scenario Outline: <case>: the service counts as <belief>
    Given <total> backend servers of a service, of which <open> accept connections
    When an attempt at one of them ends as <reason>
    Then within 1 s the service counts as <belief>

    Examples:
      | case                       | total | open | reason            | belief      |
      | all refuse                 | 9     | 0    | connect-failed    | unreachable |
      | one has failed             | 9     | 8    | connect-failed    | reachable   |
      | the only one refuses       | 1     | 0    | connect-failed    | unreachable |
      | connections fell silent    | 9     | 0    | silent-connection | unreachable |
      | an answer broke off        | 9     | 0    | broken-answer     | reachable   |

  Scenario: The service is reachable again soon after one backend server accepts
    Given 9 backend servers of a service, of which 0 accept connections
    When an attempt at one of them ends as connect-failed
    And all backend servers accept connections 5 s later
    Then within 1 s the service counts as reachable
    And the changes of the belief were told: unreachable, reachable
