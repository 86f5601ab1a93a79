Feature: Platform clients return every fault as a failure

  Scenario Outline: <service> <operation> with the fault <fault>
    Given the stand-in of the <service>
    And its next <operation> has the fault <fault>
    When the client calls <operation>
    Then the result is a failure with the outcome <outcome>
    And the stand-in was reached <reached> times
    And the client counted 1 call and 1 failure
    And the next <operation> succeeds

    Examples:
      | service       | operation | fault        | outcome | reached |
      | table         | transact  | down         | not-run | 0       |
      | table         | transact  | throttled    | not-run | 0       |
      | table         | transact  | request-lost | unknown | 0       |
      | table         | transact  | reply-lost   | unknown | 1       |
      | table         | transact  | slow         | unknown | 1       |
      | table         | transact  | garbage      | unknown | 1       |
      | table         | transact  | wrong-shape  | unknown | 1       |
      | table         | read      | down         | not-run | 0       |
      | table         | read      | request-lost | unknown | 0       |
      | table         | read      | garbage      | unknown | 1       |
      | table         | read      | wrong-shape  | unknown | 1       |
      | table         | scan      | throttled    | not-run | 0       |
      | table         | scan      | reply-lost   | unknown | 1       |
      | table         | scan      | wrong-shape  | unknown | 1       |
      | object-store  | put       | down         | not-run | 0       |
      | object-store  | put       | reply-lost   | unknown | 1       |
      | object-store  | put       | slow         | unknown | 1       |
      | object-store  | get       | garbage      | unknown | 1       |
      | object-store  | get       | wrong-shape  | unknown | 1       |
      | object-store  | list      | wrong-shape  | unknown | 1       |
      | object-store  | delete    | request-lost | unknown | 0       |
      | instance-list | read      | down         | not-run | 0       |
      | instance-list | read      | slow         | unknown | 1       |
      | instance-list | read      | garbage      | unknown | 1       |
      | instance-list | read      | wrong-shape  | unknown | 1       |
      | ratings       | rate      | throttled    | not-run | 0       |
      | ratings       | rate      | reply-lost   | unknown | 1       |
      | ratings       | rate      | wrong-shape  | unknown | 1       |

  Scenario Outline: The result of a conditional write is resolved after <faults>
    Given the stand-in of the table
    And its next transactions have the faults <faults>
    When a conditional write is sent and its result resolved
    Then the result of the write is <result>
    And the row was written <written> times

    Examples:
      | faults                             | result   | written |
      | reply-lost                         | applied  | 1       |
      | garbage                            | applied  | 1       |
      | request-lost                       | applied  | 1       |
      | reply-lost,down                    | applied  | 1       |
      | slow                               | applied  | 1       |
      | reply-lost,reply-lost              | applied  | 1       |
      | request-lost,reply-lost            | applied  | 1       |
      | reply-lost,another-writer          | unknown  | 2       |
      | another-writer                     | rejected | 1       |
      | down                               | not-run  | 0       |
      | reply-lost,down,down               | unknown  | 1       |
      | request-lost,down,down             | unknown  | 0       |

  Scenario: A write that the table confirms but loses is reported as applied
    Given the stand-in of the table
    And its next transactions have the faults write-lost
    When a conditional write is sent and its result resolved
    Then the result of the write is applied
    And reading back shows no row

  Scenario: During a long outage every call fails, and the next one succeeds
    Given the stand-in of the table
    And it is down for 50 calls
    When the client calls read 50 times
    Then all 50 results are failures with the outcome not-run
    And the next read succeeds

  Scenario: A call on a dropped keep-alive connection is not sent a second time
    Given the stand-in of the object-store
    And a first put has left a kept-alive connection
    And its next put has the fault reply-lost
    When the client calls put
    Then the stand-in was reached 2 times

  Scenario: The table throttles writes beyond its limit
    Given the stand-in of the table
    When 420 writes are sent within one second
    Then 20 are refused as throttled and counted by the client

  Scenario: A scan reads all pages and returns no deleted rows
    Given the stand-in of the table
    When 1203 rows are put and 3 of them deleted
    Then a scan returns 1200 rows
