Feature: Slots are shared fairly, and requests that can't meet their deadline are refused

  Scenario: Grants never exceed the capacity of a pool, and no slot is lost
    Then no sequence of requests overfills a pool or loses a slot

  Scenario Outline: The organisation with the lowest weighted usage is served first
    Given a slot queue of 1 slot that "big" has held for 5000 ms
    And "big" of weight <weight> and "small" of weight 1 each wait with one request
    When "big" releases the slot
    Then the slot goes to "<served>"

    Examples:
      | weight | served |
      | 1      | small  |
      | 10     | small  |

  Scenario: An organisation limited to one pool still gets its fair share
    Given pools "cheap" and "dear" of 4 slots each
    And "one" that may use "cheap" and "both" that may use either, both overloaded
    When 2000 slots are released and granted again
    Then "one" and "both" hold 4 slots each on average, within 0.3

  Scenario Outline: Within an organisation the earliest deadline goes first
    Given a slot queue of 1 slot that "a" has held for 100 ms
    And requests of "a" wait with deadlines <deadlines>
    When "a" releases the slot
    Then the slot goes to the request with the deadline <first>

    Examples:
      | deadlines           | first |
      | 30000, 28000, 29000 | 28000 |
      | 30000, 30001        | 30000 |

  Scenario: Some slots are reserved for short work
    Given a slot queue of 20 slots
    When "a" asks for 30 slots for long work after some short work
    Then 19 of them are granted
    And a short request is granted at once

  Scenario: Without short work no slot is reserved
    Given a slot queue of 20 slots
    When "a" asks for 30 slots for long work
    Then 20 of them are granted

  Scenario: Short work does not starve long work
    Given a slot queue of 1 slot with 40 short and 40 long requests of "a" waiting
    When 40 slots are released and granted again
    Then between 15 and 25 of the granted are long

  Scenario: A waiting request that can no longer meet its deadline gets no slot
    Given a slot queue of 1 slot that "a" has held for 100 ms
    And requests of "a" wait with deadlines 9000, 30000
    When "a" releases the slot at 8500 ms
    Then the slot goes to the request with the deadline 30000

  Scenario: A request that can't meet its deadline is refused at once with a retry time
    Given a slot queue of 1 slot that "a" has held for 5000 ms
    And requests of "b" wait with deadlines 100000, 100000, 100000
    When "b" asks with a deadline in 3000 ms
    Then it is refused as deadline-unreachable
    And its retry time is in the future

  # Guards against callers who are told to come back at once to a service that has no
  # slots at all, as if one were free.
  Scenario: A request waits for a pool without slots
    Given a slot queue of 0 slots
    When "a" asks with a deadline in 3000 ms
    Then it waits, and is expected to wait for ever
    And it gets the first slot that there is, or is told at its end to return after 1000 ms

  Scenario: One organisation can't fill the queue
    Given a slot queue of 1 slot with a limit of 40 that "a" has held for 1 ms
    When "a" asks 40 times more
    Then 10 wait and the others are refused as overloaded
    And a request of "b" waits

  Scenario: A cancelled request that waits for two pools is removed from both
    Given pools "cheap" and "dear" of 1 slots each
    And both are in use and a request of "a" waits for either
    When the request is cancelled
    Then no slot is granted to it when both are released

  Scenario: The exact fair shares that `stoatpath.measure` compares with are correct
    Then shares of three organisations on two pools match the values computed by hand

  # Guards against a queue that is broken by requests with equal identifiers.
  Scenario: Requests with equal identifiers in any order
    Given requests that are offered, granted, ended, cancelled and refused in any order
    Then no slot is lost or given twice, whatever identifiers they have

  # Guards against an answer that is lost, since the slot it frees can't be granted.
  Scenario: An entry of a request that doesn't wait costs nobody else a turn
    Given a queue with an entry of a request that doesn't wait
    Then the next request gets the slot, and one entry was discarded
