"""Load reports of backend servers."""

MAX_AMOUNT = 1_000_000


class LoadReport:
    """The load that a backend server reports.

    `slots` is its capacity and `running` its load in requests, `token_ms` its time per
    token; `resumes` tells whether it can resume a stream after a given event.
    """

    __slots__ = ("versions", "slots", "running", "token_ms", "is_leaving", "resumes")

    def __init__(self, versions, slots, running, token_ms, is_leaving, resumes):
        self.versions = versions
        self.slots = slots
        self.running = running
        self.token_ms = token_ms
        self.is_leaving = is_leaving
        self.resumes = resumes

    @classmethod
    def from_json(cls, data):
        """Build a report from its wire form, or return None if it is malformed."""
        if not isinstance(data, dict):
            return None
        versions = data.get("versions")
        if not isinstance(versions, list):
            return None
        if not all(isinstance(version, str) for version in versions):
            return None
        numbers = [data.get(name) for name in ("slots", "running", "token_ms")]
        if not all(_is_valid_amount(number) for number in numbers):
            return None
        leaving = data.get("leaving", False) is True
        resumes = data.get("resumes", False) is True
        return cls(frozenset(versions), *numbers, leaving, resumes)


def _is_valid_amount(value):
    return type(value) in (int, float) and 0 <= value <= MAX_AMOUNT
