"""Decides who gets a slot: pure state, no waiting.

When a slot frees in a pool, the organisation with the lowest weighted share
that may run there is served, and within it short work first, then the earliest
deadline.
"""

from stoatpath.admission.messages import QUEUED, Grant, PoolLoad
from stoatpath.outcomes import DEADLINE_UNREACHABLE, OVERLOADED, Failure

SHORT_RESERVE = 0.1
SMOOTHING = 0.05


class Pool:
    """Slots of one pool and the smoothed time for which each is held, in ms."""

    __slots__ = ("capacity", "in_use", "held_ms")

    def __init__(self):
        self.capacity = 0
        self.in_use = 0
        self.held_ms = 0.0

    def has_room(self, is_short):
        """Return whether a slot is free; some are reserved for short work."""
        reserved = 0 if is_short else int(self.capacity * SHORT_RESERVE)
        return self.in_use < self.capacity - reserved


class AdmissionQueue:
    """Pools, running work per organisation, and the requests that wait."""

    __slots__ = ("_pools_by_name", "_running_by_organisation", "_waiting", "_limit")

    def __init__(self, max_queued):
        self._pools_by_name = {}
        self._running_by_organisation = {}
        self._waiting = {}
        self._limit = max_queued

    def set_capacity(self, pool, slots):
        """Set the slots of a pool."""
        self._pool(pool).capacity = slots

    def pool_loads(self):
        """Return how full each pool is."""
        return [
            PoolLoad(name, pool.capacity, pool.in_use)
            for name, pool in self._pools_by_name.items()
        ]

    def offer(self, request, now_ms):
        """Return a grant, `QUEUED`, or a failure."""
        for name in request.pools:
            if self._pool(name).has_room(request.is_short):
                return self._grant(request, name, now_ms)
        if len(self._waiting) >= self._limit:
            return self._refuse(OVERLOADED, "the queue is full", now_ms)
        wait_ms = self._expected_wait_ms(request)
        if now_ms + wait_ms + request.expected_ms > request.deadline_ms:
            detail = f"expected to wait {wait_ms:.0f} ms"
            return self._refuse(DEADLINE_UNREACHABLE, detail, now_ms + wait_ms)
        self._waiting[request.request_id] = request
        return QUEUED

    def release(self, grant, now_ms):
        """Free a slot; return the grants that follow."""
        pool = self._pool(grant.pool)
        pool.in_use -= 1
        held_ms = now_ms - grant.granted_ms
        pool.held_ms += SMOOTHING * (held_ms - pool.held_ms)
        running = self._running_by_organisation[grant.organisation] - 1
        self._running_by_organisation[grant.organisation] = running
        return self.serve(now_ms)

    def serve(self, now_ms):
        """Grant waiting requests while there is room."""
        grants = []
        for name in list(self._pools_by_name):
            while (request := self._next_for(name)) is not None:
                del self._waiting[request.request_id]
                grants.append(self._grant(request, name, now_ms))
        return grants

    def withdraw(self, request_id):
        """Forget a waiting request; return whether it still waited."""
        return self._waiting.pop(request_id, None) is not None

    def _next_for(self, pool_name):
        pool = self._pool(pool_name)
        if not pool.has_room(is_short=True):
            return None
        best = None
        best_rank = None
        for request in self._waiting.values():
            if pool_name in request.pools and pool.has_room(request.is_short):
                rank = (
                    self._share(request),
                    not request.is_short,
                    request.deadline_ms,
                )
                if best_rank is None or rank < best_rank:
                    best = request
                    best_rank = rank
        return best

    def _share(self, request):
        running = self._running_by_organisation.get(request.organisation, 0)
        return running / request.weight

    def _grant(self, request, pool_name, now_ms):
        self._pool(pool_name).in_use += 1
        running = self._running_by_organisation.get(request.organisation, 0)
        self._running_by_organisation[request.organisation] = running + 1
        return Grant(request.request_id, request.organisation, pool_name, now_ms)

    def _expected_wait_ms(self, request):
        pools = [self._pool(name) for name in request.pools]
        capacity = sum(pool.capacity for pool in pools)
        if capacity == 0:
            return 0.0
        held_ms = max(pool.held_ms for pool in pools)
        return len(self._waiting) * held_ms / capacity

    def _pool(self, name):
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = self._pools_by_name[name] = Pool()
        return pool

    @staticmethod
    def _refuse(reason, detail, retry_at_ms):
        return Failure(reason, detail, retry_at_ms=retry_at_ms)
