Feature: History and snapshots

  Scenario: A new instance starts from a snapshot and few rows
    Given a site with 450 accepted changes and snapshots when due
    When a new instance reads the configuration
    Then it has the latest revision
    And it read at most 60 history rows

  Scenario: The object store is down when a new instance starts
    Given a site with 450 accepted changes and snapshots when due
    And the object store is down
    When a new instance reads the configuration
    Then it has the latest revision

  Scenario: Old rows are archived in the object store
    Given a site with 900 accepted changes of which 300 rows are kept
    Then at most 700 rows are in the table
    And every revision from 1 to 900 is in the table or in the archive
    And at most 3 snapshots are kept
    When a new instance reads the configuration
    Then it has the latest revision
    And an instance at revision 5 catches up

  Scenario: A submission based on a revision that is no longer stored
    Given a site with 900 accepted changes of which 300 rows are kept
    When a submission based on revision 5 is made
    Then it is refused with a problem at base_revision whose value is 5

  Scenario Outline: Snapshots are written while the <service> fails: <fault>
    Given a site with 210 accepted changes
    And the <service> meets <fault> on <operation>
    When the history keeper runs 4 times
    Then the head names a snapshot that can be read

    Examples:
      | service      | operation | fault        |
      | object store | put       | down         |
      | object store | put       | reply-lost   |
      | object store | put       | request-lost |
      | table        | transact  | reply-lost   |
      | table        | transact  | request-lost |
      | table        | read      | down         |
