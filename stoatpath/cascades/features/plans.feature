Feature: A plan starts on the version with the lowest expected price that meets the target

  Scenario Outline: The first version of plans of coral-coast once there are ratings
    Given the cascade of coral-coast and the purpose <purpose>
    And the cheap version was rated <cheap> 200 times
    And the expensive version was rated 0.95 200 times
    When 100 plans are made for a request that is <kind>
    Then <least> to <most> of them start on the cheap version
    And each has at most <stages> stages

    Examples:
      | purpose        | cheap | kind           | least | most | stages |
      | guest-question | 0.90  | buffered       | 100   | 100  | 2      |
      | guest-question | 0.30  | buffered       | 0     | 10   | 2      |
      | guest-question | 0.90  | streamed       | 100   | 100  | 1      |
      | guest-question | 0.65  | streamed       | 0     | 6    | 1      |
      | guest-question | 0.90  | not repeatable | 100   | 100  | 1      |
      | guest-question | 0.65  | not repeatable | 0     | 6    | 1      |
      | guest-question | 0.65  | session        | 0     | 10   | 1      |
      | lease-summary  | 0.80  | streamed       | 0     | 6    | 1      |

  Scenario: A version without ratings gets almost no streams, which can't be withdrawn
    Given the cascade of prichard and the purpose risk-note
    When 1000 plans are made for a request that is streamed
    Then 0 to 10 of them start on the cheap version

  Scenario: A version without ratings is tried where a low rating can be escalated
    Given the cascade of coral-coast and the purpose guest-question
    When 100 plans are made for a request that is buffered
    Then 20 to 100 of them start on the cheap version

  Scenario: A version with low ratings is tried again when they have decayed
    Given the cascade of coral-coast and the purpose guest-question
    And the cheap version was rated 0.2 200 times
    And 3 hours pass
    When 100 plans are made for a request that is buffered
    Then 10 to 100 of them start on the cheap version

  Scenario: A higher exposure weight raises the rating that a cheap answer needs
    Given the cascade of coral-coast and the purpose guest-question
    Then the rating that ends its cascade is 0.7 with an exposure weight near 0
    And it is between 0.72 and 0.78 with an exposure weight of 20
