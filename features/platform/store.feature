Feature: Gateways tolerate a store outage, and never serve a key that may have been revoked

  Scenario: Requests with a key are served in an outage until the key confirmation expires
    Given a deployment whose keys must be confirmed within 1500 ms
    When the store is down and requests keep arriving for 2500 ms
    Then requests with a key got 200 at first and 503 at the end, and none after 1500 ms got 200
    And each refusal has a Retry-After, and no refused request ran
    And every public request got 200

  Scenario: A key that is revoked during an outage is refused once its confirmation expires
    Given a deployment whose keys must be confirmed within 1500 ms
    When the store stops responding, the key is revoked, and requests keep arriving
    Then no request with a key ran later than 1500 ms after the key was revoked

  Scenario: A revoked key is refused at once by every gateway that reaches the store
    Given a deployment with 3 gateways
    When the operator revokes the key
    Then every gateway responds with 401

  Scenario Outline: A gateway that starts while the store <state> responds with 503 until it has recovered
    Given a deployment
    When a gateway starts while the store <state>
    Then it isn't ready, and responds with 503 to a request
    And it serves requests once the store has recovered

    Examples:
      | state              |
      | is down            |
      | throttles requests |
      | doesn't respond    |

  Scenario: Every gateway converges on the last of several quick changes
    Given a deployment with 2 gateways
    When the operator makes 20 changes in quick succession
    Then every gateway has the last revision in force

  Scenario: A revision that is older or unreadable is ignored
    Given a deployment
    When the operator's row gets an older revision, then bytes that are not JSON
    Then the revision in force is kept, and requests are served

  Scenario: The limits of a new revision apply at once
    Given a deployment
    When the operator lowers the body size limit to 100 bytes
    Then a body of 200 bytes is refused as too large

  Scenario: Reloaded settings apply at once and interrupt no request
    Given a deployment
    When the settings are reloaded with a key confirmation limit of 1 ms and no retries
    Then a request with a key is refused with 503, and a public one is served
    And the retry budget allows no retry

  Scenario: Poll intervals of the store are derived from the bounds in the settings
    Given a deployment whose keys must be confirmed within 600 ms
    Then reads of the operator's rows are long polls of at most 200 ms
    And changes of backend servers are batched for less than the drain time of 500 ms
    When the settings are reloaded with a key confirmation limit of 300 ms
    Then reads of the operator's rows are long polls of at most 100 ms
