"""Holds gossip within its bytes a second."""

BURST_S = 5


class ByteBudget:
    """Bytes that may be sent, refilled at a constant rate."""

    __slots__ = ("_bytes_per_s", "_left", "_filled_ms")

    def __init__(self, bytes_per_s, now_ms):
        self._bytes_per_s = bytes_per_s
        self._left = bytes_per_s * BURST_S
        self._filled_ms = now_ms

    def spend(self, count, now_ms):
        """Take bytes out; the budget may run into debt."""
        self._fill(now_ms)
        self._left -= count

    def has_room(self, now_ms):
        """Return whether more than the necessary may be sent."""
        self._fill(now_ms)
        return self._left > 0

    def _fill(self, now_ms):
        gained = (now_ms - self._filled_ms) * self._bytes_per_s / 1000
        self._left = min(self._left + gained, self._bytes_per_s * BURST_S)
        self._filled_ms = now_ms
