"""How often each backend server failed of late, older answers counting less."""

from stoatpath.outcomes import (
    CALLER_GONE,
    REFUSED_BY_BACKEND,
    SUPERSEDED,
    TIMED_OUT,
)

HALF_LIFE_MS = 4_000.0
# Answers that a backend server of which nothing is known stands for.
PRIOR_ANSWERS = 2.0
# Refusals tell of load, not of faults.
IGNORED_REASONS = (CALLER_GONE, REFUSED_BY_BACKEND, SUPERSEDED, TIMED_OUT)


class _Decayed:
    """Failures and answers, halved with every half-life."""

    __slots__ = ("failures", "answers", "updated_ms")

    def __init__(self, now_ms):
        self.failures = 0.0
        self.answers = 0.0
        self.updated_ms = now_ms

    def decay(self, now_ms):
        kept = 0.5 ** (max(0.0, now_ms - self.updated_ms) / HALF_LIFE_MS)
        self.failures *= kept
        self.answers *= kept
        self.updated_ms = max(self.updated_ms, now_ms)


class FailureRates:
    """Rates by backend server; one that gets no work is forgiven with time."""

    __slots__ = ("_by_backend",)

    def __init__(self):
        self._by_backend = {}

    def observe(self, result):
        """Take the `AttemptResult` of an attempt."""
        if result.reason in IGNORED_REASONS:
            return
        record = self._by_backend.get(result.backend)
        if record is None:
            record = self._by_backend[result.backend] = _Decayed(result.ended_ms)
        record.decay(result.ended_ms)
        record.answers += 1
        record.failures += result.reason is not None

    def rate(self, name, now_ms):
        """Return the share of failures to expect."""
        record = self._by_backend.get(name)
        if record is None:
            return 0.0
        record.decay(now_ms)
        return record.failures / (record.answers + PRIOR_ANSWERS)

    def retain_backends(self, names):
        """Drop what is kept of backend servers other than these."""
        for name in [name for name in self._by_backend if name not in names]:
            del self._by_backend[name]
