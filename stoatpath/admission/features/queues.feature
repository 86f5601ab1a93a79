Feature: Slots go to whom they are due, and who can't be served in time hears so

  Scenario: Slots never exceed their pool, and none is lost
    Then through any work no pool is overfilled and every slot comes back

  Scenario Outline: The organisation that had less by its weight is served first
    Given a slot queue of 1 slot that "big" has held for 5000 ms
    And "big" of weight <weight> and "small" of weight 1 each wait with one request
    When "big" gives the slot back
    Then the slot goes to "<served>"

    Examples:
      | weight | served |
      | 1      | small  |
      | 10     | small  |

  Scenario: An organisation that may use one pool alone is not held back by others
    Given pools "cheap" and "dear" of 4 slots each
    And "one" that may use "cheap" and "both" that may use either, both overloaded
    When 2000 slots are given back and granted anew
    Then "one" and "both" hold 4 slots each on average, give or take 0.3

  Scenario Outline: Within an organisation the earliest deadline goes first
    Given a slot queue of 1 slot that "a" has held for 100 ms
    And requests of "a" wait with deadlines <deadlines>
    When "a" gives the slot back
    Then the slot goes to the request with the deadline <first>

    Examples:
      | deadlines           | first |
      | 30000, 28000, 29000 | 28000 |
      | 30000, 30001        | 30000 |

  Scenario: Short work keeps a lane
    Given a slot queue of 20 slots
    When "a" asks for 30 slots for long work after some short work
    Then 19 of them are granted
    And a short request is granted at once

  Scenario: Without short work no slot is kept back
    Given a slot queue of 20 slots
    When "a" asks for 30 slots for long work
    Then 20 of them are granted

  Scenario: Short work does not starve the rest
    Given a slot queue of 1 slot with 40 short and 40 long requests of "a" waiting
    When 40 slots are given back and granted anew
    Then between 15 and 25 of the granted are long

  Scenario: What can no longer end in time gets no slot
    Given a slot queue of 1 slot that "a" has held for 100 ms
    And requests of "a" wait with deadlines 9000, 30000
    When "a" gives the slot back at 8500 ms
    Then the slot goes to the request with the deadline 30000

  Scenario: What can't meet its deadline is refused at once, with when to come back
    Given a slot queue of 1 slot that "a" has held for 5000 ms
    And requests of "b" wait with deadlines 100000, 100000, 100000
    When "b" asks with a deadline in 3000 ms
    Then it is refused as deadline-unreachable
    And it is told to come back later than now

  Scenario: One organisation can't fill the queue
    Given a slot queue of 1 slot with a limit of 40 that "a" has held for 1 ms
    When "a" asks 40 times more
    Then 10 wait and the others are refused as overloaded
    And a request of "b" waits

  Scenario: A request that waits for two pools is forgotten in both
    Given pools "cheap" and "dear" of 1 slots each
    And both are in use and a request of "a" waits for either
    When the request is withdrawn
    Then no slot goes to it when both are given back

  Scenario: The exact fair shares of the experiments are right
    Then shares of three organisations on two pools are as worked out by hand
