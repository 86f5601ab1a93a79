Feature: Changes are known in time while requests end backend servers

  # Guards against instances that act on an older configuration, or send requests to a
  # backend server that said it leaves, while others end and come back.
  Scenario Outline: The configuration changes every 200 ms while <route> requests end servers
    Given 3 gateways that know each other, 3 model and 4 plain replicas
    And requests for "/<route>/poison" end the replica that runs them
    When callers send these and others for 6 s, the configuration changes every 200 ms, and <leaving> begins to leave
    Then replicas ended, and requests were served
    And each change was in force at all gateways within 2000 ms of its confirmation
    And <leaving> got no request later than 2000 ms after its leaving was confirmed

    Examples:
      | route | leaving |
      | look  | p3      |
      | chat  | m2      |
