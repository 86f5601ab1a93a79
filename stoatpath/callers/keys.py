"""Runs requests that continue without their caller, with idempotency keys or not."""

import asyncio

from stoatpath.callers.messages import ServedResult
from stoatpath.idempotency.messages import Acquired, Replay, StoredAnswer
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.utils import cancel_and_wait


class KeyedRunner:
    """Claims an idempotency key, runs the request once, and stores its answer.

    Each request runs in a separate task, which continues when the caller
    disconnects. A failure that did not run is returned at once, and its claim is
    released in the background. Requests without a key use `run_once_sent` only.
    `router` provides the claims; `serve_once` runs a request.
    """

    __slots__ = ("_router", "_clock", "_serve_once", "_tasks")

    def __init__(self, router, serve_once):
        self._router = router
        self._clock = router.clock
        self._serve_once = serve_once
        self._tasks = set()

    async def run(self, request, stream):
        """Return a `ServedResult` or a failure."""
        return await self.run_shielded(self._run(request, stream))

    async def run_shielded(self, work):
        """Return the result of a coroutine; it continues if its caller is cancelled."""
        return await asyncio.shield(self._spawn(work))

    async def run_once_sent(self, request, work):
        """Return the result of a coroutine that serves a request at most once.

        If its caller is cancelled, it continues only if the request has been sent, and
        sends nothing more.
        """
        task = self._spawn(work)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            request.has_caller_left = True
            if not request.was_sent:
                task.cancel()
            raise

    async def resolve_refusal(self, request, refusal):
        """Return the answer of a request that is refused before it claims its key.

        The key is looked up, since an earlier attempt may have run: the outcome is
        `not-run` only if the claim table shows no claim of the key, or one that has not
        run.
        """
        remaining_s = max(0.0, request.deadline_ms - self._clock.now_ms()) / 1000
        try:
            async with asyncio.timeout(remaining_s):
                verdict = await self._router.claims.look_up(request)
        except TimeoutError:
            verdict = _with_unknown_outcome(refusal)
        if verdict is None:
            return refusal
        if isinstance(verdict, Replay):
            return _build_replay(verdict.answer)
        if verdict.reason is PLATFORM_UNAVAILABLE:
            return _with_unknown_outcome(refusal)
        return verdict

    async def drain(self):
        """Return when all requests, claims and releases have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def abort(self):
        """Cancel all of them at once, as a crash would."""
        await cancel_and_wait(list(self._tasks))

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, request, stream):
        verdict = await self._claim(request)
        if isinstance(verdict, Replay):
            return _build_replay(verdict.answer)
        if is_failure(verdict):
            return verdict
        result = await self._serve_once(request, stream)
        if not is_failure(result):
            answer = _build_stored_answer(request, result)
            await self._router.claims.complete(request, verdict, answer)
        elif result.outcome is Outcome.NOT_RUN:
            self._spawn(self._router.claims.release(request, verdict))
        return result

    async def _claim(self, request):
        """Return the verdict on a key, or a failure at the deadline of the request."""
        claim = self._spawn(self._router.claims.claim(request))
        remaining_s = max(0.0, request.deadline_ms - self._clock.now_ms()) / 1000
        await asyncio.wait({claim}, timeout=remaining_s)
        if claim.done():
            return claim.result()
        self._spawn(self._release_late_claim(request, claim))
        detail = "the claim of the key was not confirmed in time"
        return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)

    async def _release_late_claim(self, request, claim):
        """Release a claim that is acquired after its request was answered."""
        verdict = await claim
        if isinstance(verdict, Acquired):
            await self._router.claims.release(request, verdict)


def _with_unknown_outcome(refusal):
    detail = f"{refusal.detail}; an earlier attempt with the key may have run"
    return Failure(
        refusal.reason, detail, Outcome.UNKNOWN, retry_at_ms=refusal.retry_at_ms
    )


def _build_stored_answer(request, served):
    return StoredAnswer(
        served.status,
        served.content_type,
        served.body,
        served.version,
        request.request_id,
    )


def _build_replay(answer):
    served = ServedResult(
        answer.status, answer.content_type, answer.body, answer.version, [], 0.0
    )
    served.is_replay = True
    return served
