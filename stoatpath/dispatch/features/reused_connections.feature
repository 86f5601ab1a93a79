Feature: No caller gets an answer that is not its own, whatever comes on a reused connection

  Scenario Outline: A backend server sends <what> on a pooled connection
    Given a service whose fourth answer is followed or replaced by <what>
    When 10 repeatable requests are sent one after another
    Then no request got another one's answer
    And all but at most the fourth were answered

    Examples:
      | what                                  |
      | bytes after a whole answer            |
      | a second copy at once                 |
      | a second copy after 10 ms             |
      | a second copy before the next answer  |
      | an answer to an earlier request first |
      | interim answers before it             |
      | an interim answer after it            |
      | a body after status 204               |
      | a body after the answer to HEAD       |
      | two lengths that differ               |
      | a length and chunks                   |
      | more bytes than its length            |
      | fewer bytes than its length           |

  Scenario: Requests are cancelled while their answers arrive
    Given a service whose answers come in two parts
    When 20 repeatable requests are sent and every third is cancelled in between
    Then no request got another one's answer
    And all that were not cancelled were answered

  # Guards against callers that are told "not run" for a request that a backend server
  # runs, since it wrote an earlier refusal once more on the same connection.
  Scenario Outline: A backend server writes a refusal once more on a kept connection <when>
    Given a service that refuses every third arrival, and writes that again <when>
    When 12 repeatable requests are sent one after another
    Then no request is said not to have run that the service ran
    And no request got another one's answer

    Examples:
      | when                   |
      | before the next answer |
      | after 5 ms             |
