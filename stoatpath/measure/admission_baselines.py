"""Baseline queueing strategies that the router's admission queue is compared with."""

from stoatpath.admission.queues import AdmissionQueue


class FirstComeQueue(AdmissionQueue):
    """Serves the earliest deadline, regardless of the organisation.

    If all requests have the same timeout, this is the order of arrival.
    """

    __slots__ = ()

    def _rank(self, request, pool_name, now_ms):
        return (request.deadline_ms,)


class PerPoolQueue(AdmissionQueue):
    """Shares each pool by weight, ignoring an organisation's slots in other pools."""

    __slots__ = ("_running_by_pool",)

    def __init__(self, max_queued):
        super().__init__(max_queued)
        self._running_by_pool = {}

    def release(self, grant, now_ms):
        """Release a slot; return the grants of the requests that start next."""
        self._running_by_pool[grant.pool, grant.request.organisation] -= 1
        return super().release(grant, now_ms)

    def _rank(self, request, pool_name, now_ms):
        running = self._running_by_pool.get((pool_name, request.organisation), 0)
        return running / request.weight, request.deadline_ms

    def _grant(self, request, pool_name, now_ms):
        key = (pool_name, request.organisation)
        self._running_by_pool[key] = self._running_by_pool.get(key, 0) + 1
        return super()._grant(request, pool_name, now_ms)


class UnboundedQueue(AdmissionQueue):
    """The router's queue without rejections, however long the expected wait."""

    __slots__ = ("_line",)

    def __init__(self, max_queued):
        super().__init__(max_queued)
        self._line = []

    def _is_full_for(self, organisation):
        return False

    def expected_wait_ms(self, request, now_ms):
        """Return 0, so that no request is rejected for its expected wait."""
        return 0.0
