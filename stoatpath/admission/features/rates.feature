Feature: An organisation's rate limit holds over all instances

  Scenario: Loans never admit more than the limit and its burst
    Then any loans and message losses admit at most the limit, its burst and one request per instance

  Scenario: An instance that gets all the traffic borrows the unused shares of the others
    Given 5 instances that share a limit of 100 a second
    When one of them is sent 90 requests a second for 20 seconds
    Then it admits at least 0.85 of them

  Scenario: A lender gets its share back when the loan ends
    Given 2 instances that share a limit of 100 a second
    When one borrows all it can, and later both are sent 80 a second for 20 seconds
    Then both admit at least 0.75 of half the limit in the last 10 seconds

  Scenario: Traffic spread evenly is admitted without loans
    Given 5 instances that share a limit of 100 a second
    When all of them are sent 18 requests a second for 20 seconds
    Then each admits at least 0.95 of them

  Scenario Outline: An instance that <event> counts <counted>
    Given 4 instances of which one <event>
    Then the limit is divided by <divisor> after <seconds> seconds

    Examples:
      | event           | counted            | seconds | divisor |
      | joins           | at once            | 0       | 5       |
      | leaves          | while it serves    | 1       | 4       |
      | left and ended  | no more            | 1       | 3       |
      | disappears    | for 5 more minutes   | 299     | 4       |
      | disappears    | no more after that | 301     | 3       |

  Scenario: The retry time of a refusal is when a request would be admitted
    Given an instance with a limit of 2 a second that is used up
    Then a request is refused just before the retry time, and admitted after it

  Scenario: Loans are requested over peer connections and tolerate lost replies
    Given two routers' exchanges connected by a link that loses every second reply
    When one router is sent all of a limit of 40 a second for 20 seconds
    Then at most the limit is admitted, and the loans were used
