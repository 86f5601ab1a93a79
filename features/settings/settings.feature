Feature: Settings files are validated as a whole and documented

  Scenario Outline: A wrong setting is reported with the expected value
    When the setting <name> is given as <value>
    Then there is one problem for <name> that expects "<expected>"

    Examples:
      | name               | value                  | expected                           |
      | LISTEN_ADRESS      | "127.0.0.1:0"          | did you mean LISTEN_ADDRESS?       |
      | listen_address     | "127.0.0.1:0"          | did you mean LISTEN_ADDRESS?       |
      | XYZZY              | 1                      | a known setting                    |
      | LISTEN_ADDRESS     | "localhost:80"         | an IP number and a port            |
      | LISTEN_ADDRESS     | "127.0.0.1"            | an IP number and a port            |
      | LISTEN_ADDRESS     | "127.0.0.1:99999"      | an IP number and a port            |
      | LISTEN_ADDRESS     | 80                     | a value of type str                |
      | TABLE_URL          | "http://table:7000"    | a URL with an IP number and a port |
      | TABLE_URL          | "ftp://127.0.0.1:7000" | a URL with an IP number and a port |
      | TABLE_URL          | ""                     | a value                            |
      | RATINGS_URL        | "http://127.0.0.1:x"   | a URL with an IP number and a port |
      | MAX_BODY_BYTES     | -1                     | a number from 0 up                 |
      | MAX_BODY_BYTES     | 0                      | a number from 1 up                 |
      | MAX_BODY_BYTES     | true                   | a value of type int                |
      | MAX_BODY_BYTES     | "4 MB"                 | a value of type int                |
      | SERVE_WHEN_CUT_OFF | 1                      | a value of type bool               |
      | SESSION_KEYS       | {"1": "short"}         | secrets of at least 8 characters   |
      | SESSION_KEYS       | {"1": 12345678}        | secrets of at least 8 characters   |
      | PEER_KEYS          | {}                     | a key, or no such setting          |
      | LOG_LEVEL          | "LOUD"                 | one of DEBUG, INFO, WARNING, ERROR |

  Scenario: All problems are reported at once
    When a settings file has a misspelt name, a wrong type and no required settings
    Then all of the problems are reported

  Scenario Outline: An unusable file is reported as one problem
    When the settings file holds <content>
    Then the only problem expects "<expected>"

    Examples:
      | content                 | expected                |
      | nothing                 | JSON with comments      |
      | a list                  | an object               |
      | half an object          | JSON with comments      |
      | bytes that aren't UTF-8 | JSON with comments      |
      | no file at all          | a file that can be read |

  Scenario: Any mapping is either accepted or refused with its problems
    Then each generated mapping is either accepted or has problems

  Scenario: The settings table names every setting with its default
    Then docs/SETTINGS.md and the defaults agree

  Scenario: Every sample settings file is accepted
    Then no sample settings file has a problem
