"""Learns how long a backend server may take before its silence is unusual."""

QUANTILE = 0.95
STEP = 0.05


class SlowAnswerEstimates:
    """The 95th percentile of the time to the first byte, by kind of request.

    Each observation moves the estimate by a share of itself, so that it settles
    where one observation in twenty lies above it.
    """

    __slots__ = ("_ms_by_kind",)

    def __init__(self):
        self._ms_by_kind = {}

    def learn(self, kind, elapsed_ms):
        """Take the time to the first byte of one attempt."""
        estimate_ms = self._ms_by_kind.get(kind)
        if estimate_ms is None:
            self._ms_by_kind[kind] = elapsed_ms
        elif elapsed_ms > estimate_ms:
            self._ms_by_kind[kind] = estimate_ms * (1 + STEP * QUANTILE)
        else:
            self._ms_by_kind[kind] = estimate_ms * (1 - STEP * (1 - QUANTILE))

    def slow_ms(self, kind):
        """Return the estimate, or None before the first observation."""
        return self._ms_by_kind.get(kind)
