Feature: Selection uses the load of the whole fleet and the speeds of backend servers

  Scenario Outline: A prompt <verdict> when <state>
    Given 20 backend servers with 32 slots, of which each has 8 requests of other instances
    When <state>
    Then at least 95 of 100 prompts <verdict>

    Examples:
      | state                                            | verdict    |
      | nothing else is known                            | go to home |
      | the home has 32 requests of others               | leave home |
      | the home has 9 requests of others                | go to home |
      | the home is full, by sums that are 6 s old       | go to home |
      | the home is full, by a message of an older build | go to home |
      | the home is full, by the sums of 9 instances     | go to home |

  Scenario: Fast backend servers get more than slow ones
    Given 20 backend servers with 32 slots, of which each has 16 requests of other instances
    When half of each zone is known to run at 1.7 and the others at 0.7
    Then 400 plain requests go to the fast ones at least 3 times as often

  Scenario: Instances with the same sums don't all choose the same backend server
    Given 20 backend servers with 32 slots, of which each has 20 requests of other instances
    When one backend server has none
    Then 59 instances send at most 60 of 100 requests there

  Scenario: A backend server that fails is avoided however idle it is
    Given 20 backend servers with 32 slots, of which each has 16 requests of other instances
    When the home is idle and fails half of its answers
    Then at least 95 of 100 prompts leave home

  Scenario: A backend server in another zone is used when it saves much time
    Given 6 backend servers with 6 slots, of which each has 12 requests of other instances
    When those of another zone have none
    Then at least 95 of 100 plain requests cross zones

  Scenario: A plain request goes where it ends first
    Given 3 backend servers with 6 slots, of which each has 12 requests of other instances
    When one backend server has none
    Then at least 90 of 100 plain requests go there

  Scenario: The own requests count at once, without waiting for sums
    Given 20 backend servers with 32 slots, of which each has 8 requests of other instances
    When this instance sends 30 requests to the home
    Then at least 95 of 100 prompts leave home
