Feature: Concurrent submissions of operators are checked for conflicts

  Scenario Outline: <mine> after <theirs>
    Given the sample site
    And two operators with the same base revision
    When the other operator has <theirs> accepted
    And the operator submits <mine>
    Then it is <verdict>
    And a conflict shows the other operator, revision and change

    Examples:
      | theirs                                | mine                                  | verdict    |
      | another weight of acme                | another weight of acme                | a conflict |
      | another weight of acme                | another weight of tiny                | accepted   |
      | a template with another rate          | another weight of acme                | a conflict |
      | another weight of acme                | a template with another rate          | a conflict |
      | the withdrawal of one of two versions | a roll-out of that version            | a conflict |
      | a roll-out of that version            | the withdrawal of one of two versions | a conflict |
      | a service with another cascade        | another weight of acme                | a conflict |
      | the withdrawal of one of two versions | a service with another cascade        | a conflict |
      | a new price of an unused model        | a roll-out of that version            | accepted   |
      | a deleted organisation                | another weight of acme                | a conflict |
      | a deleted organisation                | a template with another rate          | accepted   |

  Scenario Outline: The reply to a submission is lost: <faults>
    Given the sample site
    And the next transactions meet <faults>
    When the operator submits another weight of acme
    Then it is <verdict>
    When the operator repeats the same submission
    Then it is accepted
    And the change is in the history once

    Examples:
      | faults                       | verdict            |
      | reply-lost                   | accepted           |
      | request-lost                 | accepted           |
      | write-lost                   | accepted           |
      | garbage                      | accepted           |
      | reply-lost,reply-lost        | accepted           |
      | request-lost,reply-lost      | accepted           |
      | write-lost,reply-lost        | accepted           |
      | down                         | a failure, not-run |
      | reply-lost then store down   | a failure, unknown |
      | request-lost then store down | a failure, unknown |

  Scenario: A submission id is used again for other changes
    Given the sample site
    When the operator submits another weight of acme
    And the operator submits another weight of tiny under the same id
    Then it is refused with a problem at submission_id whose value is "same-id"

  Scenario: The reply is lost and another operator's change comes first
    Given the sample site
    And the reply is lost and another operator's change follows at once
    When the operator submits another weight of acme
    Then it is accepted
    And the change is in the history once

  Scenario: Eight operators change different documents at once
    Given the sample site
    When 8 operators submit changes of different documents at once
    Then all 8 are accepted under 8 revisions

  Scenario: Eight operators change the same document at once
    Given the sample site
    When 8 operators submit changes of the same document at once
    Then 1 is accepted and 7 get a conflict

  Scenario: Any order of submissions, races and lost replies
    Then under any order of submissions, races and faults nothing reverts or is lost
