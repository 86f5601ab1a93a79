"""Serves one caller request from its claim to its bill."""

import asyncio

from stoatpath.billing.messages import BillingRecord
from stoatpath.callers.keys import KeyedRunner
from stoatpath.outcomes import is_failure


class Pipeline:
    """Runs a request through the slices of a router.

    `router` is the router that holds the slices; its `rates` and its `outbox` are
    None where the platform limits rates and bills.
    """

    __slots__ = ("_router", "_clock", "_keyed")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock
        self._keyed = KeyedRunner(router, self._serve_once)

    async def serve(self, request, stream=None):
        """Return `ServedResult` or a failure.

        `stream` receives the events of a streamed answer before its end marker.
        A repeatable request without a key is cancelled with its caller; one with a
        key runs to its end, so that a retry finds its answer, and so does one that
        may not be repeated, so that what ran is billed.
        """
        refusal = self._limit_rate(request)
        if request.idempotency_key:
            if refusal is not None:
                return self._noted(request, await self._keyed.refuse(request, refusal))
            return await self._keyed.run(request, stream)
        if refusal is not None:
            return self._noted(request, refusal)
        if not request.is_repeatable:
            return await self._keyed.run_to_end(self._serve_once(request, stream))
        return await self._serve_once(request, stream)

    async def drain(self):
        """Return once all work has ended that goes on without its caller."""
        await self._keyed.drain()

    async def abort(self):
        """End all work at once, as a crash would."""
        await self._keyed.abort()

    async def _serve_once(self, request, stream):
        problem = self._check_work(request)
        if problem is not None:
            return self._noted(request, problem)
        try:
            result = await self._router.stages.run(request, stream)
        except asyncio.CancelledError:
            self._note(request, "caller-gone")
            raise
        if is_failure(result):
            return self._noted(request, result)
        problem = await self._bill(request, result)
        if problem is not None:
            return self._noted(request, problem)
        self._note(request, "completed", cost=result.cost, version=result.version)
        return result

    def _limit_rate(self, request):
        if self._router.rates is None:
            return None
        return self._router.rates.acquire_token(
            request.organisation, self._clock.now_ms()
        )

    def _check_work(self, request):
        problem = self._router.guard.check_work(request)
        if problem is None and self._router.outbox is not None:
            problem = self._router.outbox.check_backlog()
        return problem

    async def _bill(self, request, result):
        """Record the bill of an answer, where this router bills; or its failure."""
        if self._router.outbox is None:
            return None
        wall_ms = self._clock.wall_ms()
        record = BillingRecord.from_served(request, result, wall_ms)
        return await self._router.outbox.store_record(record, request.deadline_ms)

    def _noted(self, request, result):
        if is_failure(result):
            outcome = result.outcome.value
            self._note(
                request, result.reason.name, detail=result.detail, outcome=outcome
            )
        return result

    def _note(self, request, reason, **details):
        self._router.ring.record_decision(
            request.request_id, "ended", reason, **details
        )
