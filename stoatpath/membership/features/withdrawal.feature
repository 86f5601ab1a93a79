Feature: A withdrawn version gets no new work during partitions and pauses

  # The staleness limit is 12 s and a simulation step 0.25 s: hence the bound of 12.25 s.
  Scenario Outline: <case>
    Given <size> instances in two groups, each with a router and a controller
    When <before>
    And a version is withdrawn where the store is reachable, while <meanwhile>
    Then the routers of the first group send to it for at most <bound> s
    And the routers that are connected to the store serve other versions throughout

    Examples:
      | size | case                                            | before                              | meanwhile                         | bound |
      | 9    | no fault                                        | nothing happens                     | no fault                          | 1     |
      | 9    | the store is out of reach of one group          | the first group loses the store     | no fault                          | 1     |
      | 9    | two groups partitioned, store with the other    | nothing happens                     | the groups are partitioned        | 12.25 |
      | 9    | two groups partitioned, both reach the store    | nothing happens                     | partitioned, store for both       | 2     |
      | 9    | one zone cut off for a minute before            | the groups are partitioned for 60 s | the groups are partitioned        | 0     |
      | 9    | a store outage, then partitioned, store returns | the store is down for 60 s          | the groups are partitioned        | 4     |
      | 9    | a store outage and the list down too            | store and list are down for 60 s    | the groups are partitioned        | 4     |
      | 2    | one instance alone cut off                      | nothing happens                     | the groups are partitioned        | 12.25 |
      | 9    | routers paused, then resumed                    | the first group is paused           | it resumes after 30 s             | 0     |
      | 9    | routers paused for a short time                 | the first group is paused           | it resumes after 3 s              | 1     |
      | 9    | paused in a store outage, resumed partitioned   | paused while the store is down      | it resumes partitioned after 30 s | 0     |

  Scenario Outline: The store is down for all and <what>
    Given 9 instances in two groups, each with a router and a controller
    When the store is down for 60 s
    And <what> for 20 s
    Then the routers of the first group <verdict>

    Examples:
      | what                                            | verdict             |
      | nothing else happens                            | serve               |
      | the groups are partitioned                      | refuse with not-run |
      | a controller ends                               | serve               |
      | a controller is paused                          | refuse with not-run |
      | a controller leaves and ends                    | serve               |
      | an unreachable instance is listed               | refuse with not-run |
      | half of the instances are replaced              | serve               |
      | the groups are partitioned, set to keep serving | serve               |

  Scenario: A controller whose host vanished counts as ended once it has been unlisted for a minute
    Given 9 instances in two groups, each with a router and a controller
    When the store is down for 60 s
    And a controller vanishes with its host for 20 s
    Then the routers of the first group refuse with not-run
    When it has been unlisted for 70 s
    Then the routers of the first group serve

  Scenario: Groups that were partitioned converge on the one accepted configuration
    Given 9 instances in two groups, each with a router and a controller
    When a version is withdrawn where the store is reachable, while the groups are partitioned
    And the groups are reconnected for 20 s
    Then all have the same revision
    And all members are live everywhere
    And the routers of the first group serve other versions

  Scenario: One group is cut off while some of the other are replaced
    Given 9 instances in two groups, each with a router and a controller
    When the groups are partitioned for 60 s
    And half of the instances are replaced for 20 s
    And a version is withdrawn at a replacement
    And the groups are reconnected for 30 s
    Then all have the same revision
    And all members are live everywhere
    And the routers of the first group serve other versions

  Scenario: An instance that starts in an outage of the store gets the configuration from peers
    Given 9 instances in two groups, each with a router and a controller
    When the store is down for 60 s
    And an instance starts and 15 s pass
    Then it has the revision of the others and serves

  Scenario: Half of the instances are replaced at once while the store is down
    Given 9 instances in two groups, each with a router and a controller
    When the store is down for 60 s
    And half of the instances are replaced for 30 s
    Then all have the same revision

  Scenario: A delayed message does not refresh the configuration
    Given 9 instances in two groups, each with a router and a controller
    When the first group is paused for 60 s and receives a delayed message
    Then the message does not refresh the configuration

  Scenario: An answer that skips revisions is not applied
    Given a follower at revision 0
    When it gets history rows that begin at revision 3
    Then it stays at revision 0

  Scenario Outline: A request is refused right before it is sent: <change>
    Given a request whose version was chosen
    When <change> before it is sent
    Then it is refused with not-run

    Examples:
      | change                                |
      | the version is withdrawn              |
      | the version is removed                |
      | the organisation may no longer use it |
      | the organisation is removed           |
      | the process is paused for 60 s        |
