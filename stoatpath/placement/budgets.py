"""The share of the weight store's rate that comes with the lease of a shard."""

MS_PER_MINUTE = 60_000


class LoadBudget:
    """A bucket of loads. A new holder starts with an empty one.

    All shards together never start more loads than the store allows, whoever
    holds them: what a former holder saved up is lost with its lease.
    """

    __slots__ = ("_per_ms", "_burst", "_tokens", "_fencing", "_filled_ms")

    def __init__(self, loads_per_minute, shards):
        self._per_ms = loads_per_minute / shards / MS_PER_MINUTE
        self._burst = max(1.0, loads_per_minute / shards / 6)
        self._tokens = 0.0
        self._fencing = None
        self._filled_ms = 0.0

    def available(self, fencing, now_ms):
        """Return how many loads may start now under a lease."""
        if fencing != self._fencing:
            self._fencing = fencing
            self._tokens = 0.0
            self._filled_ms = now_ms
        gained = (now_ms - self._filled_ms) * self._per_ms
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_ms = now_ms
        return int(self._tokens)

    def spend(self, loads):
        """Take loads that were ordered."""
        self._tokens -= loads
