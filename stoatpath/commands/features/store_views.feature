Feature: Operators read the platform's store

  Scenario Outline: stoatpathctl <command> on a deployment with a bad release
    Given a deployment in which a bad release was rolled back
    When an operator runs stoatpathctl <command>
    Then the exit code is <code> and the output contains <text>

    Examples:
      | command                        | code | text                        |
      | store routes                   | 0    | revision 1                  |
      | store routes booking-desk      | 0    | at-most-once                |
      | store backends                 | 0    | BACKEND                     |
      | store backends desk-assist     | 0    | m0                          |
      | store rollouts                 | 0    | rolled-back                 |
      | store rollouts                 | 0    | BAD ANSWERS                 |
      | store rollouts booking-desk --json | 0 | "bad"                      |
      | store rollouts nobody          | 0    | SERVICE                     |
      | store                          | 1    | usage                       |
      | store keys                     | 1    | usage                       |

  # Guards against a drain that on-call operators can't see, with the others beside it.
  Scenario Outline: stoatpathctl <command> on a deployment with a drained zone
    Given a deployment in which zone-a and zone-z are drained and a key is malformed
    When an operator runs stoatpathctl <command>
    Then the exit code is 0 and the output contains <text>

    Examples:
      | command                           | text                        |
      | store zones                       | zone-a  drained     5       |
      | store zones                       | zone-b  in service  1       |
      | store zones                       | zone-z  drained     0       |
      | store zones desk-assist           | zone-a  drained  2          |
      | store zones                       | malformed: evacuate/: it names no zone |
      | store zones --json                | "name": "zone-z"            |
      | store backends                    | drained                     |

  Scenario: Unreadable rows are listed
    Given a deployment with an unreadable backend entry
    When an operator runs stoatpathctl store backends
    Then the exit code is 0 and the output contains unreadable: odd

  Scenario Outline: It is shown until when a backend server is cold
    Given a deployment with a backend server that is cold for 60000 ms
    When an operator runs stoatpathctl <command>
    Then the exit code is 0 and the output contains <text>

    Examples:
      | command                | text                  |
      | store backends         | UTC                   |
      | store backends --json  | "cold_left_ms": 60000 |

  Scenario: An unreadable status is reported
    Given a deployment with an unreadable roll-out status
    When an operator runs stoatpathctl store rollouts
    Then the exit code is 0 and the output contains unreadable

  Scenario: Keys of organisations are not printed
    Given a deployment in which a bad release was rolled back
    When an operator runs stoatpathctl store routes --json
    Then the exit code is 0 and the output contains harbour
    And the output lacks the key of harbour

  Scenario: The store's address comes from the settings file of a gateway
    Given a deployment in which a bad release was rolled back
    When an operator runs stoatpathctl store backends with a settings file
    Then the exit code is 0 and the output contains BACKEND

  Scenario: The store is unreachable
    When an operator runs stoatpathctl --store=127.0.0.1:1 store backends standalone
    Then the exit code is 5 and the output contains not-run: /-/rows-get
