Feature: A cold backend server gets no more requests in a second than its bound

  Scenario Outline: A backend server is cold: <case>
    Given services whose backend servers are cold for 3 s and then take 10 requests a second
    When <events>
    Then the limit is <limits> at <times> ms

    # 20 is 10 * 1.5 + 5; it doubles in each of the 2 s after the cold time.
    Examples:
      | case                                          | events                                          | limits         | times               |
      | its row states the time left                  | first 2000 at 0                                 | 20,40,80,none  | 1999,2000,3000,4000 |
      | rows of the first table without it are warm   | first - at 0                                    | none           | 1                   |
      | a row that states none left is warm           | first - at 0, added 0 at 5000                   | none           | 5001                |
      | a new name without the time left              | first - at 0, added - at 5000                   | 20,20,40,none  | 5001,7999,8000,10000 |
      | a later birth is a new process                | first 0 at 0, restarted - at 5000               | 20,40          | 7999,8000           |
      | a new process drops the old one's coldness    | first 3000 at 0, restarted 0 at 1000            | none           | 1001                |
      | it turns cold without a new process           | first 0 at 0, renewed 3000 at 5000              | none,20,40     | 4999,7999,8000      |
      | a row ends it sooner than foreseen            | first 3000 at 0, renewed 0 at 1000              | 40,80,none     | 1500,2500,3000      |
      | rows without the time left end nothing        | first 3000 at 0, renewed - at 1000              | 20             | 2999                |
      | its zone has returned, whatever rows say      | first 0 at 0, returned at 1000, renewed 0 at 1500 | 20,40        | 3999,4000           |
      | a connection failed: until the next row       | first 0 at 0, failed at 1000, renewed 0 at 2500 | 20,none        | 2499,2500           |
      | a row soon after it may be from before it     | first 0 at 0, failed at 1000, renewed 0 at 1900 | 20,20          | 1950,60000          |
      | without rows, until it had time to warm up    | first 0 at 0, failed at 1000, answered at 2000  | 20,20,40       | 1999,4999,5000      |
      | an answer to an earlier request tells nothing | first 0 at 0, failed at 1000, answered late at 1100 | 20         | 60000               |
      | another instance says so                      | first 0 at 0, told 2000 at 1000                 | 20,40          | 2999,3000           |
      | a later row ends what another instance told   | first 0 at 0, told 3000 at 1000, renewed 0 at 2100 | 20,40,none | 2099,2100,4100      |
      | a row soon after may be from before it        | first 0 at 0, told 3000 at 1000, renewed 0 at 1900 | 20         | 3999                |
      | another instance tells what is known          | first 2000 at 0, told 1990 at 100               | 40             | 2000                |

  Scenario Outline: No bound applies where <what>
    Given services whose backend servers are cold for <seconds> s and then take <rate> requests a second
    And settings with a factor of <factor>
    When first 3000 at 0, failed at 100, returned at 200, told 100 at 300
    Then the limit is <limits> at 350 ms

    Examples:
      | what                            | seconds | rate | factor | limits |
      | the settings name none          | 3       | 10   | none   | none   |
      | the service is never cold       | 0       | 10   | 1.5    | none   |
      | the service names no rate       | 3       | 0    | 1.5    | none   |

  Scenario Outline: A row with the cold time <value> changes nothing and leaves one log line
    Given services whose backend servers are cold for 3 s and then take 10 requests a second
    When two rows state the cold time <value>
    Then the limit is none at 1 ms
    And one line with the unreadable text is logged

    Examples:
      | value     |
      | "soon"    |
      | -1        |
      | 1e300     |
      | true      |
      | [1000]    |

  Scenario Outline: A service with <field> of <value> has no bound and leaves one log line
    Given a configuration whose service has <field> of <value>
    When it is applied twice
    Then the limit is none at 1 ms
    And one line with the unreadable text is logged

    Examples:
      | field           | value   |
      | cold_start_s    | "3"     |
      | cold_start_s    | -3      |
      | cold_start_s    | 1e9     |
      | coldstart_per_s | -0.5    |
      | coldstart_per_s | false   |
      | coldstart_per_s | 1e300   |

  Scenario Outline: Settings with cold_over <value> have the factor <factor>
    Given settings with the bound cold_over <value>
    Then the factor of the bound is <factor>
    And it is logged as ignored: <is_logged>

    Examples:
      | value  | factor | is_logged |
      | absent | none   | no        |
      | 1.5    | 1.5    | no        |
      | "1.5"  | none   | yes       |
      | -1     | none   | yes       |
      | 1e9    | none   | yes       |

  Scenario: In no window an issuer grants more than its quota
    Given any requests for permits for a cold backend server at any times
    Then no window has more grants than the quota
    And none is granted before the time from which the issuer may grant

  Scenario Outline: Of a bound of 20, an instance issues <quota> if <view>
    Given an instance <age> s after its start that knows <live> live, <failed> failed and <excluded> silent others
    Then it issues <quota> of a bound of 20

    Examples:
      | view                                    | age | live | failed | excluded | quota |
      | it knows all others                     | 9   | 76   | 0      | 0        | 18    |
      | it has just started                     | 5   | 76   | 0      | 0        | 0     |
      | it has never known another              | 60  | 0    | 0      | 0        | 0     |
      | one other has just failed               | 9   | 75   | 1      | 0        | 1     |
      | one other does not answer               | 9   | 75   | 0      | 1        | 1     |
      | it has just lost all others             | 9   | 0    | 6      | 0        | 0     |
      | others failed long ago, most live       | 90  | 5    | 1      | 0        | 18    |
      | half of the others failed long ago      | 90  | 3    | 3      | 0        | 18    |
      | most of the others failed long ago      | 90  | 2    | 4      | 0        | 0     |

  Scenario Outline: An instance issues no sooner than a window after <what> issued
    Given an instance that knew <before> and then <after>, of which it issues
    Then it may issue <ms> ms after the change

    Examples:
      | what               | before | after | ms   |
      | another one        | b      | c     | 1120 |
      | nobody known       | nobody | c     | 1120 |
      | itself, as ever    | c      | nobody | 0  |

  Scenario: An instance that is alone by its settings issues the whole bound
    Given an instance whose settings name no others
    Then it issues 20 of a bound of 20

  Scenario: Parts of a fleet with different views stay within the bound together
    Given any split of any fleet into groups that have lost each other
    Then with one group that has not noticed, all issue no more than the bound

  Scenario: An issuer of an earlier build grants nothing for a cold backend server
    Given an instance that knows a backend server as cold
    When an issuer grants a permit without telling of the cold time
    Then no request is sent, and the issuer isn't asked again for a second

  Scenario: A request for permits of an earlier build is answered
    Given an instance that knows a backend server as cold
    When an earlier build requests a permit for it
    Then the answer tells the cold time, besides the fields of earlier builds

  Scenario: An issuer that has not seen the row learns of the cold time from a request
    Given an instance that knows no cold backend server
    When a request tells of a cold time of 2000 ms
    Then the backend server has a limit there

  Scenario: A permit from before the cold time is not used in it
    Given an instance with a permit for a backend server with a limit
    When the backend server becomes cold
    Then no request is sent by that permit

  Scenario: The lower one of a named limit and the bound applies
    Given an issuer of a cold backend server that names a limit of 2 requests a second
    Then it grants at most 4 permits in a second of constant demand

  Scenario: Nothing of an earlier process applies to a new one under its name
    Given a backend server with a limit, a hold-off and an open circuit
    When its row tells of a later birth
    Then it has no limit, no hold-off and no open circuit
    And late answers and failures of the earlier process change nothing

  Scenario: A process whose row lapses and returns keeps what it said
    Given a backend server with a limit, a hold-off and an open circuit
    When its row is removed and returns unchanged
    Then it has a limit, a hold-off and an open circuit

  Scenario Outline: Two failed servers of a zone make its others suspect, <case>
    Given servers a, b and c in zone 1 and d in zone 2 of a service with cold times
    When <events>, in this order
    Then these have a limit: <limited>

    Examples:
      | case                               | events                     | limited |
      | one failure tells of one           | fails a                    | a       |
      | a zone                             | fails a, fails b           | a,b,c,d |
      | an answer between                  | fails a, answers c, fails b | a,b    |
      | an answer of another zone between  | fails a, answers d, fails b | a,b,c  |

  Scenario: A process that stood still takes all backend servers for cold until their rows
    Given a fixture whose gate has not been maintained for 3 s
    When a request is about to be sent
    Then the backend server has a limit there
    And it has none after its next row

  Scenario: While other instances may not know of the cold time, few permits are granted
    Given an issuer of a backend server that has just become cold
    Then it grants 2 permits in the first second and 18 after it
    And 36 in a window after the cold time

  Scenario Outline: A zone of cold servers, <how>, <fault> among <count> instances
    Given <count> instances before 6 servers in 3 zones, with 60 requests a second each
    When the servers of <zones> become cold, by <how>, with the fault <fault>
    Then no cold server gets more than 20 requests in a second
    And at least <share> of the bound is used after the first second
    And 99 of 100 answers come within 600 ms

    # "return" is dark for 3 s, then a new process; "turn" is no new process; with "all"
    # all three zones return.
    Examples:
      | count | zones    | how    | fault   | share |
      | 7     | one zone | return | none    | 0.8   |
      | 7     | one zone | turn   | none    | 0.8   |
      | 7     | all      | all    | none    | 0.8   |
      | 7     | one zone | return | start   | 0     |
      | 7     | one zone | return | split   | 0     |
      | 7     | one zone | return | freeze  | 0     |
      | 69    | one zone | return | none    | 0.8   |
      | 69    | one zone | turn   | none    | 0.8   |
      | 69    | all      | all    | none    | 0.7   |
      | 69    | one zone | return | join    | 0     |
      | 69    | one zone | return | restart | 0     |
      | 69    | one zone | return | isolate | 0     |
      | 69    | one zone | return | leave   | 0     |
      | 69    | one zone | return | split   | 0     |
      | 69    | one zone | return | start   | 0     |
      | 195   | one zone | return | none    | 0.8   |

  Scenario: Without the bound, the same servers get more than it allows
    Given 69 instances before 6 servers in 3 zones, with 60 requests a second each
    When the servers of one zone become cold without a bound
    Then a cold server gets more than 20 requests in a second
