Feature: Each request is billed once

  Scenario: A record is durable once a peer in another zone holds it
    Given 3 routers in 3 zones
    When a router bills 10 requests
    And 20 ms pass
    Then all records are durable and none is in the ledger
    And after 6 s each is in the ledger once

  Scenario: Without a peer in another zone records are written at once
    Given 3 routers in 1 zone
    When a router bills 10 requests
    And 100 ms pass
    Then all records are durable and each is in the ledger once

  Scenario Outline: Records survive the table faults "<faults>"
    Given <routers> routers in 3 zones
    And a table that meets "<faults>"
    When a router bills 10 requests
    And 40000 ms pass
    Then all records are durable and each is in the ledger once

    Examples:
      | routers | faults                                        |
      | 3       | none, reply-lost                              |
      | 3       | none, request-lost                            |
      | 3       | none, write-lost                              |
      | 3       | none, late                                    |
      | 3       | none, late, none, late                        |
      | 3       | down, throttled, slow                         |
      | 1       | none, reply-lost, down                        |
      | 1       | none, late, down, none, reply-lost            |
      | 1       | none, write-lost, write-lost, write-lost      |

  Scenario: A peer writes the records of a killed owner
    Given 3 routers in 3 zones
    When a router bills 10 requests
    And 20 ms pass
    And that router is killed
    And 3000 ms pass
    Then all records are durable and each is in the ledger once

  Scenario Outline: The owner is killed while its write meets "<faults>"
    Given 3 routers in 3 zones
    And a table that meets "<faults>"
    When a router bills 10 requests
    And 5100 ms pass
    And that router is killed
    And 12000 ms pass
    Then all records are durable and each is in the ledger once

    Examples:
      | faults           |
      | none, reply-lost |
      | none, late       |
      | none, slow       |

  Scenario: A paused owner that was marked as dead resumes and continues to bill
    Given 3 routers in 3 zones
    When a router bills 10 requests
    And 20 ms pass
    And that router is paused for 20 s and marked as dead
    And 8000 ms pass
    Then all records are durable and each is in the ledger once
    When 15000 ms pass
    And a router bills 10 requests
    And 10000 ms pass
    Then all records are durable and each is in the ledger once

  Scenario: The peer that holds the copies dies, then the owner
    Given 3 routers in 3 zones
    And a table that loses all requests for 20 s
    When a router bills 10 requests
    And 100 ms pass
    And the peer that holds its copies is killed
    And 100 ms pass
    And a router bills 10 requests
    And 2000 ms pass
    And that router is killed
    And 30000 ms pass
    Then all records are durable and each is in the ledger once

  Scenario: The peer's reply is lost
    Given 3 routers in 3 zones
    And 1 lost reply of a peer
    When a router bills 10 requests
    And 1000 ms pass
    And that router is killed
    And 5000 ms pass
    Then all records are durable and each is in the ledger once

  Scenario: Neither the table nor a peer can be reached
    Given 1 routers in 3 zones
    And a table that loses all requests for 20 s
    When a router bills 10 requests with a deadline in 5 s
    And 8000 ms pass
    Then no record is reported as durable
    And new requests are refused as not run
    When 20000 ms pass
    Then each is in the ledger once
    And new requests are accepted

  Scenario: A router that stops during a table outage leaves its records to its peer
    Given 3 routers in 3 zones
    And a table that loses all requests for 60 s
    When a router bills 10 requests
    And that router stops gracefully
    And 90000 ms pass
    Then all records are durable and each is in the ledger once

  Scenario: A peer that stops during a table outage forwards its copies
    Given 3 routers in 3 zones
    And a table that loses all requests for 60 s
    When a router bills 10 requests
    And 20 ms pass
    And that router is killed
    And the peer that holds its copies stops gracefully
    And 90000 ms pass
    Then all records are durable and each is in the ledger once

  Scenario Outline: Few writes are needed at <rate> records a second
    Given 3 routers in 3 zones
    When a router bills <rate> requests a second for 10 s
    Then at most <writes> writes are made
    And after 6 s each is in the ledger once

    Examples:
      | rate  | writes |
      | 100   | 3      |
      | 1000  | 4      |
      | 1700  | 6      |

  Scenario: Each durable record is in the ledger once under random faults
    Then over random faults, pauses and kills each durable record is written once
