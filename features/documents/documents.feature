Feature: The documents agree with the code

  Scenario: Links between documents lead somewhere
    Then every relative link in the documents names a file that exists

  Scenario: Commands in the documents exist
    Then every make target in the documents is in the Makefile
    And every program in the documents answers --help with its flags

  Scenario Outline: The help of <module> fits a screen and lists its flags
    Then the help of <module> lists <flags> in at most 40 lines

    Examples:
      | module                     | flags                       |
      | stoatpath.tools.router     | --settings --check --version |
      | stoatpath.tools.gateway    | --boot --metrics_port --check --deploy --version |
      | stoatpath.tools.controller | --settings --check --version |
      | stoatpath.tools.ctl        | --json --wait --version      |
      | stoatpath.tools.measure    | --experiment --seed --version |
      | stoatpath.tools.standins   | --version                    |

  Scenario: The documents that readers expect are there
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

  Scenario: The capacity page can't drift
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

  Scenario: Tests live in test files
    Then test code stands in test files alone

  Scenario: The operations page shows what the tool prints
    Then each command that docs/OPERATIONS.md shows prints what it shows

  Scenario: Source files carry no banner
    Then no source file starts with a comment or names a licence
