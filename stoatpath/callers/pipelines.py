"""Serves one caller request from its claim to its bill."""

from stoatpath.billing.messages import BillingRecord
from stoatpath.callers.messages import Served
from stoatpath.idempotency.messages import Replay, StoredAnswer
from stoatpath.outcomes import Outcome, is_failure


class Pipeline:
    """Runs a request through the slices of a router.

    `parts` is the router that holds the slices.
    """

    __slots__ = ("_parts", "_clock")

    def __init__(self, parts):
        self._parts = parts
        self._clock = parts.clock

    async def serve(self, request, stream=None):
        """Return `Served` or a failure.

        `stream` receives the events of a streamed answer before its end marker.
        """
        if not request.idempotency_key:
            return await self._serve_once(request, stream)
        verdict = await self._parts.claims.claim(request)
        if isinstance(verdict, Replay):
            return _replay(verdict.answer)
        if is_failure(verdict):
            return verdict
        result = await self._serve_once(request, stream)
        if is_failure(result):
            if result.outcome is Outcome.NOT_RUN:
                await self._parts.claims.release(request)
            return result
        await self._parts.claims.finish(request, _to_store(request, result))
        return result

    async def _serve_once(self, request, stream):
        problem = self._parts.guard.check_work()
        if problem is not None:
            return problem
        result = await self._parts.stages.run(request, stream)
        if is_failure(result):
            self._note(request, result.reason.name, detail=result.detail)
            return result
        wall_ms = self._clock.wall_ms()
        record = BillingRecord.from_served(request, result, wall_ms)
        await self._parts.outbox.record(record)
        self._note(request, "completed", cost=result.cost)
        return result

    def _note(self, request, reason, **details):
        self._parts.ring.note(request.request_id, "ended", reason, **details)


def _to_store(request, served):
    return StoredAnswer(
        served.status,
        served.content_type,
        served.body,
        served.version,
        request.request_id,
    )


def _replay(answer):
    served = Served(
        answer.status, answer.content_type, answer.body, answer.version, [], 0.0
    )
    served.is_replay = True
    return served
