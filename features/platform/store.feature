Feature: Gateways live with a store that is away, and never serve a key that may be gone

  Scenario: Keyed requests are served into an outage as long as keys can be known
    Given a deployment whose keys must be confirmed within 1500 ms
    When the store is down and requests go on coming for 2500 ms
    Then keyed requests got 200 at first and 503 in the end, none after 1500 ms got 200
    And the refusals say when to come back, and nothing of them ran
    And public requests got 200 all the while

  Scenario: A key that is taken away during an outage runs nowhere once it is too old
    Given a deployment whose keys must be confirmed within 1500 ms
    When the store answers nothing, its key is taken away, and requests go on coming
    Then no keyed request ran later than 1500 ms after the key was taken away

  Scenario: A key that is taken away is refused at once by every gateway in touch
    Given a deployment with 3 gateways
    When the operator takes the key away
    Then every gateway answers 401

  Scenario Outline: A gateway that starts while the store <how> answers 503 until it is back
    Given a deployment
    When a gateway starts while the store <how>
    Then it is not ready, and answers 503 to a request
    And it serves once the store is back

    Examples:
      | how              |
      | is down          |
      | refuses by rate  |
      | answers nothing  |

  Scenario: Changes in quick succession end in the last one everywhere
    Given a deployment with 2 gateways
    When the operator makes 20 changes in quick succession
    Then every gateway has the last one in force

  Scenario: A revision that is older, or can't be read, changes nothing
    Given a deployment
    When the operator's row holds an older revision, then bytes that are not JSON
    Then the revision in force stays, and requests are served

  Scenario: The limits of a new revision hold at once
    Given a deployment
    When the operator lowers the limit of bodies to 100 bytes
    Then a body of 200 bytes is refused as too large

  Scenario: Changed settings hold at once and cut nothing
    Given a deployment
    When the settings are read again with keys to be confirmed within 1 ms and no retries
    Then a keyed request is refused as not run, and a public one is served
    And the retry budget holds no extra send

  Scenario: How often the store is asked follows from the bounds of the deployment
    Given a deployment whose keys must be confirmed within 600 ms
    Then reads of the operator's rows wait for at most 200 ms
    And changes of backend servers are gathered for less than a drain of 500 ms
    When the settings are read again with keys to be confirmed within 300 ms
    Then reads of the operator's rows wait for at most 100 ms
