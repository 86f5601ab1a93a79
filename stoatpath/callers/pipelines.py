"""Serves one caller request, from its idempotency claim to its billing record."""

import asyncio

from stoatpath.billing.messages import BillingRecord
from stoatpath.callers.keys import KeyedRunner
from stoatpath.outcomes import is_failure


class Pipeline:
    """Runs a request: rate limit, idempotency claim, model stages and billing.

    `router` provides the components. Its `guard` checks that the configuration is
    fresh, its `ring` records the decisions on each request. Its `rates` and its
    `outbox` are None where the platform limits rates and bills.
    """

    __slots__ = ("_router", "_clock", "_keyed")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock
        self._keyed = KeyedRunner(router, self._serve_once)

    async def serve(self, request, stream=None):
        """Return a result or a failure.

        `stream` receives the events of a streamed answer, without its end marker.
        A request without a key is cancelled when its caller disconnects. A request with
        a key is completed, so that a retry gets its answer. One that outlives its
        caller is completed if it has been sent, so that its run is billed.
        """
        refusal = self._check_rate(request)
        if request.idempotency_key:
            if refusal is not None:
                return self._record_failure(
                    request, await self._keyed.resolve_refusal(request, refusal)
                )
            return await self._keyed.run(request, stream)
        if refusal is not None:
            return self._record_failure(request, refusal)
        if request.outlives_caller:
            work = self._serve_once(request, stream)
            return await self._keyed.run_once_sent(request, work)
        return await self._serve_once(request, stream)

    async def drain(self):
        """Return when all requests that continue without their caller have ended."""
        await self._keyed.drain()

    async def abort(self):
        """Cancel all requests that continue without their caller, as a crash would."""
        await self._keyed.abort()

    async def _serve_once(self, request, stream):
        problem = self._check_work(request)
        if problem is not None:
            return self._record_failure(request, problem)
        try:
            result = await self._router.stages.run(request, stream)
        except asyncio.CancelledError:
            self._record_end(request, "caller-gone")
            raise
        if is_failure(result):
            return self._record_failure(request, result)
        problem = await self._store_bill(request, result)
        if problem is not None:
            return self._record_failure(request, problem)
        self._record_end(request, "completed", cost=result.cost, version=result.version)
        return result

    def _check_rate(self, request):
        if self._router.rates is None:
            return None
        return self._router.rates.acquire_token(
            request.organisation, self._clock.now_ms()
        )

    def _check_work(self, request):
        """Return a failure if the configuration is stale or billing lags, or None."""
        problem = self._router.guard.check_work(request)
        if problem is None and self._router.outbox is not None:
            problem = self._router.outbox.check_backlog()
        return problem

    async def _store_bill(self, request, result):
        """Store the billing record if this router bills; return a failure or None."""
        if self._router.outbox is None:
            return None
        wall_ms = self._clock.wall_ms()
        record = BillingRecord.from_served(request, result, wall_ms)
        return await self._router.outbox.store_record(record, request.deadline_ms)

    def _record_failure(self, request, result):
        """Return the result; record it as the end of the request if it is a failure."""
        if is_failure(result):
            outcome = result.outcome.value
            self._record_end(
                request, result.reason.name, detail=result.detail, outcome=outcome
            )
        return result

    def _record_end(self, request, reason, **details):
        self._router.ring.record_decision(
            request.request_id, "ended", reason, **details
        )
