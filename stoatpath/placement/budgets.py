"""The part of the weight store's rate limit that belongs to the lease of a shard."""

MS_PER_MINUTE = 60_000


class LoadBudget:
    """A token bucket of weight loads; it is empty when a lease is claimed.

    Starting empty keeps all shards together within the store's limit across changes
    of holder: tokens that the former holder had left aren't carried over.
    """

    __slots__ = ("_per_ms", "_burst", "_tokens", "_fencing", "_filled_ms")

    def __init__(self, loads_per_minute, shards):
        self._per_ms = loads_per_minute / shards / MS_PER_MINUTE
        # Ten seconds' worth of loads, but at least one.
        self._burst = max(1.0, loads_per_minute / shards / 6)
        self._tokens = 0.0
        self._fencing = None
        self._filled_ms = 0.0

    def available(self, fencing, now_ms):
        """Return how many loads may start now under the lease with a fencing token."""
        if fencing != self._fencing:
            self._fencing = fencing
            self._tokens = 0.0
            self._filled_ms = now_ms
        gained = (now_ms - self._filled_ms) * self._per_ms
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_ms = now_ms
        return int(self._tokens)

    def spend(self, loads):
        """Deduct planned loads, whether or not their orders are sent."""
        self._tokens -= loads
