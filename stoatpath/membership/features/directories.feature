Feature: Only backend servers with a valid entry of their own get work

  Scenario Outline: An entry <what> <verdict>
    Given a directory that lists p0 and p1
    When the entry of p0 <what>
    Then p0 <verdict>, and p1 gets work

    Examples:
      | what                                  | verdict      |
      | stays as it is                        | gets work    |
      | is marked as draining                 | gets no work |
      | is removed                            | gets no work |
      | is not JSON                           | gets no work |
      | is empty                              | gets no work |
      | lacks its address                     | gets no work |
      | has a number as its zone              | gets no work |
      | has an unknown state                  | gets no work |
      | has an address without a port         | gets no work |
      | is of another service                 | gets no work |
      | has fields of a later release         | gets work    |
      | is removed after an outage of 4000 ms | gets work    |
      | is removed after an outage of 100 ms  | gets no work |

  Scenario: An entry that lapsed in an outage and stays missing is removed two seconds later
    Given a directory that lists p0 and p1
    When the entry of p0 is removed after an outage of 4000 ms
    Then p0 gets work after 1500 ms and none after 2000 ms

  Scenario: A backend server whose entry lapsed in an outage and is renewed keeps getting work
    Given a directory that lists p0 and p1
    When the entry of p0 is removed after an outage of 4000 ms
    And the entry of p0 is renewed
    Then p0 gets work after 5000 ms

  # Guards against backend servers that are dropped although they run: a failed call
  # shortly after an outage replaced it, and with it the time for expired entries.
  Scenario Outline: An entry lapsed in an outage that was followed by a short one <where>
    Given a directory that lists p0 and p1
    When an outage of 4000 ms is followed by one of 20 ms <where>
    And the entry of p0 is removed
    Then p0 gets work after 1500 ms and none after 2000 ms

    Examples:
      | where               |
      | here                |
      | at another instance |

  Scenario: A restarted process does not inherit the requests of its former process
    Given a directory that lists p0 and p1
    When p0 restarts while requests of its former process are in flight
    Then p0 has no requests in flight

  Scenario: An entry with arbitrary content affects no other entry
    Given a directory that lists p0 and p1
    Then p1 gets work whatever bytes the entry of p0 holds
