Feature: The operator's rows drain zones and return them

  # Guards against a zone that returns too early, or whose return is not known.
  Scenario Outline: <case>: the zone is <state>
    Given no zone is drained
    When the rows change at <changes>
    Then zone z0 is <state>, drained since <since> and returned at <returned>

    Examples:
      | case                        | changes                   | state       | since | returned |
      | nothing was written         | none                      | in service  | never | never    |
      | the row was written         | 10:+z0                    | drained     | 10    | never    |
      | it was written again        | 10:+z0 20:+z0             | drained     | 10    | never    |
      | the row was removed         | 10:+z0 30:-z0             | in service  | never | 30       |
      | it was drained once more    | 10:+z0 30:-z0 50:+z0      | drained     | 50    | never    |
      | another zone was returned   | 10:+z0 20:+z1 30:-z1      | drained     | 10    | never    |
      | the row was never known     | 30:-z0                    | in service  | never | never    |

  Scenario: Drains that overlap don't affect each other
    Given no zone is drained
    When the rows change at 10:+z0 20:+z1 30:-z0 40:+z2
    Then the drained zones are z1 z2

  # Guards against a zone that stays in service because the value of its row is damaged.
  Scenario Outline: A row <key> with <value>: zone z0 is <state>
    Given no zone is drained
    When the operator's row <key> is read with <value>
    Then zone z0 is <state>
    And <count> lines say that a key is malformed

    Examples:
      | key         | value        | state      | count |
      | evacuate/z0 | an object    | drained    | 0     |
      | evacuate/z0 | no JSON      | drained    | 0     |
      | evacuate/z0 | no base64    | drained    | 0     |
      | evacuate/   | an object    | in service | 1     |
      | evacuate/z9 | an object    | in service | 0     |
      | evacuated/z0 | an object   | in service | 0     |

  # Guards against a log that repeats what is known already.
  Scenario: A drain and its return are logged once each
    Given no zone is drained
    When the rows change at 10:+z0 20:+z0 30:-z0
    Then the log has 1 line on the drain of z0, and 1 on its return
