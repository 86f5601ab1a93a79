Feature: The events of a stream are passed on whole, in order and nothing else

  # Guards against events that are split, joined, repeated, dropped or held back where
  # the line endings and the packets of a backend server fall in other places.
  Scenario: Any events in any packets
    Given streams of any lines, line endings, comments and numbers
    Then each whole event is passed on as it arrives, up to the first out of order

  Scenario Outline: A stream with <what>
    Given a stream of <data>
    When it arrives byte by byte, <first>
    Then events <passed> are passed on, and the rest is <verdict>

    Examples: the first run, or one that a caller resumes
      | what                         | data                                   | first               | passed | verdict  |
      | CR as line ending            | id: 1\rdata\r\rid: 2\rdata\r\r         | from the beginning  | 1 2    | complete |
      | mixed line endings           | id: 1\ndata\r\n\nid: 2\r\ndata\n\r\n   | from the beginning  | 1 2    | complete |
      | a CR LF at the very end      | id: 1\r\ndata\r\n\r\n                  | from the beginning  | 1      | complete |
      | empty lines at its end       | id: 1\ndata\n\n\n\n                    | from the beginning  | 1      | complete |
      | a comment at its end         | id: 1\ndata\n\n: done                  | from the beginning  | 1      | complete |
      | a field at its end           | id: 1\ndata\n\ndata: x                 | from the beginning  | 1      | partial  |
      | a byte order mark            | \xef\xbb\xbfid: 1\ndata\n\n            | from the beginning  | 1      | complete |
      | leading zeros                | id: 01\ndata\n\nid: 002\ndata\n\n      | from the beginning  | 01 002 | complete |
      | a number that isn't first    | data: 9\nretry: 5\nid: 1\n\n           | from the beginning  | 1      | complete |
      | two numbers in one event     | id: 7\nid: 1\ndata\n\n                 | from the beginning  | 1      | complete |
      | numbers from 0               | id: 0\ndata\n\nid: 1\ndata\n\n         | from the beginning  | 0 1    | complete |
      | numbers that rise by more    | id: 6\ndata\n\nid: 12\ndata\n\n        | from the beginning  | 6 12   | complete |
      | a gap                        | id: 1\ndata\n\nid: 3\ndata\n\n         | from the beginning  | 1 3    | complete |
      | a number that goes back      | id: 2\ndata\n\nid: 1\ndata\n\n         | from the beginning  | 2      | broken   |
      | an event that comes twice    | id: 1\ndata\n\nid: 1\ndata\n\n         | from the beginning  | 1      | broken   |
      | a sign                       | id: +1\ndata\n\n                       | from the beginning  |        | broken   |
      | a gap that its caller judges | id: 9\ndata\n\n                        | after the caller's 7 | 9      | complete |
      | an event the caller has      | id: 7\ndata\n\n                        | after the caller's 7 |        | broken   |

    Examples: another run that goes on with a stream
      | what                         | data                                   | first               | passed | verdict  |
      | the next event               | id: 8\ndata\n\nid: 10\ndata\n\n        | after another run's 7 | 8 10 | complete |
      | a missing event              | id: 9\ndata\n\n                        | after another run's 7 |      | broken   |
      | an event that comes twice    | id: 7\ndata\n\n                        | after another run's 7 |      | broken   |
      | an event without number      | data: x\n\nid: 8\ndata\n\n             | after another run's 7 |      | broken   |
      | a comment first              | :x\n\nid: 8\ndata\n\n                  | after another run's 7 | 8    | complete |
      | a gap like those before      | id: 12\ndata\n\n                       | after another run's 7 with gaps | 12 | complete |
      | a byte order mark            | \xef\xbb\xbfid: 8\ndata\n\n            | after another run's 7 | 8    | complete |

  Scenario: A number with too many digits to be read
    Given a stream with a number of 5000 digits
    When it arrives byte by byte, from the beginning
    Then events  are passed on, and the rest is broken
