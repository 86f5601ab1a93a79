Feature: Session pins survive changes of membership

  Scenario: The two holders of a pin are in different zones
    Then any instances in several zones hold each key in two zones
    And one more instance changes at most one holder of a key

  Scenario: All instances agree on a pin in whatever order they receive updates
    Then any pins of one session merge to the same pin in any order

  Scenario: A session keeps its version while instances crash, join, leave and restart
    Then no order of turns, changes of membership and lost messages moves a session

  Scenario: A full store drops the least recently used pin
    Given a store of 3 pins that is full
    When the oldest pin is read and another is added
    Then the least recently used pin is gone

  Scenario Outline: Pins at risk are written while a roll-out <state>
    Given an archive of a site whose roll-out <state>
    When 450 pins are added
    Then <rows> rows are written in <writes> transactions

    Examples:
      | state      | rows | writes |
      | is running | 450  | 3      |
      | is halted  | 0    | 0      |
      | is absent  | 0    | 0      |

  Scenario Outline: The write rate of all members together is bounded
    Given an archive of a site whose roll-out is running
    When the site has <members> members
    Then all archives together write at most <writes> times a second

    Examples:
      | members | writes |
      | 1       | 10     |
      | 9       | 50     |
      | 540     | 50     |

  Scenario: After an outage of the table only the newest pin of a session is written
    Given an archive of a site whose roll-out is running
    When a session moves twice while the table is down
    Then its last pin is written once the table is back
