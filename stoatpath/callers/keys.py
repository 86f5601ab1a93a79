"""Serves requests that carry an idempotency key."""

import asyncio

from stoatpath.callers.messages import ServedResult
from stoatpath.idempotency.messages import Acquired, Replay, StoredAnswer
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.utils import cancel_and_wait


class KeyedRunner:
    """Claims the key, runs the request once, and stores its answer.

    The work is a task of its own: it goes on when the caller leaves. A refusal
    is given to the caller at once; its claim is released behind it.
    `router` is the router that holds the slices; `serve_once` runs a request.
    """

    __slots__ = ("_router", "_clock", "_serve_once", "_tasks")

    def __init__(self, router, serve_once):
        self._router = router
        self._clock = router.clock
        self._serve_once = serve_once
        self._tasks = set()

    async def run(self, request, stream):
        """Return `ServedResult` or a failure."""
        return await self.run_to_end(self._run(request, stream))

    async def run_to_end(self, work):
        """Return the result of a coroutine that goes on when its caller leaves."""
        return await asyncio.shield(self._spawn(work))

    async def refuse(self, request, refusal):
        """Return the answer of a request that is refused before its claim.

        The key is looked up, since an earlier attempt may have run; `not-run` is
        said only when the table shows that none was sent.
        """
        remaining_s = max(0.0, request.deadline_ms - self._clock.now_ms()) / 1000
        try:
            async with asyncio.timeout(remaining_s):
                verdict = await self._router.claims.look_up(request)
        except TimeoutError:
            verdict = _unsure(refusal)
        if verdict is None:
            return refusal
        if isinstance(verdict, Replay):
            return _replay(verdict.answer)
        if verdict.reason is PLATFORM_UNAVAILABLE:
            return _unsure(refusal)
        return verdict

    async def drain(self):
        """Return once every task has ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def abort(self):
        """End every task at once, as a crash would."""
        await cancel_and_wait(list(self._tasks))

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, request, stream):
        verdict = await self._claim(request)
        if isinstance(verdict, Replay):
            return _replay(verdict.answer)
        if is_failure(verdict):
            return verdict
        result = await self._serve_once(request, stream)
        if not is_failure(result):
            answer = _to_store(request, result)
            await self._router.claims.complete(request, verdict, answer)
        elif result.outcome is Outcome.NOT_RUN:
            self._spawn(self._router.claims.release(request, verdict))
        return result

    async def _claim(self, request):
        """Return the verdict on a key, by the deadline of its request."""
        claim = self._spawn(self._router.claims.claim(request))
        remaining_s = max(0.0, request.deadline_ms - self._clock.now_ms()) / 1000
        await asyncio.wait({claim}, timeout=remaining_s)
        if claim.done():
            return claim.result()
        self._spawn(self._give_up(request, claim))
        detail = "the claim of the key was not confirmed in time"
        return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)

    async def _give_up(self, request, claim):
        """Release a claim that is won after its request was answered."""
        verdict = await claim
        if isinstance(verdict, Acquired):
            await self._router.claims.release(request, verdict)


def _unsure(refusal):
    detail = f"{refusal.detail}; an earlier attempt with the key may have run"
    return Failure(
        refusal.reason, detail, Outcome.UNKNOWN, retry_at_ms=refusal.retry_at_ms
    )


def _to_store(request, served):
    return StoredAnswer(
        served.status,
        served.content_type,
        served.body,
        served.version,
        request.request_id,
    )


def _replay(answer):
    served = ServedResult(
        answer.status, answer.content_type, answer.body, answer.version, [], 0.0
    )
    served.is_replay = True
    return served
