Feature: Platform documents and caller headers are validated when they are decoded

  Scenario Outline: A settings file with <fault> is refused with the field's name
    Given the settings of a gateway
    When the settings have <fault>
    Then the problem names <named>

    Examples:
      | fault                         | named                                  |
      | no name                       | node_name = None: expected a text      |
      | a number as its zone          | zone = 7: expected a text              |
      | a front address without port  | listen.front = '10.0.0.1': expected IP:PORT |
      | no store                      | provider.address = None: expected IP:PORT |
      | a text as memory              | limits.memory_mb = 'much': expected a number |
      | a negative grace              | bounds.grace_s = -1: expected a number from 0 |
      | a text as fail_closed         | bounds.fail_closed = 'yes': expected true or false |
      | a list as bounds              | bounds = [1]: expected a table         |
      | no port for others            | listen.control = '10.0.0.1': expected IP:PORT |
      | a text as seeds               | seeds = '10.0.0.1:8229': expected a list |
      | a seed without port           | seeds.1 = '10.0.0.1': expected IP:PORT |
      | a number as bootstrap         | bootstrap = 1: expected true or false  |
      | no time for a change          | bounds.config_ms = 0: expected a number from 1 |
      | no time for a drain           | bounds.evac_ms = 0: expected a number from 1 |
      | a text as evac_ms             | bounds.evac_ms = 'soon': expected a number from 1 |
      | a list as zones               | zones = ['z0']: expected a table       |
      | a zone with a number as region | zones.z0 = 7: expected a text that is not empty |
      | a zone that is a number       | zones = 7: expected names that are texts |
      | an empty region               | region = '': expected a text that is not empty |

  Scenario: All problems of a settings file are reported at once
    Given the settings of a gateway
    When the settings have no name
    And the settings have no store
    Then the problem names node_name
    And the problem names provider.address

  Scenario: Unknown fields are ignored, and missing bounds have defaults
    Given the settings of a gateway
    When the settings have fields of a later release and no bounds
    Then they are accepted with a grace period of 8000 ms and key checks that fail closed

  Scenario Outline: The region of an instance whose settings have <fields>
    Given the settings of a gateway
    When the settings have the fields <fields>
    Then the instance is in region <region>

    Examples:
      | fields                                    | region |
      | {}                                        | none   |
      | {"region": "eu"}                          | eu     |
      | {"zones": {"zone-a": "us"}}               | us     |
      | {"zones": {"zone-b": "us"}}               | none   |
      | {"region": "eu", "zones": {"zone-a": "us"}} | eu   |
      | {"region": null, "zones": null}           | none   |

  Scenario: The program checks its settings file
    Given a settings file with no store
    When the gateway program runs with --check
    Then it exits with 2 and names provider.address

  Scenario Outline: Path <path> matches route <route>
    Given routes with the prefixes / /a/ /a/b/ of one host
    Then path <path> matches route <route>

    Examples:
      | path       | route  |
      | /          | /      |
      | /x         | /      |
      | /a         | /      |
      | /a/        | /a/    |
      | /a/b       | /a/    |
      | /a/b/c?d=e | /a/b/  |

  Scenario: Requests are split between services by weight
    Given a route that splits 90 to 10 between two services
    Then of 10000 requests between 870 and 1130 go to the second

  Scenario: Any content of the operator's row decodes to a route table or a failure
    Then any JSON and any bytes decode to a route table or to a failure

  Scenario: Routes that are unchanged are not built again
    Then decoding rows one after the other gives the same as decoding each alone
    And an unchanged route is the same object in the next table

  Scenario: Any headers of a caller are accepted or refused
    Then any headers are accepted or refused, and no forged one is forwarded

  # Guards against handlers that fail by an exception where they are to refuse.
  Scenario: Any signature, nonce and operator key is accepted or refused
    Then any bytes as a signature, a nonce or an operator key are accepted or refused

  # Guards against entries of other writers that pass as backend servers with numbers,
  # names or addresses which no backend server has.
  Scenario: Any content of a server's row decodes to sound values or to a failure
    Then any JSON in any field of a server's row decodes to sound values or to a failure

  # Guards against a service that stops at all instances because of one odd entry.
  Scenario Outline: An entry of another writer with <field> as <value> is left out
    Given a deployment
    When another writer adds an entry of the plain service with <field> as <value>
    And a caller sends 8 look requests and 4 book requests
    Then all of them are answered with 200
    And the odd entry names no backend server, and the slots of the service are 16

    Examples: numbers
      | field    | value           |
      | slots    | "-32"           |
      | slots    | "8"             |
      | slots    | -32             |
      | slots    | 0               |
      | slots    | true            |
      | slots    | 8.5             |
      | slots    | 1e308           |
      | slots    | 401 digits      |
      | slots    | null            |
      | slots    | [8]             |
      | born     | "yesterday"     |
      | born     | -5              |
      | born     | 900 nested lists |
      | sequence | "first"         |

    Examples: addresses, names, states
      | field   | value             |
      | address | "127.0.0.1:0"     |
      | address | "127.0.0.1:70000" |
      | address | "127.0.0.1:-1"    |
      | address | "127.0.0.1:1_000" |
      | address | "127.0.0.1"       |
      | address | "desk.example:80" |
      | address | "0.0.0.0:80"      |
      | address | ["127.0.0.1:80"]  |
      | zone    | 7                 |
      | zone    | ""                |
      | version | null              |
      | service | {"a": 1}          |
      | state   | "resting"         |

  # Guards against requests that fail since they can't name their backend server.
  Scenario Outline: An entry of another writer under the key <key> is left out
    Given a deployment
    When another writer adds an entry of the plain service under the key <key>
    And a caller sends 0 look requests and 12 book requests
    Then all of them are answered with 200
    And the entry under the key <key> names no backend server

    Examples:
      | key                     |
      | "p\n9"                  |
      | "p9\r\nX-Other: 1"      |
      | "\u0000"                |
      | "p\u007f"               |

  Scenario: An entry that is nested too deeply to be read is left out
    Given a deployment
    When another writer adds an entry of 100000 nested lists
    And a caller sends 8 look requests and 4 book requests
    Then all of them are answered with 200
    And the odd entry names no backend server, and the slots of the service are 16

  # Guards against routes that open to every caller, or to no limit, since a field of the
  # configuration is empty, null or of another type.
  Scenario Outline: A configuration whose <field> is <value> <verdict>
    Given a configuration whose <field> is <value>
    Then it <verdict>

    Examples: organisations and their keys
      | field            | value    | verdict            |
      | tenants          | missing  | asks for no key    |
      | tenants          | []       | accepts no key     |
      | tenants          | null     | accepts no key     |
      | tenants          | {}       | is unreadable      |
      | tenants          | "none"   | is unreadable      |
      | tenants.api_keys | missing  | accepts no key     |
      | tenants.api_keys | []       | accepts no key     |
      | tenants.api_keys | null     | accepts no key     |
      | tenants.api_keys | "abc"    | leaves out its organisation |
      | tenants.api_keys | [""]     | leaves out its organisation |
      | tenants.name     | null     | leaves out its organisation |
      | tenants.allowed_regions | "eu" | leaves out its organisation |
      | tenants.priority | null     | is readable        |
      | tenants.priority | -1       | leaves out its organisation |

    Examples: routes
      | field                | value                            | verdict             |
      | routes               | missing                          | is unreadable       |
      | routes               | []                               | has no route        |
      | routes               | null                             | is unreadable       |
      | routes.public        | missing                          | accepts only its key |
      | routes.public        | null                             | accepts only its key |
      | routes.host          | null                             | is unreadable       |
      | routes.prefix        | 7                                | is unreadable       |
      | routes.public        | "false"                          | leaves out its route |
      | routes.resumable     | 1                                | leaves out its route |
      | routes.kind          | "other"                          | leaves out its route |
      | routes.allowed_regions | "eu"                           | leaves out its route |
      | routes.max_attempts  | 0                                | allows 1 attempts   |
      | routes.max_attempts  | null                             | allows 1 attempts   |
      | routes.max_attempts  | true                             | leaves out its route |
      | routes.timeout_ms    | -1                               | leaves out its route |
      | routes.traffic_split | []                               | has the service     |
      | routes.traffic_split | [{"service": "a", "weight": 0}]  | has no service      |
      | routes.traffic_split | [{"service": "a", "weight": -1}] | leaves out its route |
      | routes.traffic_split | "a"                              | leaves out its route |

    Examples: services and limits
      | field                  | value   | verdict        |
      | services               | missing | is unreadable  |
      | services               | {}      | is unreadable  |
      | services.name          | null    | leaves out its service |
      | services.engine        | "none"  | leaves out its service |
      | limits.max_body_bytes  | 0       | allows no body |
      | limits.max_header_bytes | 0      | has the default of max_head_bytes |
      | limits.max_body_bytes  | "0"     | has the default of max_body_bytes |
      | version                | 1.5     | is unreadable  |

  # Guards against callers without a key, or with a revoked one, who are served once the
  # last organisation is gone.
  Scenario: The last organisation is removed from the configuration
    Given a deployment
    When the organisations become []
    And a caller sends 4 look requests and 2 book requests
    Then all of them are answered with 401
    And no backend server was reached
