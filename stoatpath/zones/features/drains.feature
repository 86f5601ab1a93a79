Feature: Gateways send nothing to the backend servers of drained zones

  # Guards against any request that enters a drained zone, and a zone that stays out.
  Scenario Outline: A drained zone gets no <route> request, and again some after its return
    Given 2 gateways, and 2 backend servers of each service in zones z0 z1
    When the operator drains z0
    And callers send 30 <route> requests through each gateway
    Then all of them are answered with 200
    And the backend servers of z0 got none of them
    And their traces name a backend server of z0 as "zone drained"
    When the operator returns z0
    And callers send 30 <route> requests through each gateway
    Then the backend servers of z0 got some of them

    Examples:
      | route |
      | look  |
      | book  |
      | chat  |
      | sum   |

  # Guards against requests that wait though nothing can serve them.
  Scenario: With all backend servers of a service drained, requests are refused at once
    Given 1 gateways, and 2 backend servers of each service in zones z0 z1
    When the operator drains z0
    And the operator drains z1
    And callers send 5 look requests through each gateway
    And callers send 5 chat requests through each gateway
    Then all of them are refused with 503 and a time to retry, within 0.3 s
    And none of them came to wait for a slot
    And the backend servers of z0 got none of them
    And the backend servers of z1 got none of them
    And the gateways are ready
    When the operator returns z1
    And callers send 5 look requests through each gateway
    Then all of them are answered with 200

  # Guards against a return of one zone that returns the others.
  Scenario: Drains overlap
    Given 1 gateways, and 3 backend servers of each service in zones z0 z1 z2
    When the operator drains z0
    And the operator drains z1
    And callers send 30 look requests through each gateway
    Then all of them are answered with 200
    And the backend servers of z0 got none of them
    And the backend servers of z1 got none of them
    When the operator returns z0
    And callers send 30 look requests through each gateway
    Then all of them are answered with 200
    And the backend servers of z1 got none of them
    And the backend servers of z0 got some of them

  # Guards against a request that another instance forwards into a drained zone.
  Scenario: Forwarded requests don't enter a drained zone
    Given 1 gateways, and 2 backend servers of each service in zones z0 z1
    When the operator drains z0
    And another instance forwards 30 look requests
    Then all of them are answered with 200
    And the backend servers of z0 got none of them

  # Guards against requests that an instance without a path to the backend servers sends
  # through one that follows no drain, as those of an older release do.
  Scenario Outline: A gateway that is cut off forwards requests to a peer that <knows>
    Given 2 gateways, and 2 backend servers of each service in zones z0 z1
    And gateway-0 reaches no backend server, and gateway-1 <knows>
    When the operator drains z0
    And 3.5 s pass
    And callers send 10 look requests through gateway-0
    Then all of them are answered with <status>
    And the backend servers of z0 got none of them

    Examples:
      | knows               | status |
      | follows the drain   | 200    |
      | names no drain      | 503    |

  # Guards against sends that were decided on before a wait.
  Scenario Outline: A zone is drained while a request waits for <wait>
    Given 1 gateways, and 2 backend servers of each service in zones z0 z1
    And a request to a backend server of z0 waits 0.6 s for <wait>
    When a look request is sent, and z0 is drained while it waits
    Then all of them are answered with 200
    And the backend servers of z0 got none of them

    And the trace of the request says "zone drained" of a server of z0

    Examples:
      | wait            |
      | a permit        |
      | its connection  |

  # Guards against later sends of a request whose first one went to a drained zone.
  Scenario Outline: A zone is drained while a request runs there; next is <next>
    Given 1 gateways, and 4 backend servers of each service in zones z0 z1
    And the answers of each backend server take 0.4 s and lead to <next>
    When a <route> request is sent, and z0 is drained while it runs there
    Then all of them are answered with 200
    And the backend servers of z0 got 1 and those of z1 1 of them

    Examples:
      | next                   | route |
      | a retry                | look  |
      | a hedge                | look  |
      | a stage of the cascade | sum   |

  # Guards against requests that wait for a slot until their deadline.
  Scenario: All zones are drained while requests wait for a slot
    Given 1 gateways, and 1 backend servers of each service in zones z0
    And each backend server has 1 slots and answers after 0.9 s
    When 3 look requests are sent, and z0 is drained once 2 of them wait
    Then 1 of them is answered with 200
    And 2 of them are refused with 503 and a time to retry, within 0.3 s of the drain

  # Guards against streams that are cut by a drain, and against resumed ones in the zone.
  Scenario Outline: A stream runs in a zone that is drained, and <what>
    Given 1 gateways, and 2 backend servers of each service in zones z0 z1
    And the streams of each backend server have 12 events, 0.1 s apart
    When a chat request is sent, and its zone is drained after it began
    And its backend server <does>
    Then the caller got 12 events in order
    And the backend servers of its zone got <count> request

    Examples:
      | what           | does                  | count |
      | finishes there | goes on               | 1     |
      | is resumed     | drops its connections | 1     |

  # Guards against an order that is known late because answers of the store are slow.
  Scenario: The order becomes known while the store answers slowly
    Given 2 gateways, and 2 backend servers of each service in zones z0 z1
    And the store answers after 0.5 s
    When the operator drains z0
    Then the gateways knew it after at most 5 s

  # Guards against a new process that serves a drained zone until the next change.
  Scenario: An instance that starts while a zone is drained sends nothing there
    Given 1 gateways, and 2 backend servers of each service in zones z0 z1
    When the operator drains z0
    And another gateway starts
    And callers send 30 look requests through each gateway
    Then all of them are answered with 200
    And the backend servers of z0 got none of them

  # Guards against a zone that returns because the store can't be reached.
  Scenario: An instance that loses the store keeps the drains that it knows
    Given 1 gateways, and 2 backend servers of each service in zones z0 z1
    When the operator drains z0
    And the store fails for 2 s
    And callers send 30 look requests through each gateway
    Then all of them are answered with 200
    And the backend servers of z0 got none of them

  # Guards against a zone that stays drained since its removal was never reported.
  Scenario: The removal of a row that falls into a gap of the history returns the zone
    Given 1 gateways, and 2 backend servers of each service in zones z0 z1
    When the operator drains z0
    And the row is removed while the store tells no changes and loses its history
    Then z0 is in service within 5 s

  # Guards against a drained zone that is taken for a network partition.
  Scenario: The backend servers of a drained zone are stopped
    Given 1 gateways, and 2 backend servers of each service in zones z0 z1
    When the operator drains z0
    And the backend servers of z0 stop, but their rows stay
    And an attempt at one of them ends as a failed connection
    Then no service counts as unreachable, and the gateways are ready
    When the operator drains z1
    And the backend servers of z1 stop, but their rows stay
    And an attempt at one of them ends as a failed connection
    Then no service counts as unreachable, and the gateways are ready

  # Guards against a zone that no release of a roll-out may leave.
  Scenario Outline: A roll-out is <state>, and its new release is in a drained zone only
    Given 1 gateways, and 1 backend servers of each service in zones z1
    And a backend server of the release v2 in z0, to which a roll-out moves
    When the operator drains z0
    And the roll-out is <state>
    And callers send 30 look requests through each gateway
    Then all of them are answered with 200
    And the backend servers of z0 got none of them

    Examples:
      | state     |
      | ordered   |
      | running   |
      | completed |

  # Guards against the end of the old release while the new one is out of service.
  Scenario: A roll-out is not completed while its new release is in a drained zone only
    Given 1 gateways, and 1 backend servers of each service in zones z1
    And a backend server of the release v2 in z0, to which a roll-out moves
    When the operator drains z0
    Then the roll-out may not be completed at its end
    When the operator returns z0
    Then the roll-out may be completed at its end

  # Guards against slots of drained backend servers that admission gives to requests.
  Scenario: Admission does not count the slots of a drained zone
    Given 1 gateways, and 3 backend servers of each service in zones z0 z1
    Then admission has 24 slots of each service
    When the operator drains z0
    Then admission has 8 slots of each service
    And the metrics have 1 drained zones with 4 backend servers
    When the operator drains z1
    Then admission has 0 slots of each service
    When the operator returns z0
    Then admission has 16 slots of each service
