"""Estimates how long a backend server would take to complete a request."""

REPORT_HALF_LIFE_MS = 500.0
AVERAGE_SMOOTHING = 0.05  # weight of a new value in the moving averages
# Additional step time of a full batch, as a multiple of that of an empty one.
FULL_BATCH_SLOWDOWN = 2.0
PEER_LOAD_FACTOR = 2.0
MIN_TOKEN_MS = 0.01


class LoadEstimator:
    """Estimates the load of a backend server and the time of one more request.

    The load from other routers is known from load reports only. As a report ages,
    the estimate decays from the reported load to the average of all backend
    servers, so that one that stopped reporting looks average, not idle. Other
    routers act on the same reports, so each request that this router sent since
    the report also counts `PEER_LOAD_FACTOR` times as load from them.
    """

    __slots__ = ("_average_share", "_average_tokens")

    def __init__(self):
        self._average_share = 0.0
        self._average_tokens = 0.0

    def record_tokens(self, tokens):
        """Update the average with the expected tokens of one request."""
        if self._average_tokens == 0.0:
            self._average_tokens = float(tokens)
        self._average_tokens += AVERAGE_SMOOTHING * (tokens - self._average_tokens)

    def record_load(self, backend):
        """Update the average share of slots that other routers use."""
        share = _reported_remote_load(backend) / max(1, backend.slots)
        self._average_share += AVERAGE_SMOOTHING * (share - self._average_share)

    def expected_ms(self, backend, tokens, now_ms):
        """Return the expected time to run a request of this many tokens."""
        slots = max(1, backend.slots)
        batch = 1 + backend.in_flight + self.expected_remote_load(backend, now_ms)
        token_ms = max(MIN_TOKEN_MS, backend.token_ms)
        token_ms *= _relative_step_time(batch, slots) / _relative_step_time(
            backend.running, slots
        )
        queued_batches = max(0.0, batch - slots) / slots
        return (tokens + queued_batches * self._average_tokens) * token_ms

    def expected_remote_load(self, backend, now_ms):
        """Return how many requests of other routers are expected to be running."""
        age_ms = max(0.0, now_ms - backend.reported_ms)
        weight = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        average = self._average_share * backend.slots
        peer_load = PEER_LOAD_FACTOR * (backend.in_flight - backend.in_flight_at_report)
        return max(
            0.0,
            weight * (_reported_remote_load(backend) + peer_load)
            + (1 - weight) * average,
        )


def _reported_remote_load(backend):
    return max(0, backend.running - backend.in_flight_at_report)


def _relative_step_time(batch, slots):
    """Return the time of an engine step relative to that of an empty batch."""
    return 1 + FULL_BATCH_SLOWDOWN * min(batch, slots) / slots
