Feature: A session keeps its version across a whole site

  Scenario Outline: A session that sends <what> keeps its version while <change>
    Given a site of 3 routers in two zones
    When a session that sends <what> has turns at every router while <change>
    Then every turn was completed on the version of the first

    Examples:
      | what             | change                                      |
      | its token        | another version becomes current             |
      | its identifier   | another version becomes current             |
      | its identifier   | a roll-out reaches everyone                 |
      | its token        | all routers restart gracefully one by one   |
      | its identifier   | all routers restart gracefully one by one   |
      | its identifier   | all routers crash and restart one by one    |

  Scenario Outline: A session moves when its version is <change>, and the answer says so
    Given a site of 3 routers in two zones
    When the version of a session is <change>
    Then the next turn runs on another version and reports that the old one <reason>
    And the turn after that stays on it and reports no move

    Examples:
      | change            | reason            |
      | withdrawn         | was withdrawn     |
      | suspended         | was suspended     |
      | no longer allowed | is no longer allowed |

  Scenario: A session is pinned to the version that answered its first turn
    Given a site of 3 routers in two zones
    When the first turn of a session escalates to the expensive model
    Then later turns run on the expensive model's version alone

  Scenario: Pins at risk from a roll-out survive the loss of all routers at once
    Given a site of 3 routers in two zones
    When all routers are lost at once during a roll-out that then reaches everyone
    Then every turn was completed on the version of the first
