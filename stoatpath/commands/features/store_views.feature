Feature: Operators read what the platform's store holds

  Scenario Outline: stoatpathctl <command> on a deployment with a bad release
    Given a deployment in which a bad release was rolled back
    When somebody on call runs stoatpathctl <command>
    Then the exit code is <code> and the output holds <text>

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

  Scenario: Rows that can't be read are named
    Given a deployment with an entry that can't be read
    When somebody on call runs stoatpathctl store backends
    Then the exit code is 0 and the output holds unreadable: odd

  Scenario: A status that can't be read is told
    Given a deployment in which the status of a roll-out can't be read
    When somebody on call runs stoatpathctl store rollouts
    Then the exit code is 0 and the output holds unreadable

  Scenario: Keys of organisations are not printed
    Given a deployment in which a bad release was rolled back
    When somebody on call runs stoatpathctl store routes --json
    Then the exit code is 0 and the output holds harbour
    And the output does not hold the key of harbour

  Scenario: The settings file of a gateway names the store
    Given a deployment in which a bad release was rolled back
    When somebody on call runs stoatpathctl store backends with a settings file
    Then the exit code is 0 and the output holds BACKEND

  Scenario: A store that is gone
    When somebody on call runs stoatpathctl --store=127.0.0.1:1 store backends alone
    Then the exit code is 5 and the output holds not-run: /-/rows-get
