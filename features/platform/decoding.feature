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
