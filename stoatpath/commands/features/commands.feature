Feature: Operators manage a site from the command line

  Background:
    Given a site with 2 routers, 2 controllers and the sample configurations

  Scenario Outline: <command> ends with exit code <code>
    When the operator runs <command>
    Then the exit code is <code> and the output has <text>

    Examples:
      | command                                     | code | text                      |
      | status                                      | 0    | router-2                  |
      | status --wait                               | 0    | in force at all           |
      | history                                     | 0    | site-operator             |
      | show model tern-small                       | 0    | versions                  |
      | show model nothing                          | 9    | no document               |
      | render reef-villages                        | 0    | rate_per_s                |
      | render nobody                               | 9    | no organisation           |
      | submit GOOD --wait                          | 0    | in force at all           |
      | submit GOOD --json                          | 0    | "revision"                |
      | submit WRONG                                | 2    | EXPECTED                  |
      | submit MISSING                              | 2    | a file that can be read   |
      | submit RISKY                                | 4    | accept_warnings           |
      | submit RISKY --accept_warnings              | 0    | accepted as revision      |
      | submit GOOD --base_revision=0               | 3    | conflict over             |
      | check GOOD                                  | 0    | valid                     |
      | check WRONG                                 | 2    | organisation.reef         |
      | withdraw tern-small@1 --wait                | 0    | in force at all           |
      | withdraw tern-small@9                       | 2    | EXPECTED                  |
      | withdraw tern-small                         | 1    | usage                     |
      | rollout halt nothing                        | 2    | EXPECTED                  |
      | rollout halt                                | 1    | usage                     |
      | explain req-unknown                         | 9    | no instance remembers     |
      | explain KNOWN                               | 0    | route                     |
      | nonsense                                    | 1    | usage                     |
      | status --no_such_flag                       | 1    | usage                     |
      | --help                                      | 0    | Exit codes                |
      | --version                                   | 0    | stoatpathctl              |

  Scenario Outline: <who> runs <command>
    When <who> runs <command>
    Then the exit code is <code> and the output has <text>

    Examples:
      | who                       | command     | code | text      |
      | a reader                  | status      | 0    | router-1  |
      | a reader                  | submit GOOD | 8    | reader    |
      | an operator without a key | status      | 8    | not known |
      | an operator without a key | submit GOOD | 8    | not known |

  Scenario: The first of the given controllers is unreachable
    When the operator runs status, with an unreachable controller first
    Then the exit code is 0 and the output has router-1

  Scenario: No controller answers
    When the operator runs status, with only an unreachable controller
    Then the exit code is 5 and the output has not-run

  Scenario: The table goes down during a submission
    When the reply of the table is lost and it goes down during a submission
    Then the exit code is 6 and the output has --submission_id
    When the table is up again and the operator repeats the submission as printed
    Then the exit code is 0 and the output has accepted as revision
    And the change is in the history once

  Scenario: A router lags while the operator waits
    When a router applies no snapshots and the operator runs submit GOOD --wait --timeout_s=3
    Then the exit code is 7 and the output has router-2
