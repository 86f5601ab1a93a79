Feature: Requests reach only backend servers in zones in service and in allowed regions

  # Guards against data that leaves its region, and requests refused without need.
  Scenario Outline: Regions of the route: <route>, of the organisation: <organisation>
    Given zones a1 and a2 in region eu, b1 in region us, and c1 in no region
    When a request is allowed <route> by its route and <organisation> by its organisation
    And the zones <drained> are drained
    Then it may reach the zones <zones>
    And the others are excluded as <reasons>

    Examples:
      | route | organisation | drained | zones       | reasons                          |
      | any   | any          | none    | a1 a2 b1 c1 | nothing                          |
      | any   | any          | a1 c1   | a2 b1       | zone drained                     |
      | eu    | any          | none    | a1 a2       | region not allowed               |
      | any   | us           | none    | b1          | region not allowed               |
      | eu us | us asia      | none    | b1          | region not allowed               |
      | eu    | us           | none    | none        | region not allowed               |
      | eu    | any          | a1      | a2          | region not allowed, zone drained |
      | empty | any          | none    | none        | region not allowed               |
      | asia  | any          | none    | none        | region not allowed               |

  # Guards against requests that are forwarded out of their region, and into a drained
  # zone by a peer that does not know of the drain.
  Scenario Outline: <case>: a peer in <zone> <verdict>
    Given zones a1 and a2 in region eu, b1 in region us, and c1 in no region
    And this instance is in region <own>
    When a request is allowed <regions> by its route and any by its organisation
    And the zones <drained> are drained
    Then after <seconds> s a peer in <zone> that knows <known> as drained <verdict>

    Examples:
      | case                       | own  | regions | drained | seconds | zone | known | verdict    |
      | any region                 | us   | any     | none    | 0       | c1   | none  | may get it |
      | an allowed region          | us   | eu      | none    | 0       | a2   | none  | may get it |
      | this instance's own region | us   | eu      | none    | 0       | b1   | none  | may get it |
      | another region             | eu   | eu      | none    | 0       | b1   | none  | may not    |
      | no region                  | eu   | eu      | none    | 0       | c1   | none  | may not    |
      | no region, nor this one    | none | eu      | none    | 0       | c1   | none  | may not    |
      | the drain is new           | eu   | any     | a1      | 1       | b1   | none  | may get it |
      | it does not know the drain | eu   | any     | a1      | 3       | b1   | none  | may not    |
      | it knows the drain         | eu   | any     | a1 b1   | 3       | b1   | a1 b1 | may get it |
      | it knows one of two        | eu   | any     | a1 b1   | 3       | b1   | b1    | may not    |
      | a zone without servers     | eu   | any     | z9      | 3       | b1   | none  | may get it |

  # Guards against a restriction that is dropped as it can't be read.
  Scenario Outline: A <owner> whose allowed_regions are <value>: the configuration is <verdict>
    Given a configuration with a <owner> whose allowed_regions are <value>
    Then the configuration is <verdict>

    Examples:
      | owner        | value           | verdict    |
      | route        | ["eu", "us"]    | eu us      |
      | route        | []              | empty      |
      | route        | null            | any        |
      | route        | "eu"            | without it |
      | route        | {"eu": 1}       | without it |
      | route        | ["eu", 7]       | without it |
      | route        | [""]            | without it |
      | route        | 0               | without it |
      | organisation | ["eu", "us"]    | eu us      |
      | organisation | null            | any        |
      | organisation | [["eu"]]        | without it |
      | organisation | false           | without it |

  # Guards against a configuration whose regions aren't followed by running gateways.
  Scenario: Gateways keep requests in the regions of their route and organisation
    Given 1 gateways, and 3 backend servers of each service in zones z0 z1 z2
    And gateways whose settings put z1 in region eu and z2 in region us
    When the route look allows eu, and the organisation eu and us
    And callers send 30 look requests through each gateway
    Then all of them are answered with 200
    And the backend servers of z0 got none of them
    And the backend servers of z2 got none of them
    When the operator drains z1
    And callers send 5 look requests through each gateway
    Then all of them are refused with 503 and a time to retry, within 0.3 s
    When the operator returns z1
    And the route look allows asia, and the organisation eu and us
    And callers send 5 look requests through each gateway
    Then all of them are refused as region-not-allowed, not run, with a time to retry

  # Guards against selections that take too long while a zone is drained.
  Scenario: Of 2800 backend servers the eligible ones are found in less than 2 ms
    Given 2800 backend servers of a service in zones a1 a2 b1 c1
    When the zones a1 are drained
    Then the eligible ones are found in less than 2 ms at the median
