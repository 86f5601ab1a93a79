"""Suspends requests until they get a slot or their time to wait is over."""

import asyncio

from stoatpath.admission.messages import QUEUED
from stoatpath.outcomes import is_failure


class AdmissionGate:
    """Asynchronous front end of the admission queue: one future per waiting request."""

    __slots__ = ("_queue", "_clock", "_waiters_by_request")

    def __init__(self, queue, clock):
        self._queue = queue
        self._clock = clock
        self._waiters_by_request = {}

    def pool_loads(self):
        """Return the capacity and the slots in use of each pool."""
        return self._queue.pool_loads()

    def waiting_count(self):
        """Return the number of requests that wait for a slot."""
        return len(self._waiters_by_request)

    def discarded_count(self):
        """Return the number of entries that no waiting request had."""
        return self._queue.discarded

    def expected_wait_ms(self, request):
        """Return the expected wait of a request that arrives now."""
        return self._queue.expected_wait_ms(request, self._clock.now_ms())

    async def acquire(self, request):
        """Return a grant, or a failure if the request is refused or its wait ends."""
        decision = self._queue.offer(request, self._clock.now_ms())
        if decision is not QUEUED:
            return decision
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_request[request] = waiter
        max_wait_ms = request.deadline_ms - request.expected_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, max_wait_ms / 1000)):
                grant = await waiter
        except TimeoutError:
            self._cancel_wait(request, waiter)
            return self._queue.expire(request, self._clock.now_ms())
        except asyncio.CancelledError:
            self._cancel_wait(request, waiter)
            raise
        del self._waiters_by_request[request]
        return grant

    def release(self, grant):
        """Release a slot and grant it to a waiting request, if any."""
        self._deliver_grants(self._queue.release(grant, self._clock.now_ms()))

    def set_capacities(self, slots_by_pool):
        """Set the slots of pools and grant those that became free."""
        for pool, slots in slots_by_pool.items():
            self._queue.set_capacity(pool, slots)
        self._deliver_grants(self._queue.grant_waiting(self._clock.now_ms()))

    def refuse_waiting(self, find_failure):
        """End the wait of each request for which `find_failure` returns a failure."""
        for request in self._queue.waiting_requests():
            failure = find_failure(request)
            waiter = self._waiters_by_request.get(request)
            if failure is None or waiter is None or waiter.done():
                continue
            self._queue.remove_waiting(request)
            waiter.set_result(failure)

    def _deliver_grants(self, grants):
        for grant in grants:
            waiter = self._waiters_by_request.get(grant.request)
            if waiter is None or waiter.done():
                self.release(grant)
            else:
                waiter.set_result(grant)

    def _cancel_wait(self, request, waiter):
        """Remove a waiting request, and release a slot granted in the meantime.

        The slot can be granted in the same event loop iteration in which the wait times
        out or is cancelled.
        """
        self._waiters_by_request.pop(request, None)
        self._queue.remove_waiting(request)
        if waiter.done() and not waiter.cancelled():
            grant = waiter.result()
            if not is_failure(grant):
                self.release(grant)
