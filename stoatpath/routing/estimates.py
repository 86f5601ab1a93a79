"""Estimates the time that a backend server would take for a request."""

REPORT_HALF_LIFE_MS = 500.0
TYPICAL_SMOOTHING = 0.05
FULL_BATCH_GROWTH = 2.0
PEER_ECHO = 2.0
MIN_TOKEN_MS = 0.01


class LoadEstimator:
    """Estimates how much runs at a backend server, and how long one more takes.

    Work of other routers is known from reports only. As a report ages, the
    estimate moves from what it said to what is typical of all backend servers:
    one that fell silent looks ordinary, not idle. Other routers read the same
    reports and decide alike, so what this router has sent since the report
    counts again for what they have sent.
    """

    __slots__ = ("_typical_share", "_typical_tokens")

    def __init__(self):
        self._typical_share = 0.0
        self._typical_tokens = 0.0

    def learn_tokens(self, tokens):
        """Take the expected length of one request."""
        if self._typical_tokens == 0.0:
            self._typical_tokens = float(tokens)
        self._typical_tokens += TYPICAL_SMOOTHING * (tokens - self._typical_tokens)

    def learn_load(self, backend):
        """Take the share of slots that others use at a backend server."""
        share = _others(backend) / max(1, backend.slots)
        self._typical_share += TYPICAL_SMOOTHING * (share - self._typical_share)

    def expected_ms(self, backend, tokens, now_ms):
        """Return the expected time to run a request of so many tokens."""
        slots = max(1, backend.slots)
        batch = 1 + backend.in_flight + self.others_now(backend, now_ms)
        token_ms = max(MIN_TOKEN_MS, backend.token_ms)
        token_ms *= _step_growth(batch, slots) / _step_growth(backend.running, slots)
        ahead = max(0.0, batch - slots) / slots
        return (tokens + ahead * self._typical_tokens) * token_ms

    def others_now(self, backend, now_ms):
        """Return how many requests of other routers are expected to run now."""
        age_ms = max(0.0, now_ms - backend.reported_ms)
        trust = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        typical = self._typical_share * backend.slots
        echo = PEER_ECHO * (backend.in_flight - backend.in_flight_at_report)
        return max(0.0, trust * (_others(backend) + echo) + (1 - trust) * typical)


def _others(backend):
    return max(0, backend.running - backend.in_flight_at_report)


def _step_growth(batch, slots):
    """Return how much longer a step takes than with a batch of one."""
    return 1 + FULL_BATCH_GROWTH * min(batch, slots) / slots
