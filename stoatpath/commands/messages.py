"""Results of commands and their exit codes."""

EXIT_OK = 0
EXIT_USAGE = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_WARNINGS = 4
EXIT_UNREACHABLE = 5
EXIT_UNKNOWN = 6
EXIT_LAGGING = 7
EXIT_FORBIDDEN = 8
EXIT_NOT_FOUND = 9

EXIT_CODES_HELP = """\
Exit codes:
  0 done              5 no controller answered, nothing was accepted
  1 wrong usage       6 unknown whether accepted: repeat with the same
  2 not valid           --submission_id, which settles it
  3 conflict          7 accepted, but not in force everywhere in time
  4 warnings to       8 the operator key is unknown or may not do this
    accept            9 not found"""


class Reply:
    """The HTTP status and JSON of a controller's answer."""

    __slots__ = ("status", "data")

    def __init__(self, status, data):
        self.status = status
        self.data = data


class Result:
    """The result of a command: exit code, lines to print, data for `--json`."""

    __slots__ = ("code", "lines", "data")

    def __init__(self, code, lines, data):
        self.code = code
        self.lines = lines
        self.data = data
