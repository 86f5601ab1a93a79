Feature: Large answers of other members are waited for while their bytes arrive

  Scenario Outline: An answer that <course>
    Given a member whose answer <course>
    When it is asked with 300 ms until the answer begins and 1500 ms in total
    Then the answer <outcome> within <limit> ms

    Examples:
      | course                           | outcome     | limit |
      | comes at once                    | is read     | 300   |
      | arrives evenly within 900 ms     | is read     | 1500  |
      | never begins                     | is given up | 600   |
      | stops halfway                    | is given up | 1200  |
      | arrives evenly within 4000 ms    | is given up | 1900  |

  Scenario: An answer to a message without an overall limit has one limit
    Given a member whose answer arrives evenly within 900 ms
    When it is asked with a limit of 300 ms
    Then the answer is given up within 600 ms
