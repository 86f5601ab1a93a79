Feature: A new release gets a bounded share of requests in its canary phase

  Scenario Outline: New work <when> goes to the <side> release
    Given a roll-out that <state>
    Then a request with an earlier release of <earlier> goes to the <side> release at <fraction> of its duration

    Examples:
      | when                        | state              | earlier | fraction | side |
      | before the roll-out starts  | was ordered        | none    | 0.0      | old  |
      | of an old session, early    | runs               | v1      | 0.2      | old  |
      | of a new session, early     | runs               | v2      | 0.2      | new  |
      | of an old session, later    | runs               | v1      | 0.8      | old  |
      | of an old session, late     | runs               | v1      | 0.93     | new  |
      | after the cutover           | runs               | none    | 0.93     | new  |
      | after its duration          | runs               | none    | 1.5      | new  |
      | once it is completed        | is completed       | v1      | 0.9      | new  |
      | once it is rolled back      | was rolled back    | v2      | 0.9      | old  |
      | once it is suspected here   | is suspected       | v2      | 0.2      | old  |

  Scenario: The share of the canary phase is below the allowed exposure
    Given a roll-out that runs
    Then of 4000 requests early in it between 2 and 7 in 100 go to the new release

  Scenario Outline: A bad release that is never detected stays within an exposure of <exposure>
    Given a roll-out with an allowed exposure of <exposure>
    Then at most <exposure> of 4000 requests over its duration go to the new release

    Examples:
      | exposure |
      | 0.15     |
      | 0.0975   |
      | 0.3      |

  Scenario: A suspected release gets no requests, even if no other backend server is left
    Given a roll-out that is suspected
    Then no backend server of the new release may be chosen

  Scenario: A new order after a rollback clears the suspicion
    Given a roll-out that was rolled back
    When the operator orders it again
    Then it is open, and not suspected

  Scenario: Statuses received in any order result in the newest one
    Given a roll-out that runs
    When its statuses arrive in any order
    Then the newest one is in force

  Scenario Outline: <bad> of <total> bad answers on <backends> backend servers, <old_bad> of <old_total> before
    Given these answers of both releases
    Then the new release is <verdict>

    Examples:
      | bad | total | backends | old_bad | old_total | verdict       |
      | 2   | 2     | 2        | 0       | 100       | not suspected |
      | 4   | 6     | 2        | 0       | 100       | suspected     |
      | 4   | 6     | 1        | 0       | 100       | not suspected |
      | 4   | 400   | 3        | 1       | 400       | not suspected |
      | 15  | 100   | 4        | 60      | 400       | not suspected |
      | 40  | 100   | 4        | 60      | 400       | suspected     |

  # Guards against a bad release that is completed, since only one server has it.
  Scenario Outline: <bad> of <total> answers of the only backend server of a release <how>
    Given the only backend server of a release, <bad> of whose <total> answers <how>
    And 100 answers of the old release, 1 of which failed
    Then the new release is <verdict>

    Examples:
      | bad | total | how      | verdict       |
      | 2   | 2     | failed   | not suspected |
      | 6   | 12    | failed   | suspected     |
      | 50  | 100   | failed   | suspected     |
      | 3   | 100   | failed   | not suspected |
      | 50  | 100   | are slow | not suspected |

  Scenario Outline: A new release with <count> backend servers, of which one fails half
    Given a keeper of a roll-out whose new release has <count> backend servers
    When <share> of its time is over and one of them fails 10 of 20 requests
    Then the keeper <does> it

    Examples:
      | count | share | does           |
      | 1     | 0.2   | suspects       |
      | 1     | 0.05  | doesn't suspect |
      | 2     | 0.2   | doesn't suspect |

  Scenario: A release that is three times as slow in all its streams is suspected
    Given 40 streams of the old release with 35 ms between events
    And 8 streams of the old release with 97 ms between events
    When 12 streams of the new release have 100 ms between events
    Then the new release is suspected

  Scenario: The latency baseline includes answers before the roll-out, of any release
    Given a keeper that saw 40 streams with 20 ms between events before any roll-out
    When 8 streams of a release that is rolled out have 160 ms between events
    Then the keeper suspects it

  Scenario: A release whose events come eight times as slowly is suspected
    Given 40 streams of the old release with 20 ms between events
    When 8 streams of the new release have 160 ms between events
    Then the new release is suspected

  Scenario: A release as slow as the old one under the same load is not suspected
    Given 40 streams of the old release with 20 ms between events
    And 20 streams of the old release with 200 ms between events
    When 10 streams of the new release have 200 ms between events
    Then the new release is not suspected

  Scenario Outline: <crowded> of <count> streams slower than on an idle backend while the old release is loaded
    Given 9 streams of the old release with 21 ms between events
    And 12 streams of the old release with 45 ms between events
    And 9 streams of the old release with 110 ms between events
    When <idle> streams of the new release have 22 ms between events
    And <crowded> streams of the new release have 93 ms between events
    Then the new release is <verdict>

    Examples:
      | idle | crowded | count | verdict       |
      | 0    | 9       | 9     | suspected     |
      | 1    | 14      | 15    | suspected     |
      | 0    | 5       | 5     | not suspected |
      | 8    | 6       | 14    | not suspected |

  Scenario: Crowded streams that several gateways counted are evaluated together
    Given 5 gateways that each saw 2 of 2 streams of the new release crowded
    When one of them evaluates the counts of all
    Then the new release is suspected

  Scenario Outline: <count> instances publish their counts of a bad release at most <writes> times in 10 s
    Given a keeper among <count> instances that publish counts of a running roll-out
    When it sees one bad answer of the new release in each 100 ms for 10 s
    Then it has written its counts at most <writes> times, and at least once

    Examples:
      | count | writes |
      | 8     | 18     |
      | 200   | 4      |

  Scenario: A long time to the first event alone is no evidence against a release
    Given 40 streams of the old release with 20 ms between events
    When 10 streams of the new release begin after 3000 ms with 20 ms between events
    Then the new release is not suspected

  Scenario Outline: <count> gateways finish the roll-out of a <how> release through the store
    Given <count> gateways that follow a roll-out in which the new release is <quality>
    When requests are sent through all of them for the time of the roll-out
    Then the status in the store is <state>
    And the new release got at most <most> bad answers

    Examples:
      | count | how            | quality | state       | most |
      | 2     | good           | good    | completed   | 0    |
      | 2     | bad            | bad     | rolled_back | 20   |

  Scenario: A stream that breaks off when the roll-out completes continues on the new release
    Given a request that began on the old release
    When the roll-out is completed before it is sent again
    Then only backend servers of the new release are candidates

  Scenario Outline: A session that began before the roll-out moves to another instance <when>
    Given two instances, and a session of the canary share known to one of them
    When the roll-out starts and <what>
    Then the other instance keeps the session on the <side> release <after_ms> ms later

    Examples:
      | when                          | what                        | side | after_ms |
      | that was told of it           | they tell each other        | old  | 4000     |
      | before it can have been told  | they don't tell each other  | old  | 1000     |
      | that was not told in time     | they don't tell each other  | new  | 4000     |

  Scenario: Sessions that instances tell each other are the same in any order
    Given any sessions of any roll-outs at three instances
    Then they all know all of them after any exchange in both directions

  Scenario Outline: An instance that <role> begins an ordered roll-out <when>
    Given an instance that <role>, and an order without a status
    When nobody else writes the status
    Then it writes the status after <least> to <most> ms

    Examples:
      | role                            | when     | least | most |
      | reads the store                 | soon     | 0     | 500  |
      | copies the tables from another  | later    | 700   | 1200 |

  # Guards against a slow release of a small service that is completed, as its few
  # answers in the canary phase are too fast for the floor or too few for the test.
  Scenario Outline: A release that <regression> is rolled back by <count> instances
    Given <count> instances that send <rate> requests a second to a plain service
    When a release that <regression> is rolled out in <seconds> s, with <seeds> seeds
    Then it is rolled back with all seeds but <missed>

    Examples:
      | count | rate | seconds | seeds | missed | regression                            |
      | 7     | 15   | 14      | 20    | 0      | answers half of them 8 times slower   |
      | 7     | 15   | 14      | 10    | 0      | answers all of them 3 times slower    |
      | 7     | 15   | 14      | 10    | 0      | fails half of them                    |
      | 69    | 100  | 24      | 2     | 0      | answers half of them 8 times slower   |

  # Guards against a good release that is rolled back, as only instances that saw bad
  # answers publish their counts, and requests that fail everywhere are retried.
  Scenario Outline: A good release of a service with failing requests is completed by <count> instances
    Given <count> instances that send <rate> requests a second to a plain service
    When a release that is good is rolled out in <seconds> s, with <seeds> seeds
    Then it is completed with all seeds but <failed>
    And the new release got at most its exposure

    Examples:
      | count | rate | seconds | seeds | failed |
      | 7     | 15   | 14      | 20    | 1      |
      | 9     | 17   | 24      | 10    | 1      |
      | 69    | 100  | 24      | 2     | 0      |
      | 195   | 200  | 24      | 1     | 0      |

  Scenario: Many streams of which few are crowded are no evidence against a release
    Given 40 streams of the old release with 20 ms between events
    When 100 streams of the new release have 20 ms between events
    And 5 streams of the new release have 55 ms between events
    Then the new release is not suspected

  # Guards against a roll-out that runs again after it has ended.
  Scenario Outline: In a new era of the store, the roll-out that <known> <stored> there
    Given a keeper of a roll-out that <known>, in whose store it <stored>
    When the store has begun a new era, and the keeper confirms its statuses
    Then the roll-out <after>, and the store was written <writes> times

    Examples:
      | known           | stored          | after           | writes |
      | runs            | is completed    | is completed    | 0      |
      | runs            | was rolled back | was rolled back | 0      |
      | runs            | runs            | runs            | 0      |
      | is completed    | runs            | is completed    | 1      |
      | was rolled back | runs            | was rolled back | 1      |
      | runs            | is lost         | runs            | 1      |
