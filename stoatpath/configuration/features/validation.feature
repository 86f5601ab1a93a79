Feature: A configuration is validated as a whole before it is accepted

  Scenario Outline: <mistake> is reported with path, value and expected form
    Given the sample site
    When the operator submits <mistake>
    Then it is refused with a problem at <path> whose value is <value>
    And nothing was accepted

    Examples:
      | mistake                       | path                                     | value           |
      | a parameter of another type   | organisation.acme.parameters.weight      | "heavy"         |
      | a parameter out of range      | organisation.acme.parameters.weight      | 1000            |
      | an unknown parameter          | organisation.acme.parameters.wieght      | "wieght"        |
      | a missing parameter           | organisation.acme.parameters.keys        | null            |
      | an unknown template           | organisation.acme.template               | "gold"          |
      | an unknown model              | organisation.acme.allowed.chat           | "huge"          |
      | an unknown version            | organisation.acme.allowed.chat           | "small@9"       |
      | an unknown service            | organisation.acme.allowed.tides          | "tides"         |
      | a wrong default               | template.basic.parameters.weight.default | "one"           |
      | an unknown cascade model      | service.chat.cascade.1                   | "huge"          |
      | a withdrawn current version   | model.small.current                      | "1"             |
      | an unknown current version    | model.small.current                      | "9"             |
      | an unknown field              | model.small                              | {"colour": "x"} |
      | a deleted template in use     | organisation.acme.template               | "basic"         |
      | a deleted model in use        | service.chat.cascade.0                   | "small"         |
      | a key of another organisation | organisation.tiny.keys                   | "acme"          |
      | shares that fall              | rollout.up.steps                         | [0.5, 0.1]      |

  Scenario: Every problem is reported at once
    Given the sample site
    When the operator submits three mistakes in two documents
    Then it is refused with 3 problems

  Scenario Outline: <change> is refused until its warning is accepted
    Given the sample site
    When the operator submits <change>
    Then it is refused with a warning at <path>
    And nothing was accepted
    When the operator submits it again and accepts warnings
    Then it is accepted

    Examples:
      | change                                        | path                           |
      | the withdrawal of all versions of all models  | organisation.acme.allowed.chat |
      | the withdrawal of the only version allowed    | organisation.tiny.allowed.chat |
      | an organisation whose models have no engines  | organisation.new.allowed.chat  |
      | an organisation whose service has no backends | organisation.new.allowed.tides |
      | a roll-out to a withdrawn version             | rollout.up.to                  |

  Scenario: Withdrawing one of two versions needs no warning
    Given the sample site
    When the operator submits the withdrawal of one of two versions
    Then it is accepted

  Scenario: Warnings about unchanged documents do not block a change
    Given the sample site
    And no engine is listed
    When the operator submits a new price of an unused model
    Then it is accepted

  Scenario: Engines are not checked when the list can't be read
    Given the sample site
    And the list of instances can't be read
    When the operator submits an organisation whose models have no engines
    Then it is accepted
