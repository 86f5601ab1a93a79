"""Estimates the 95th percentile of first byte times, for the delay of hedges."""

QUANTILE = 0.95
STEP = 0.05  # largest relative change of the estimate per observation


class FirstByteTimes:
    """Streaming estimate of the 95th percentile of first byte times by request key.

    An observation above the estimate raises it by 4.75%, one below lowers it by
    0.25%, so it converges to where one observation in twenty lies above it.
    """

    __slots__ = ("_p95_ms_by_key",)

    def __init__(self):
        self._p95_ms_by_key = {}

    def record(self, key, elapsed_ms):
        """Record the time to the first byte of one attempt."""
        estimate_ms = self._p95_ms_by_key.get(key)
        if estimate_ms is None:
            self._p95_ms_by_key[key] = elapsed_ms
        elif elapsed_ms > estimate_ms:
            self._p95_ms_by_key[key] = estimate_ms * (1 + STEP * QUANTILE)
        else:
            self._p95_ms_by_key[key] = estimate_ms * (1 - STEP * (1 - QUANTILE))

    def p95_ms(self, key):
        """Return the estimate, or None before the first observation."""
        return self._p95_ms_by_key.get(key)
