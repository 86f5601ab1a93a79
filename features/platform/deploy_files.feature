Feature: The deploy file is checked before a deployment

  Scenario: The project's own deploy file is valid
    When deploy/system.toml is checked
    Then the check finds no problems

  Scenario Outline: <field> = <value> is reported with the expected value
    Given a deploy file in which <field> is <value>
    When it is checked
    Then the only problem is at <field> and expects <expected>

    Examples:
      | field              | value              | expected                        |
      | build              | ""                 | a shell command                 |
      | packages           | "curl"             | a list of package names         |
      | roles              | {}                 | a table of roles                |
      | roles.gateway      | 7                  | a table                         |
      | roles.gateway.run  | "  "               | a program with its arguments    |
      | roles.gateway.on   | 3                  | a class of machines             |
      | roles.gateway.share | 0                 | a number over 0, up to 1        |
      | roles.gateway.share | 1.5               | a number over 0, up to 1        |
      | roles.gateway.share | true              | a number over 0, up to 1        |
      | roles.gateway.serves | ["front", "back"] | a list of front and control     |
      | roles.gateway.serves | "front"           | a list of front and control     |
      | roles.gateway.env | ["A"]               | names in capitals with texts    |
      | roles.gateway.env | {"lower": "x"}      | names in capitals with texts    |
      | roles.gateway.env | {"LEVEL": 7}        | names in capitals with texts    |
      | roles.gateway.metrics | "metrics"        | PORT/PATH                       |
      | roles.gateway.metrics | "99999/metrics"  | PORT/PATH                       |

  Scenario: Roles that can't share a machine are reported
    Given a deploy file with 3 roles on one class that all serve front
    When it is checked
    Then there are 3 problems

  Scenario: All problems of both files are reported at once
    Given a deploy file in which build is ""
    When it is checked together with a settings file without a store
    Then the problems are at build and at provider.address

  Scenario: A file that is not TOML is one problem
    Given a deploy file that is not TOML
    When it is checked
    Then the check reports that it is not TOML
