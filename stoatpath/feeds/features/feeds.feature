Feature: Copies of the store's tables are never older than shown, and know their age

  Scenario Outline: A follower meets <fault> on <operation>
    Given a store with a row and a follower of its table
    And the next <operation> meets <fault>
    When the row changes
    Then the copy has the new value within a few reads
    And the loss of the store was noted <losses> times

    Examples:
      | operation | fault        | losses |
      | read      | down         | 1      |
      | read      | throttled    | 1      |
      | read      | request-lost | 1      |
      | read      | reply-lost   | 1      |
      | read      | garbage      | 1      |
      | read      | wrong-shape  | 1      |
      | feed      | down         | 1      |
      | feed      | throttled    | 1      |
      | feed      | request-lost | 1      |
      | feed      | reply-lost   | 1      |
      | feed      | garbage      | 1      |
      | feed      | silent       | 1      |
      | feed      | none         | 0      |

  Scenario: A history that is gone is made up for by a whole read
    Given a store with a row and a follower of its table
    And a feed that hears nothing while changes are made
    When the history is dropped after the row has changed
    Then the copy has the new value within a few reads

  Scenario: A row that is removed in a gap is gone after the whole read
    Given a store with a row and a follower of its table
    When the row is removed and the history dropped
    Then the copy has no row within a few reads

  Scenario: A belief is as old as the answer that confirmed it
    Given a copy confirmed by answers made at 1000 and 3000
    Then its age at 3500 is 500
    And an answer made at 2000 that comes late makes it no younger or older

  Scenario: An answer that was waited for confirms what was known at its end
    Given a store whose clock read 100 in a quick call sent at 5000
    Then an answer of a call sent at 6000 that the store made at 2600 was made at 7500 here
    And an answer that came at 7400 was made by then

  Scenario: No answer is taken to be made later than it was, whatever the delays
    Given calls with any delays to a store whose clock differs
    Then each answer was made no earlier than it is taken for

  Scenario: No order of news takes a copy back
    Given any order of whole reads and changes of a growing table
    Then every row of the copy only grows in version

  Scenario: Rows that do not fit one answer are read in pages
    Given a table of 1201 rows
    When a follower reads it whole
    Then the copy has 1201 rows

  Scenario: A series of changes is read in a few calls
    Given a store with a row and a follower of its table
    When 40 changes come within 400 ms
    Then the copy has the new value within a few reads
    And no more than 30 reads were made

  Scenario: A task that misses its cancellation is cancelled again
    Given a task whose first cancellation is taken for a time-out
    When it is stopped
    Then it has ended, and so has the stop

  Scenario: An error of a task that is being stopped is logged
    Given a task that fails when it is cancelled
    When it is stopped
    Then the log names the error
