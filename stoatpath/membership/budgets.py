"""The byte budget of gossip: optional data is sent only while it is positive."""

BURST_S = 5


class ByteBudget:
    """A token bucket of bytes, with a burst of `BURST_S` seconds."""

    __slots__ = ("_bytes_per_s", "_available", "_refilled_ms")

    def __init__(self, bytes_per_s, now_ms):
        self._bytes_per_s = bytes_per_s
        self._available = bytes_per_s * BURST_S
        self._refilled_ms = now_ms

    def spend(self, count, now_ms):
        """Deduct sent bytes; the balance may become negative."""
        self._refill(now_ms)
        self._available -= count

    def has_bytes_left(self, now_ms):
        """Return whether the balance is positive, so that optional data may be sent."""
        self._refill(now_ms)
        return self._available > 0

    def _refill(self, now_ms):
        refilled = (now_ms - self._refilled_ms) * self._bytes_per_s / 1000
        self._available = min(self._available + refilled, self._bytes_per_s * BURST_S)
        self._refilled_ms = now_ms
