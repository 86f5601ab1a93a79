Feature: What a gateway holds for others is bounded

  # Guards against instances that end since backend servers read bodies slowly.
  Scenario: Backend servers read long bodies slowly
    Given a gateway that may hold 15 MB, before backend servers that read 500 KB a second
    When 12 callers send whole bodies of 2000 KB within 1 s
    Then between 5 and 7 of them are answered with 200, and the others with 503 and never sent
    And it never held more than 15 MB, and holds nothing in the end

  Scenario: Bodies of unknown length are counted as they arrive
    Given a gateway that may hold 15 MB, before backend servers that read 500 KB a second
    When 12 callers send chunked bodies of 2000 KB within 1 s
    Then between 3 and 7 of them are answered with 200, and the others with 503 and never sent
    And it never held more than 15 MB, and holds nothing in the end

  # Guards against callers who are refused, since others announce bodies that they don't send.
  Scenario: Callers announce long bodies and send none of them
    Given a gateway that may hold 16 MB, before backend servers with answers of 2 KB
    When 12 callers announce bodies of 4000 KB and send nothing
    Then a caller that reads is answered with 200
    And a caller with a body of 4000 KB is answered with 503

  # Guards against instances that end since callers read answers slowly.
  Scenario: Callers do not read their long answers
    Given a gateway that may hold 15 MB, before backend servers with answers of 2000 KB
    When 40 callers send a look request and read nothing for 3 s
    Then it never held more than 18 MB, and holds nothing in the end
    And a caller that reads is answered with 200

  Scenario: New work is refused while too much is held
    Given a gateway that may hold 15 MB, before backend servers with answers of 2000 KB
    When it holds 16 MB and a caller sends a look request
    Then the caller is answered with 503, and the request never ran

  # Guards against instances that end since each of many answers is read ahead of its caller.
  Scenario: Many callers at once read long answers slowly
    Given a gateway process with 150 MB, before backend servers with answers of 4000 KB
    When 300 callers at once read 1 byte a second of their answers for 9 s
    Then the process never took more than 125 MB

  # Guards against answers that are all half read when there is no room for the rest.
  Scenario: Many callers at once read long answers as they come
    Given a gateway process with 150 MB, before backend servers with answers of 4000 KB
    When 100 callers at once read their answers as they come
    Then each is answered with 200 and the whole answer, or with 503 and never ran
    And at least 20 are answered with 200
    And the process never took more than 125 MB

  # Guards against answers that wait for one whose backend server has stopped sending.
  Scenario: The first of the answers that wait stalls
    Given an account of 1000 KB, full of two answers of which one was there first
    Then the first may be read on, and the second waits
    And once the first has stalled for 1 s the second may be read on
