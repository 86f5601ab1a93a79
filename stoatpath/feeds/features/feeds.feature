Feature: Copies of the store's tables never revert to older rows, and have an age

  Scenario Outline: A follower meets <fault> on <operation>
    Given a store with a row and a follower of its table
    And the next <operation> meets <fault>
    When the row changes
    Then the copy has the new value within a few reads
    And <outages> outages of the store were recorded

    Examples:
      | operation | fault        | outages |
      | read      | down         | 1       |
      | read      | throttled    | 1       |
      | read      | request-lost | 1       |
      | read      | reply-lost   | 1       |
      | read      | garbage      | 1       |
      | read      | wrong-shape  | 1       |
      | read      | empty-page   | 1       |
      | feed      | down         | 1       |
      | feed      | throttled    | 1       |
      | feed      | request-lost | 1       |
      | feed      | reply-lost   | 1       |
      | feed      | garbage      | 1       |
      | feed      | silent       | 1       |
      | feed      | none         | 0       |

  Scenario: A full read follows when the change history is no longer available
    Given a store with a row and a follower of its table
    And a feed that returns no changes while they are made
    When the history is dropped after the row has changed
    Then the copy has the new value within a few reads

  # Guards against a follower that asks for dropped changes again and again, since the
  # same old copy of another instance came in between.
  Scenario: Another instance has no news when the change history is no longer available
    Given a store with a row and a follower of its table
    When the history is dropped, and another instance answers without news after each read
    Then the copy has the new value within a few reads

  Scenario: A row that is removed during a gap is removed by the full read
    Given a store with a row and a follower of its table
    When the row is removed and the history dropped
    Then the copy has no row within a few reads

  Scenario: The age of a copy counts from the answer that confirmed it
    Given a copy confirmed by answers produced at 1000 and 3000
    Then its age at 3500 is 500
    And an answer produced at 2000 that arrives late does not change its age

  Scenario: An answer after a long wait confirms the copy at the end of the wait
    Given a store whose clock reads 100 in a fast call sent at 5000
    Then the answer of a call sent at 6000 at store time 2600 is dated at local time 7500
    And an answer received at 7400 is dated no later

  Scenario: No answer is dated later than it was produced, whatever the delays
    Given calls with any delays to a store whose clock differs
    Then no answer is dated later than it was produced

  Scenario: No order of reads takes a copy back
    Given any order of full reads and changes of a growing table
    Then every row of the copy only grows in version

  # Guards against rows that were removed and come back with a late answer, such as the
  # entry of a backend server that has left.
  Scenario: A copy is always as the table was at its version
    Given a table whose rows are written and removed, and reads with late answers
    Then the copy is at each moment as the table was at the version of the copy

  Scenario: Rows that do not fit one answer are read in pages
    Given a table of 1201 rows
    When a follower reads the whole table
    Then the copy has 1201 rows

  Scenario: A series of changes is read in a few calls
    Given a store with a row and a follower of its table
    When 40 changes come within 400 ms
    Then the copy has the new value within a few reads
    And no more than 30 reads were made

  Scenario: A task that ignores a cancellation is cancelled again
    Given a task that takes its first cancellation for a timeout
    When it is stopped
    Then it has ended, and so has the stop

  Scenario: An error of a task that is being stopped is logged
    Given a task that fails when it is cancelled
    When it is stopped
    Then the log names the error
