"""Alternatives to permits on request, with the interface of `PermitExchange`."""

from stoatpath.utils import rendezvous_rank

SENDERS = 4
SENDER_SHARE = 0.9
NOT_A_SENDER_MS = 1_000.0


class LocalShares:
    """Token buckets of one instance.

    Subclasses define `_rate_per_s`, its part of the limit of a backend server.
    """

    __slots__ = ("_limits", "_members", "_clock", "_buckets_by_backend")

    def __init__(self, limits, members, client, server, clock):
        self._limits = limits
        self._members = members
        self._clock = clock
        self._buckets_by_backend = {}

    def has_permit(self, backend):
        """Return whether a request may be sent now."""
        return self.retry_at_ms(backend) <= self._clock.now_ms()

    def retry_at_ms(self, backend):
        """Return when the next request may be sent."""
        limit_per_s = self._limits.limit_per_s(backend)
        if limit_per_s is None:
            return float("-inf")
        now_ms = self._clock.now_ms()
        rate_per_s = self._rate_per_s(backend, limit_per_s)
        if rate_per_s <= 0.0:
            return now_ms + NOT_A_SENDER_MS
        tokens = self._refill(backend, rate_per_s, now_ms)
        return now_ms + max(0.0, 1.0 - tokens) / rate_per_s * 1000

    def try_acquire(self, backend):
        """Take a token; return whether a request may be sent now."""
        if self._limits.limit_per_s(backend) is None:
            return True
        if not self.has_permit(backend):
            return False
        self._buckets_by_backend[backend][0] -= 1.0
        return True

    async def acquire(self, backend):
        """Take a token; return whether a request may be sent now."""
        return self.try_acquire(backend)

    async def close(self):
        """Do nothing."""

    def _refill(self, backend, rate_per_s, now_ms):
        """Return the tokens, at most one; a new bucket has none."""
        bucket = self._buckets_by_backend.setdefault(backend, [0.0, now_ms])
        elapsed_s = (now_ms - bucket[1]) / 1000
        bucket[:] = [min(1.0, bucket[0] + rate_per_s * elapsed_s), now_ms]
        return bucket[0]

    def _live_names(self):
        return self._members.live_names(self._members.local.role)


class EqualShares(LocalShares):
    """Every instance has the same part of a limit."""

    __slots__ = ()

    def _rate_per_s(self, backend, limit_per_s):
        return limit_per_s / max(1, len(self._live_names()))


class FewSenders(LocalShares):
    """A few instances, by rendezvous hashing, share a limit; no other one sends."""

    __slots__ = ()

    def _rate_per_s(self, backend, limit_per_s):
        names = self._live_names()
        ranked = rendezvous_rank(f"permits/{backend}", names)[:SENDERS]
        if self._members.local.name not in ranked:
            return 0.0
        return SENDER_SHARE * limit_per_s / len(ranked)
