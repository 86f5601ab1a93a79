Feature: Loads of backend servers are summed over all instances

  Scenario: Every instance knows the load from all others, and its own only once
    Given 20 instances that follow each other, of which each has 2 requests at s0
    When they exchange tables for 5 rounds
    Then every instance counts 40 requests at s0
    When each of them ends its requests at s0
    Then every instance counts 38 requests at s0

  Scenario: Any order of messages, losses and restarts leaves sums above zero
    Then after any exchanges no load is negative, and the own part counts once at most

  Scenario: A report that arrives late doesn't replace a newer one
    Given 2 instances that follow each other, of which each has 2 requests at s0
    When a report of one request at s0 overtakes one of 9
    Then the first instance counts 3 requests at s0

  Scenario: Sums lapse, and the load is that of the own requests again
    Given 3 instances that follow each other, of which each has 2 requests at s0
    When they exchange tables for 5 rounds
    And 5100 ms pass without messages
    Then no instance has sums

  Scenario: An instance that leaves is no longer counted after 3 s
    Given 3 instances that follow each other, of which each has 2 requests at s0
    When they exchange tables for 5 rounds
    And the last instance leaves and the others exchange tables for 8 rounds
    Then every remaining instance counts 4 requests at s0

  Scenario: An instance alone has no sums
    Given 1 instances that follow each other, of which each has 2 requests at s0
    When they exchange tables for 5 rounds
    Then no instance has sums

  Scenario: A source of an older build answers without sums
    Given 2 instances that follow each other, of which each has 2 requests at s0
    When the source of one is of an older build
    Then that one has no sums

  Scenario Outline: A message with <fault> is ignored
    Given 2 instances that follow each other, of which each has 2 requests at s0
    When they exchange tables for 5 rounds
    And a report and an answer with <fault> arrive
    Then every instance counts 4 requests at s0
    And both messages are counted as malformed

    Examples:
      | fault                      |
      | no fields                  |
      | a list for an object       |
      | sums of 257 servers        |
      | sums that are not base64   |
      | sums that end in an entry  |
      | sums that are a number     |
      | an age that is a text      |
      | an age that is negative    |
      | a count that is a fraction |
      | a number that is true      |

  Scenario: At 2,800 backend servers the sums stay within their bytes
    Given an instance with 8 followers, and requests at 2800 backend servers
    Then its messages carry at most 23000 bytes of sums a second
    And a report carries the 256 with the most requests

  Scenario: Speeds are learned from the answers of all instances
    Given 40 instances that send streams to servers of speeds 0.7, 0.7 and 1.7
    When each has seen 14 streams and they exchange tables
    Then every instance knows the speeds to within a quarter

  Scenario: A slow moment doesn't make a slow server
    Given 40 instances that send streams to servers of speeds 1.0, 1.0 and 1.0
    When the first server is 2.5 times slower for 600 ms
    Then every instance takes its speed for at least 0.8

  Scenario: Few answers leave a server at the common speed
    Given 1 instances that send streams to servers of speeds 0.7, 0.7 and 1.7
    When one stream of 100 ms has ended
    Then every speed is between 0.8 and 1.25
