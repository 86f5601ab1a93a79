"""Lets requests wait for their slot."""

import asyncio

from stoatpath.admission.messages import QUEUED


class AdmissionGate:
    """Waits on behalf of requests for what the admission queue decides."""

    __slots__ = ("_queue", "_clock", "_waiters_by_id")

    def __init__(self, queue, clock):
        self._queue = queue
        self._clock = clock
        self._waiters_by_id = {}

    def pool_loads(self):
        """Return how full each pool is."""
        return self._queue.pool_loads()

    def waiting_count(self):
        """Return how many requests wait for a slot."""
        return len(self._waiters_by_id)

    def expected_wait_ms(self, request):
        """Return how long a request would wait if it came now."""
        return self._queue.expected_wait_ms(request, self._clock.now_ms())

    async def acquire(self, request):
        """Return a grant, or a failure by the request's deadline."""
        verdict = self._queue.offer(request, self._clock.now_ms())
        if verdict is not QUEUED:
            return verdict
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_id[request.request_id] = waiter
        patience_ms = request.deadline_ms - request.expected_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, patience_ms / 1000)):
                grant = await waiter
        except TimeoutError:
            self._abandon(request.request_id, waiter)
            return self._queue.give_up(request, self._clock.now_ms())
        except asyncio.CancelledError:
            self._abandon(request.request_id, waiter)
            raise
        del self._waiters_by_id[request.request_id]
        return grant

    def release(self, grant):
        """Give a slot back."""
        self._deliver(self._queue.release(grant, self._clock.now_ms()))

    def set_capacities(self, slots_by_pool):
        """Set the slots of pools and serve whoever that lets in."""
        for pool, slots in slots_by_pool.items():
            self._queue.set_capacity(pool, slots)
        self._deliver(self._queue.serve(self._clock.now_ms()))

    def _deliver(self, grants):
        for grant in grants:
            waiter = self._waiters_by_id.get(grant.request_id)
            if waiter is None or waiter.done():
                self.release(grant)
            else:
                waiter.set_result(grant)

    def _abandon(self, request_id, waiter):
        """Forget a waiting request; give back a slot that came too late for it."""
        self._waiters_by_id.pop(request_id, None)
        self._queue.cancel(request_id)
        if waiter.done() and not waiter.cancelled():
            self.release(waiter.result())
