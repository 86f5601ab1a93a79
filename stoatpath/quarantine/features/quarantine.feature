Feature: Instances find prompt parts that end backend servers, and send no more of them

  Scenario Outline: Lost attempts lead to a suspicion: <case>
    Given attempts with their request, backend server, time, stage and parts: <attempts>
    And parts that were answered at these times: <answered>
    Then the parts under suspicion are <suspected>

    Examples:
      | case                                 | attempts                                        | answered     | suspected |
      | one crash                            | r1 s1 0 begun a,x                               | none         | none      |
      | two crashes under one request        | r1 s1 0 begun a,x; r1 s2 900 begun a,x          | none         | none      |
      | two crashes under two requests       | r1 s1 0 begun a,x; r2 s2 900 begun b,x          | none         | x         |
      | both attempts lost in one crash      | r1 s1 0 begun a,x; r2 s1 1 begun b,x            | none         | none      |
      | backend servers end at one time      | r1 s1 0 begun a,x; r2 s2 50 begun b,x           | none         | none      |
      | attempts that waited, in two crashes | r1 s1 0 waiting a,x; r2 s2 900 waiting b,x      | none         | none      |
      | a part was answered after the first  | r1 s1 0 begun a,x; r2 s2 900 begun b,x          | x 500        | none      |
      | a part was answered before the first | r1 s1 10 begun a,x; r2 s2 900 begun b,x         | x 5          | x         |
      | a part that is in use is shared too  | r1 s1 10 begun a,x; r2 s2 900 begun a,x         | a 500        | x         |
      | equal evidence, one answered before  | r1 s1 10 begun a,x; r2 s2 900 begun a,x         | a 5          | x,a       |
      | the first crash is forgotten         | r1 s1 0 begun a,x; r2 s2 61000 begun b,x        | none         | none      |

  # Guards against requests that are refused since they were lost beside a poison one.
  Scenario: A crash that a quarantined part explains counts against no other part
    Given attempts with their request, backend server, time, stage and parts: r1 s1 0 begun a,x; r3 s1 1 begun a,y; r2 s2 900 begun a,x; r4 s2 901 begun c,y
    When part x is dismissed
    Then the parts under suspicion are none

  # Guards against a request that ends backend servers, and against refusing those beside it.
  Scenario Outline: Lost attempts of the same content lead to a suspicion: <case>
    Given attempts with their request, backend server, time, stage and parts: <attempts>
    Then the requests under suspicion are <suspected>
    And the parts under suspicion are none

    Examples:
      | case                                | attempts                                                             | suspected |
      | alone in one crash                  | p s1 0 waiting -                                                     | none      |
      | alone in two crashes                | p s1 0 waiting -; p s2 50 waiting -                                  | p         |
      | beside others in two crashes        | p s1 0 waiting -; q s1 1 waiting -; p s2 900 waiting -; r s2 901 waiting - | none |
      | beside others in three crashes      | p s1 0 waiting -; q s1 1 waiting -; p s2 900 waiting -; r s2 901 waiting -; p s3 1800 waiting -; q s3 1801 waiting - | p |
      | not to be told from another         | p s1 0 waiting -; q s1 0 waiting -; p s2 900 waiting -; q s2 900 waiting -; p s3 1800 waiting -; q s3 1800 waiting - | p,q |
      | backend servers end at one time     | p s1 0 waiting -; p s2 10 waiting -; p s3 15 waiting -               | none      |
      | begun, with parts                   | p s1 0 begun a,x; p s2 900 begun a,x                                 | p         |
      | waited where another had begun      | p s1 0 begun a,x; q s1 0 waiting a,y; p s2 900 begun a,x; q s2 900 waiting a,y | p |
      | lost in different crashes           | p s1 0 waiting -; q s2 900 waiting -                                 | none      |
      | one backend server ends three times | p s1 0 waiting -; q s1 1 waiting -; p s1 900 waiting -; r s1 901 waiting -; p s1 1800 waiting -; q s1 1801 waiting - | p |
      | alone, one ends twice               | p s1 0 waiting -; p s1 900 waiting -                                 | p         |
      | one crash is seen late              | p s1 0 waiting -; p s1 110 waiting -; p s1 115 waiting -              | none      |

  # Guards against parts in quarantine since one request with them ends backend servers.
  Scenario: The parts of a request that is dismissed stay open
    Given attempts with their request, backend server, time, stage and parts: p s1 0 begun a,x; q s1 1 waiting a,x; p s2 900 begun a,x; r s2 901 waiting b,x; s s3 1800 waiting a,x
    When request p is dismissed
    Then the parts under suspicion are none
    And the requests under suspicion are none

  # Guards against a poison part that is hidden by a request with it that came more often.
  Scenario: A part counts beside a request with it that is dismissed
    Given attempts with their request, backend server, time, stage and parts: p s1 0 begun a,x; p s2 900 begun a,x; q s3 1800 begun b,x
    When request p is dismissed
    Then the parts under suspicion are x

  Scenario: A part that was in quarantine is suspected at the next crash
    Given attempts with their request, backend server, time, stage and parts: r1 s1 0 begun a,x
    Then with x known from before, the parts under suspicion are x

  Scenario Outline: <case>: a lost attempt <is reported>
    Given a backend server that <state>, and others that <others>
    When a request with the parts a,x loses its connection there <when>
    Then a lost attempt <is reported>

    Examples:
      | case                            | state           | others          | when                      | is reported     |
      | the backend server ended        | accepts nothing | accept          | before the first event    | is reported     |
      | the answer broke off            | accepts         | accept          | before the first event    | is not reported |
      | the answer had begun            | accepts nothing | accept          | after the first event     | is not reported |
      | this instance is cut off        | accepts nothing | accept nothing  | before the first event    | is not reported |
      | it ended and is back at once    | accepts nothing for 10 ms | accept   | before the first event    | is reported     |
      | it ended and is back soon       | accepts nothing for 30 ms | accept   | before the first event    | is reported     |
      | all of the service ended        | accepts nothing | are of another service | before the first event | is reported  |

  Scenario Outline: At <count> instances, few requests with a poison part reach backend servers
    Given <count> instances before <servers> backend servers, <rate> requests a second
    When 1 in <ratio> requests has a poison part for 20 s
    Then at most 3 of these reach backend servers later than 3 s after the fifth crash
    And from 6 s after it at least 95 in 100 of the other requests are served at once
    And no part of the other requests is in quarantine at the end

    Examples:
      | count | servers | rate | ratio |
      | 1     | 9       | 20   | 20    |
      | 7     | 9       | 20   | 20    |
      | 7     | 9       | 40   | 5     |
      | 7     | 3       | 20   | 20    |
      | 69    | 40      | 80   | 20    |
      | 195   | 90      | 200  | 20    |
      | 544   | 200     | 400  | 50    |

  Scenario Outline: The same while <faults> of <count> instances <fault>
    Given <count> instances before <servers> backend servers, <rate> requests a second
    When 1 in 20 requests has a poison part for 20 s, while <faults> instances <fault>
    Then at most 3 of these reach backend servers later than 3 s after the fifth crash
    And no part of the other requests is in quarantine at the end

    Examples:
      | count | servers | rate | faults | fault            |
      | 7     | 9       | 20   | 3      | join             |
      | 7     | 9       | 20   | 2      | restart          |
      | 7     | 9       | 20   | 2      | lose their peers |
      | 69    | 40      | 80   | 20     | lose their peers |
      | 69    | 40      | 80   | 20     | join             |
      | 69    | 40      | 80   | 20     | restart          |
      | 69    | 40      | 80   | 5      | leave            |

  # Guards against one request that, sent again and again, ends all backend servers.
  Scenario Outline: At <count> instances, a <kind> request that comes again reaches few of <servers>
    Given <count> instances before <servers> backend servers, <rate> requests a second
    When one <kind> request that ends backend servers comes <repeats> times a second for 30 s
    Then at most 3 of these reach backend servers later than 3 s after the third crash
    And from 6 s after it at least 95 in 100 of the other requests are served at once
    And no part of the other requests is in quarantine at the end

    Examples:
      | count | servers | rate | kind   | repeats |
      | 1     | 3       | 20   | plain  | 2       |
      | 7     | 4       | 15   | plain  | 2       |
      | 7     | 4       | 15   | plain  | 10      |
      | 7     | 9       | 40   | stream | 2       |
      | 7     | 9       | 40   | stream | 10      |
      | 69    | 12      | 80   | plain  | 5       |
      | 69    | 40      | 80   | stream | 5       |
      | 195   | 30      | 200  | plain  | 10      |
      | 544   | 60      | 400  | plain  | 10      |

  Scenario Outline: The same with a <kind> request while <faults> of <count> instances <fault>
    Given <count> instances before <servers> backend servers, <rate> requests a second
    When one <kind> request that ends backend servers comes 4 times a second for 30 s, while <faults> instances <fault>
    Then at most 3 of these reach backend servers later than 3 s after the third crash
    And no part of the other requests is in quarantine at the end

    Examples:
      | count | servers | rate | kind   | faults | fault   |
      | 7     | 4       | 15   | plain  | 3      | join    |
      | 7     | 4       | 15   | plain  | 3      | restart |
      | 7     | 9       | 40   | stream | 3      | restart |
      | 7     | 4       | 15   | plain  | 3      | lose their peers |
      | 7     | 9       | 40   | stream | 7      | lose their peers |
      | 69    | 12      | 80   | plain  | 20     | join    |
      | 69    | 12      | 80   | plain  | 20     | restart |
      | 69    | 12      | 80   | plain  | 20     | leave   |

  # Guards against crashes of one backend server that count as a single one.
  Scenario Outline: The same where <servers> backend servers keep their names, at <count> instances
    Given <count> instances before <servers> backend servers, <rate> requests a second
    And backend servers that come back under their names
    When one <kind> request that ends backend servers comes <repeats> times a second for 30 s
    Then at most 3 of these reach backend servers later than 3 s after the third crash
    And no part of the other requests is in quarantine at the end

    Examples:
      | count | servers | rate | kind   | repeats |
      | 7     | 1       | 10   | plain  | 4       |
      | 7     | 2       | 30   | plain  | 8       |
      | 7     | 4       | 15   | plain  | 4       |
      | 7     | 3       | 20   | stream | 4       |
      | 69    | 12      | 80   | plain  | 5       |

  # Guards against innocent parts in quarantine after ordinary crashes.
  Scenario Outline: Crashes without a cause in the requests lead to no lasting quarantine
    Given <count> instances before <servers> backend servers, <rate> requests a second
    When a tenth of the backend servers end together every 2 s for 20 s
    Then no part of the other requests is in quarantine at the end

    Examples:
      | count | servers | rate |
      | 7     | 10      | 40   |
      | 69    | 40      | 80   |

  # Guards against a quarantine for ever, and against one that ends for all at once.
  Scenario: When a quarantine ends, few requests show that the part is still harmful
    Given 7 instances before 9 backend servers, 20 requests a second
    When 1 in 20 requests has a poison part for 150 s
    Then at most 12 backend servers end

  Scenario: A part that is harmless again is served again
    Given 7 instances before 9 backend servers, 20 requests a second
    When 1 in 20 requests has a poison part for 20 s, and then it is harmless again
    Then within 80 s requests with the part are served

  # Guards against backend servers that end one after the other, since requests with the
  # identifier of the one that is let through pass beside it.
  Scenario: Requests with one identifier come when a quarantine has ended
    Given a part whose quarantine has ended
    When 5 requests with the part and one identifier are checked, each twice
    Then only the first one of them may be sent

  # Guards against evidence that is lost while instances are replaced by a newer release.
  Scenario: A lost attempt reported by an instance of an older release counts for its parts
    Given a lost attempt with the parts a,x as an instance of an older release reports it
    Then it counts for the parts a,x and for no whole request

  Scenario Outline: A malformed <message> about parts changes nothing
    Given any JSON in place of a <message> about parts
    Then no part is in quarantine after it

    Examples:
      | message  |
      | report   |
      | question |
      | decision |
