Feature: Few instances read the store, and the others copy its tables from them

  Scenario: Instances follow others along a tree that ends at one reader
    Given any members in some availability zones that all know each other
    Then exactly one of them reads the store
    And none is followed by more than 8 of its zone and 8 of other zones

  Scenario: Instances with different views of the members never follow in a circle
    Given any members that know any part of each other
    Then following the sources from any of them ends at a reader

  Scenario: No relayed copy is dated later than the store's answer behind it
    Given a chain of instances with any clocks and any delays between them
    Then no copy is dated later than the store's answer behind it

  Scenario: No order of updates from others takes a copy back
    Given updates from copies of any ages of a growing table with removals
    Then no order of them takes a copy back, and the newest brings it up to date

  Scenario Outline: A malformed <message> is rejected
    Given any JSON in place of a <message>
    Then it is rejected as malformed

    Examples:
      | message |
      | request |
      | answer  |

  # Guards against keys that stay valid after they were taken away, since the numbers of
  # another instance date the copies later than the store did.
  Scenario Outline: A field of a <message> has any JSON
    Given any JSON in any field of a <message>
    Then it is rejected as malformed, or has versions and finite times

    Examples:
      | message |
      | request |
      | answer  |
      | update  |

  # Guards against the same by an instance that is behind: it may know the clock that the
  # store had before it came back from a copy.
  Scenario: An instance of an earlier era of the store tells its clock
    Given an instance whose copies were confirmed by another one
    When 10000 ms later one without newer copies tells a clock that is 9000 ms behind
    And the same copies arrive again without another confirmation
    Then its copies are at least 10000 ms old

  Scenario Outline: The calls to the store do not grow with the fleet: <count> instances
    Given <count> instances in <zones> availability zones, with a bound of <bound> ms
    When nothing changes for 10 s
    Then one instance reads the store, with at most 3 calls a second
    And all have routes confirmed within half of the bound

    Examples:
      | count | zones | bound |
      | 1     | 1     | 2000  |
      | 9     | 3     | 2000  |
      | 69    | 4     | 2500  |
      | 195   | 6     | 2500  |
      | 300   | 6     | 2500  |

  Scenario Outline: A change is known everywhere in time although the reader <fault>
    Given <count> instances in 3 availability zones, with a bound of 2000 ms
    When the reader <fault> just before a change
    Then all other instances know the change within the bound

    Examples:
      | fault           | count |
      | is killed       | 9     |
      | is killed       | 84    |
      | stops answering | 9     |
      | stops answering | 84    |
      | loses the store | 9     |
      | loses the store | 84    |

  Scenario: The reader that loses the store gets the change from another instance
    Given 9 instances in 3 availability zones, with a bound of 2000 ms
    When the reader loses the store just before a change
    Then all instances know the change within the bound

  Scenario: One reader after the other fails
    Given 84 instances in 3 availability zones, with a bound of 2000 ms
    When 5 readers stop answering, one after the other
    Then all other instances know each change within the bound

  Scenario: An instance that can't read the store gets changes from others
    Given 9 instances in 3 availability zones, with a bound of 2000 ms
    When the store turns all instances but the lowest in rank away
    Then all instances know the next change within 6000 ms

  Scenario: All have the tables again soon after an outage of the store
    Given 84 instances in 3 availability zones, with a bound of 2000 ms
    When the store is unreachable for 9 s and a row changes meanwhile
    Then all instances know the change within 2000 ms of its end
    And at most 70 calls a second were made in the outage

  # Guards against instances that follow the store no more: each took the old copy of
  # another one for the whole table that the store had asked it to read.
  Scenario Outline: The store was down for <seconds> s and has dropped its history: <count> instances
    Given <count> instances in 3 availability zones, with a bound of 2000 ms
    When the store is unreachable for <seconds> s and drops its history after a change
    Then all instances know the change within 2000 ms of its end
    And all instances know the next change within 2000 ms

    Examples:
      | count | seconds |
      | 1     | 4       |
      | 2     | 4       |
      | 3     | 4       |
      | 3     | 12      |
      | 9     | 4       |
      | 84    | 4       |

  Scenario: A poll that misses a change is replaced
    Given 3 instances in 1 availability zones, with a bound of 2000 ms
    When the reader's poll of a table is silent while a row of it is added
    Then all instances know the row within the bound

  Scenario: An instance that leaves is not followed any more
    Given 9 instances in 3 availability zones, with a bound of 2000 ms
    When the reader announces that it leaves
    Then another instance reads the store within 100 ms

  Scenario: Gateways find each other through their seeds, and one reads the store
    Given a deployment of 4 gateways that have the address of one
    Then they all follow one reader in the end
    And all of them know a change of the configuration

  Scenario: The load of all instances travels with the tables
    Given 59 instances in 4 availability zones, with a bound of 2500 ms
    When each has 2 requests at a backend server for 6 s
    Then all of them count 118 requests there, with sums younger than 2500 ms

  Scenario: Instances of an older build neither send nor need load sums
    Given 20 instances in 2 availability zones, with a bound of 2500 ms
    When 5 of them are of an older build, and each has 2 requests at a backend server
    Then all have the tables, and none counts more than 40 requests there
