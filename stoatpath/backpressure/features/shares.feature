Feature: Instances split the slots of backend servers that limit rejections

  Scenario Outline: <count> instances before <servers> backend servers of <slots> slots
    Given <count> instances and <servers> backend servers of <slots> slots each
    When they split the slots
    Then the shares of each backend server add up to its slots
    And each instance has a slot somewhere

    Examples:
      | count | servers | slots |
      | 1     | 9       | 32    |
      | 7     | 9       | 32    |
      | 7     | 4       | 6     |
      | 69    | 40      | 32    |
      | 195   | 90      | 32    |

  Scenario: Instances have a slot each where there are fewer slots than instances
    Given 195 instances and 4 backend servers of 6 slots each
    When they split the slots
    Then each instance has a slot somewhere

  Scenario Outline: <case>: a service counts as <belief>
    Given answers with Server-Brittle <values> to requests sent <sent> and read <read> ms
    Then the service counts as <belief>

    Examples:
      | case                       | values | sent  | read  | belief    |
      | none says so               | -,-    | 0,10  | 5,15  | unlimited |
      | one says so                | 5,5    | 0,10  | 5,15  | limited |
      | it no longer says so       | 5,-    | 0,10  | 5,15  | unlimited |
      | an answer from before that | 5,-    | 0,2   | 5,15  | limited |
      | the value can't be read    | x      | 0     | 5     | limited |
