"""Exponentially decayed failure rates of backend servers."""

from stoatpath.outcomes import (
    CALLER_GONE,
    REFUSED_BY_BACKEND,
    SUPERSEDED,
    TIMED_OUT,
)

HALF_LIFE_MS = 4_000.0
# Added to the number of answers, so that a few failures do not give a high rate.
PRIOR_ANSWERS = 2.0
# Refusals indicate load, not faults; only circuit breakers count them. The others
# can't be attributed to the backend server.
IGNORED_REASONS = (CALLER_GONE, REFUSED_BY_BACKEND, SUPERSEDED, TIMED_OUT)


class _DecayedCounts:
    """Counts of failures and answers that decay with `HALF_LIFE_MS`."""

    __slots__ = ("failures", "answers", "updated_ms")

    def __init__(self, now_ms):
        self.failures = 0.0
        self.answers = 0.0
        self.updated_ms = now_ms

    def decay(self, now_ms):
        factor = 0.5 ** (max(0.0, now_ms - self.updated_ms) / HALF_LIFE_MS)
        self.failures *= factor
        self.answers *= factor
        self.updated_ms = max(self.updated_ms, now_ms)


class FailureRates:
    """Failure rates by backend server; without new attempts a rate decays to 0."""

    __slots__ = ("_by_backend",)

    def __init__(self):
        self._by_backend = {}

    def observe(self, result):
        """Update a rate with the `AttemptResult` of an attempt."""
        if result.reason in IGNORED_REASONS:
            return
        counts = self._by_backend.get(result.backend)
        if counts is None:
            counts = self._by_backend[result.backend] = _DecayedCounts(result.ended_ms)
        counts.decay(result.ended_ms)
        counts.answers += 1
        counts.failures += result.reason is not None

    def rate(self, name, now_ms):
        """Return the expected share of failures."""
        counts = self._by_backend.get(name)
        if counts is None:
            return 0.0
        counts.decay(now_ms)
        return counts.failures / (counts.answers + PRIOR_ANSWERS)

    def reset(self, name):
        """Drop the rate of a backend server whose process is new."""
        self._by_backend.pop(name, None)

    def retain_backends(self, names):
        """Drop the rates of all backend servers but the named ones."""
        for name in [name for name in self._by_backend if name not in names]:
            del self._by_backend[name]
