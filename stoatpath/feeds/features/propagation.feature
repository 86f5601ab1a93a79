Feature: A large change reaches all instances in time over slow links

  Scenario Outline: A row travels compressed to an asker that understands it: <understood>
    Given a copy with a row of 1400 routes
    When an asker that understands "<understood>" asks for it
    Then the answer has at most <kilobytes> KB
    And the asker reads the same row

    Examples:
      | understood | kilobytes |
      | zlib       | 80        |
      |            | 600       |
      | other      | 600       |

  Scenario: A row is compressed once and passed on as it came
    Given a copy with a row of 1400 routes
    When the row is passed on along a chain of 3 instances
    Then it is compressed once

  Scenario Outline: A request of a build from before compression <encodings> is answered plainly
    Given a copy with a row of 1400 routes
    When a request whose encodings are <encodings> arrives
    Then the rows of the answer have 4 fields

    Examples:
      | encodings |
      | missing   |
      | null      |

  Scenario: Messages of builds from before this work are read
    Given a copy with a row of 1400 routes
    When a request and an answer lack all fields that were added
    Then they are read, and tell nothing of these fields

  Scenario Outline: A value with <fault> is rejected as malformed
    Given a compressed row with <fault>
    Then the update is rejected as malformed

    Examples:
      | fault               |
      | an unknown encoding |
      | a cut-off value     |
      | a value too large   |
      | no zlib data        |
      | no value            |

  Scenario Outline: 1400 more routes are known in time without a fault, <count> instances
    Given <count> instances with links of <links> Mbit/s and a bound of 2500 ms
    When 1400 routes are added
    Then all have the change within <limit> ms
    And at most <megabytes> MB were sent

    Examples:
      | count | links     | limit | megabytes |
      | 7     | 10,100,5  | 1250  | 1         |
      | 59    | 10,100,5  | 2000  | 6         |

  Scenario: A large answer over a slow link is not given up while its bytes arrive
    Given 59 instances with links of 10,100,5,20 Mbit/s and a bound of 2500 ms
    When 1400 routes are added
    Then no answer is given up and no source rejected

  Scenario Outline: <count> instances get 1400 more routes in time although <fault>
    Given <count> instances with links of 10,100,5,20 Mbit/s and a bound of 2500 ms
    When 1400 routes are added as the fault <fault> begins
    Then all instances have the change within 2500 ms
    And at most <rejected> sources are rejected
    And at most <peak> store calls are made within 50 ms

    Examples:
      | count | fault           | rejected | peak |
      | 7     | reader-cut      | 10       | 10   |
      | 7     | reader-zone-cut | 10       | 10   |
      | 59    | reader-cut      | 100      | 20   |
      | 59    | reader-zone-cut | 120      | 20   |

  Scenario Outline: A read of the store whose answer <course>
    Given a store whose answer <course>
    When an instance <call> it
    Then the rows are <outcome> within <limit> ms

    Examples:
      | course                        | call             | outcome | limit |
      | arrives evenly within 1500 ms | reads            | known   | 2500  |
      | arrives evenly within 1500 ms | waits 100 ms for | known   | 2500  |
      | never begins                  | reads            | unknown | 1500  |
      | never begins                  | waits 100 ms for | unknown | 1600  |
      | stops halfway                 | reads            | unknown | 2000  |

  Scenario: A poll whose answer arrives slowly is not replaced
    Given a store whose answer arrives evenly within 900 ms
    When an instance polls it and hears of a newer version each 50 ms
    Then the rows are known within 1500 ms
    And the store was called once

  Scenario: A table is not read whole after a failed poll
    Given a store with a row and a follower of its table
    When a poll fails and the row changes
    Then the copy has the new value within a few reads
    And the table was read whole once

  Scenario Outline: An instance that hears of a newer version from <sender> gets it elsewhere
    Given 9 instances with links of 100 Mbit/s and a bound of 2500 ms
    When one loses its source and the store as 1400 routes are added
    And it hears of the newer version from <sender> 300 ms later
    Then it has the change within <limit> ms

    Examples:
      | sender   | limit |
      | an asker | 650   |
      | nobody   | 2500  |

  Scenario: Each instance knows how long a change took from the store
    Given 9 instances with links of 10,100,5 Mbit/s and a bound of 2500 ms
    When 1400 routes are added and each instance tells how long that took
    Then each tells the measured time, with an error of at most 40 ms
