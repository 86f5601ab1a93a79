"""Circuit breakers: which backend servers failed of late and rest for a while."""

from stoatpath.outcomes import (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
)

BREAKING_REASONS = (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
)
FAILURES_TO_OPEN = 3
OPEN_BASE_MS = 500.0
OPEN_CAP_MS = 15_000.0
PROBE_TIMEOUT_MS = 5_000.0


class _Breaker:
    """Failures in a row of one backend server, and until when it rests.

    `trips` counts how often it opened since it last closed.
    """

    __slots__ = ("failures", "trips", "open_until_ms", "probe_until_ms", "closed_ms")

    def __init__(self):
        self.failures = 0
        self.trips = 0
        self.open_until_ms = float("-inf")
        self.probe_until_ms = float("-inf")
        self.closed_ms = float("-inf")


class CircuitBreakers:
    """Breakers by backend server; only those that failed of late are kept.

    An open breaker lets one probe through when its rest is over; the probe's
    outcome closes it or opens it for longer. A refused connection opens one at
    once, other failures when there are several in a row.
    """

    __slots__ = ("_by_backend", "_random")

    def __init__(self, random):
        self._by_backend = {}
        self._random = random

    def observe(self, result):
        """Take the `AttemptResult` of an attempt."""
        if result.reason is None:
            self._succeed(result.backend, result.ended_ms)
        elif result.reason in BREAKING_REASONS:
            weight = FAILURES_TO_OPEN if result.reason is CONNECT_FAILED else 1
            self._fail(result.backend, weight, result.ended_ms)

    def is_open(self, name, now_ms):
        """Return whether a backend server is to get no request now."""
        breaker = self._by_backend.get(name)
        if breaker is None or not breaker.trips:
            return False
        return now_ms < max(breaker.open_until_ms, breaker.probe_until_ms)

    def record_send(self, name, now_ms):
        """Note that a request goes out; after a rest it is the only one."""
        breaker = self._by_backend.get(name)
        if breaker is not None and breaker.trips:
            breaker.probe_until_ms = now_ms + PROBE_TIMEOUT_MS

    def closed_ms(self, name):
        """Return when a breaker last closed after it was open."""
        breaker = self._by_backend.get(name)
        return float("-inf") if breaker is None else breaker.closed_ms

    def _succeed(self, name, now_ms):
        breaker = self._by_backend.get(name)
        if breaker is None:
            return
        if breaker.trips:
            breaker.closed_ms = now_ms
        breaker.failures = 0
        breaker.trips = 0
        breaker.probe_until_ms = float("-inf")

    def _fail(self, name, weight, now_ms):
        breaker = self._by_backend.setdefault(name, _Breaker())
        breaker.failures += weight
        breaker.probe_until_ms = float("-inf")
        if breaker.failures < FAILURES_TO_OPEN or now_ms < breaker.open_until_ms:
            return
        rest_ms = min(OPEN_CAP_MS, OPEN_BASE_MS * 2**breaker.trips)
        breaker.trips += 1
        breaker.open_until_ms = now_ms + rest_ms * self._random.uniform(0.5, 1.0)

    def retain_backends(self, names):
        """Drop what is kept of backend servers other than these."""
        for name in [name for name in self._by_backend if name not in names]:
            del self._by_backend[name]
