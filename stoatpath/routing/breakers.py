"""Circuit breakers that stop requests to backend servers that failed recently."""

from stoatpath.outcomes import (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
)

COUNTED_REASONS = (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
)
FAILURES_TO_OPEN = 3
OPEN_BASE_MS = 500.0
MAX_OPEN_MS = 15_000.0
PROBE_TIMEOUT_MS = 5_000.0


class _Breaker:
    """State of one backend server's circuit: recent failures and open time.

    `failure_weight` sums the failures since the last success; a connection that can't
    be established counts as FAILURES_TO_OPEN. `trips` counts how often the circuit
    opened since it last closed. Attempts from before `started_ms` were at an earlier
    process of the name.
    """

    __slots__ = (
        "failure_weight",
        "trips",
        "open_until_ms",
        "probe_until_ms",
        "closed_ms",
        "started_ms",
    )

    def __init__(self):
        self.failure_weight = 0
        self.trips = 0
        self.open_until_ms = float("-inf")
        self.probe_until_ms = float("-inf")
        self.closed_ms = float("-inf")
        self.started_ms = float("-inf")


class CircuitBreakers:
    """Circuit breakers by backend server; only those with failures have an entry.

    When the open time has passed, the circuit is half-open: one request is allowed as
    a probe, and its outcome closes the circuit or opens it for longer. A connection
    that can't be established opens the circuit at once, other failures after
    `FAILURES_TO_OPEN` in a row.
    """

    __slots__ = ("_by_backend", "_random")

    def __init__(self, random):
        self._by_backend = {}
        self._random = random

    def observe(self, result):
        """Update a breaker with the `AttemptResult` of an attempt."""
        breaker = self._by_backend.get(result.backend)
        if breaker is not None and result.started_ms < breaker.started_ms:
            return
        if result.reason is None:
            self._record_success(result.backend, result.ended_ms)
        elif result.reason in COUNTED_REASONS:
            weight = FAILURES_TO_OPEN if result.reason is CONNECT_FAILED else 1
            self._record_failure(result.backend, weight, result.ended_ms)

    def is_open(self, name, now_ms):
        """Return whether a backend server must not get a request now.

        False for a half-open circuit until its probe is sent.
        """
        breaker = self._by_backend.get(name)
        if breaker is None or not breaker.trips:
            return False
        return now_ms < max(breaker.open_until_ms, breaker.probe_until_ms)

    def hold_open(self, name, until_ms):
        """Open a circuit until a clock reading; one probe is allowed after it."""
        breaker = self._by_backend.setdefault(name, _Breaker())
        breaker.trips = max(1, breaker.trips)
        breaker.open_until_ms = max(breaker.open_until_ms, until_ms)
        breaker.probe_until_ms = float("-inf")

    def record_send(self, name, now_ms):
        """Record a sent request; on an open circuit it becomes the only probe."""
        breaker = self._by_backend.get(name)
        if breaker is not None and breaker.trips:
            breaker.probe_until_ms = now_ms + PROBE_TIMEOUT_MS

    def last_closed_ms(self, name):
        """Return when an open circuit last closed, -inf if never."""
        breaker = self._by_backend.get(name)
        return float("-inf") if breaker is None else breaker.closed_ms

    def _record_success(self, name, now_ms):
        breaker = self._by_backend.get(name)
        if breaker is None:
            return
        if breaker.trips:
            breaker.closed_ms = now_ms
        breaker.failure_weight = 0
        breaker.trips = 0
        breaker.probe_until_ms = float("-inf")

    def _record_failure(self, name, weight, now_ms):
        breaker = self._by_backend.setdefault(name, _Breaker())
        breaker.failure_weight += weight
        breaker.probe_until_ms = float("-inf")
        if breaker.failure_weight < FAILURES_TO_OPEN or now_ms < breaker.open_until_ms:
            return
        open_ms = min(MAX_OPEN_MS, OPEN_BASE_MS * 2**breaker.trips)
        breaker.trips += 1
        breaker.open_until_ms = now_ms + open_ms * self._random.uniform(0.5, 1.0)

    def reset(self, name, now_ms):
        """Close the circuit of a backend server whose process is new."""
        breaker = self._by_backend[name] = _Breaker()
        breaker.started_ms = now_ms

    def retain_backends(self, names):
        """Drop the breakers of all backend servers but the named ones."""
        for name in [name for name in self._by_backend if name not in names]:
            del self._by_backend[name]
