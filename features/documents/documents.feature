Feature: The documents agree with the code

  Scenario: Links between documents are valid
    Then every relative link in the documents refers to an existing file

  Scenario: Commands in the documents exist
    Then every make target in the documents is in the Makefile
    And every program in the documents answers --help with its flags

  Scenario Outline: The help of <module> is short and lists its flags
    Then the help of <module> lists <flags> in at most 40 lines

    Examples:
      | module                     | flags                       |
      | stoatpath.tools.router     | --settings --check --version |
      | stoatpath.tools.gateway    | --boot --metrics_port --check --deploy --version |
      | stoatpath.tools.controller | --settings --check --version |
      | stoatpath.tools.ctl        | --json --wait --version      |
      | stoatpath.tools.measure    | --experiment --seed --version |
      | stoatpath.tools.standins   | --version                    |

  Scenario: The expected documents exist
    Then each of these documents has text
      | name            |
      | QUICKSTART.md   |
      | CONCEPTS.md     |
      | INTERNALS.md    |
      | OPERATING.md    |
      | OPERATIONS.md   |
      | DEVELOPERS.md   |
      | decisions/platform.md |
      | SETTINGS.md     |
      | GLOSSARY.md     |
      | DECISIONS.md    |
      | CAPACITY.md     |
      | CHANGELOG.md    |
      | CONTRIBUTING.md |
      | SECURITY.md     |
      | LOGS.md         |
      | METRICS.md      |

  Scenario: Log events are listed
    Then docs/LOGS.md lists exactly the events that the code logs

  Scenario: The capacity page matches the measurements
    Then the tables of docs/CAPACITY.md are those of the measurements

  Scenario: A daemon loads only what it needs
    Then importing a daemon loads none of these
      | module             |
      | stoatpath.standins |
      | stoatpath.measure  |
      | behave             |
      | hypothesis         |
      | matplotlib         |
      | numpy              |
      | hdrh               |

  Scenario: Test libraries are imported in test files only
    Then no source file imports a test library

  Scenario: The operations page shows the real output of the tool
    Then each command in docs/OPERATIONS.md prints the output shown there

  Scenario: Source files carry no banner
    Then no source file starts with a comment or mentions a licence
