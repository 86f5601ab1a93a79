Feature: A request that failed here goes to a peer if it may run there

  # Guards against requests that are given up though a peer could still serve them.
  Scenario Outline: <case>: the request <result>
    Given a <repeats> request with <runs> of 3 runs, and peers that reach its service
    When it fails here as <reason>, <outcome>
    Then it <result>

    Examples:
      | case                             | repeats     | runs | reason            | outcome | result          |
      | nothing was sent                 | once-only   | 0    | connect-failed    | not-run | is forwarded    |
      | it may have run                  | once-only   | 1    | broken-answer     | unknown | isn't forwarded |
      | its answer broke off             | repeatable  | 1    | broken-answer     | unknown | is forwarded    |
      | its answer was silent            | repeatable  | 1    | silent-connection | unknown | is forwarded    |
      | an earlier stage of it has run   | repeatable  | 1    | connect-failed    | not-run | is forwarded    |
      | the same, it may run once        | once-only   | 1    | connect-failed    | not-run | isn't forwarded |
      | no run is left                   | repeatable  | 3    | broken-answer     | unknown | isn't forwarded |
      | the caller has left              | repeatable  | 1    | caller-gone       | unknown | isn't forwarded |
      | a peer forwarded it to here      | forwarded   | 0    | connect-failed    | not-run | isn't forwarded |
      | no peer is in an allowed region  | bound       | 0    | connect-failed    | not-run | isn't forwarded |
