"""Input and output of the selection of a backend server."""


class RoutingQuery:
    """What an attempt needs: a model version or plain service, and a deadline.

    `expected_tokens` counts those of the answer alone. `excluded` holds the names of
    backend servers that this request already tried.
    """

    __slots__ = (
        "request_id",
        "service",
        "version",
        "expected_tokens",
        "deadline_ms",
        "excluded",
    )

    def __init__(
        self, request_id, service, version, expected_tokens, deadline_ms, excluded
    ):
        self.request_id = request_id
        self.service = service
        self.version = version
        self.expected_tokens = expected_tokens
        self.deadline_ms = deadline_ms
        self.excluded = excluded


class Candidate:
    """A backend server that was considered, and why it was selected or rejected.

    `cost` is what the selection minimises: milliseconds for `LeastTimeChooser`, units
    of prompt work for `AffinityChooser`; None where it was not computed. Logs show
    it as `expected_ms` for both.
    """

    __slots__ = ("name", "cost", "verdict")

    def __init__(self, name, cost, verdict):
        self.name = name
        self.cost = cost
        self.verdict = verdict

    def to_json(self):
        """Return the representation used in logs."""
        return {
            "name": self.name,
            "expected_ms": self.cost,
            "verdict": self.verdict,
        }


class Choice:
    """The selected backend server, with the candidates that were considered."""

    __slots__ = ("backend", "candidates", "reason")

    def __init__(self, backend, candidates, reason):
        self.backend = backend
        self.candidates = candidates
        self.reason = reason
