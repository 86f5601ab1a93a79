"""Claims idempotency keys, so that a request with a key runs at most once."""

import asyncio
import hashlib
import logging

from stoatpath.idempotency.commits import ClaimWrite, GroupCommitter
from stoatpath.idempotency.messages import (
    CLAIMED,
    DONE,
    NOT_RUN,
    Acquired,
    Claim,
    Replay,
    Standing,
)
from stoatpath.outcomes import (
    ANSWER_NOT_KEPT,
    IN_PROGRESS,
    KEY_REUSED,
    Failure,
    Outcome,
    is_failure,
)

logger = logging.getLogger(__name__)

CLAIM_TIMEOUT_MS = 5_000
MARK_PATIENCE_MS = 500
MAX_ANSWER_BYTES = 256 * 1024
MAX_PENDING_MARKS = 10_000
MAX_PENDING_ANSWER_BYTES = 16 * 1024 * 1024
NEVER_MS = float("inf")
CLAIM_PREFIX = "claims/"


class ClaimManager:
    """Claims keys and marks how claimed requests ended.

    A mark that can't be written at once is written in the background for as long
    as the process lives. A claim that could not be confirmed gets such a mark too,
    so that a write that lands late does not block its key.
    """

    __slots__ = ("_table", "_clock", "_committer", "_marks", "_answer_bytes")

    def __init__(self, table, clock, random):
        self._table = table
        self._clock = clock
        self._committer = GroupCommitter(table, clock, random)
        self._marks = set()
        self._answer_bytes = 0

    @property
    def pending_marks(self):
        """Return the number of marks that are not yet written."""
        return len(self._marks)

    async def run(self):
        """Commit writes until cancelled."""
        await self._committer.run()

    async def drain(self):
        """Return once every mark is written."""
        while self._marks:
            await asyncio.wait([mark.settled for mark in self._marks])

    async def claim(self, request):
        """Return `Won`, `Replay` or a failure; only `Won` may be sent."""
        version = 0
        verdict = await self._try_claim(request, version)
        if isinstance(verdict, Standing) and _may_claim_again(request, verdict.claim):
            version = verdict.version
            verdict = await self._try_claim(request, version)
        if is_failure(verdict):
            self._mark(request, self._build(request, NOT_RUN), version)
        return _judge(request, verdict)

    async def look_up(self, request):
        """Return what is known of a key without claiming it.

        None says that no attempt with the key was sent; else `Replay` or a failure.
        """
        key = _key_of(request)
        rows = await self._table.read([key])
        if is_failure(rows):
            return rows
        if rows[key].version == 0:
            return None
        standing = Claim.from_json(rows[key].value)
        if _may_claim_again(request, standing):
            return None
        return _judge(request, Standing(standing, rows[key].version))

    async def complete(self, request, won, answer):
        """Store the answer of a claimed request, now or in the background."""
        if len(answer.body) > MAX_ANSWER_BYTES or self._is_full_of_answers():
            answer = None
        claim = self._build(request, DONE, answer)
        await self._wait_a_little(self._mark(request, claim, won.version))

    async def release(self, request, won):
        """Mark a claimed request as not run, so that a retry may run."""
        claim = self._build(request, NOT_RUN)
        await self._wait_a_little(self._mark(request, claim, won.version))

    async def _try_claim(self, request, version):
        deadline_ms = self._clock.now_ms() + CLAIM_TIMEOUT_MS
        write = ClaimWrite(
            _key_of(request),
            self._build(request, CLAIMED),
            version,
            min(request.deadline_ms, deadline_ms),
            False,
        )
        self._committer.submit(write)
        return await write.settled

    def _mark(self, request, claim, version):
        if len(self._marks) >= MAX_PENDING_MARKS:
            logger.error(
                "claims.mark-dropped", extra={"request_id": request.request_id}
            )
            return None
        mark = ClaimWrite(_key_of(request), claim, version, NEVER_MS, True)
        self._marks.add(mark)
        self._answer_bytes += _answer_bytes(claim)
        mark.settled.add_done_callback(lambda _: self._forget(mark))
        self._committer.submit(mark)
        return mark

    def _forget(self, mark):
        self._marks.discard(mark)
        self._answer_bytes -= _answer_bytes(mark.claim)

    async def _wait_a_little(self, mark):
        if mark is not None:
            await asyncio.wait([mark.settled], timeout=MARK_PATIENCE_MS / 1000)

    def _is_full_of_answers(self):
        return self._answer_bytes >= MAX_PENDING_ANSWER_BYTES

    def _build(self, request, state, answer=None):
        return Claim(
            request.request_id,
            request.body_digest,
            state,
            self._clock.wall_ms(),
            answer,
        )


def claim_key(organisation, idempotency_key):
    """Return the row key of a claim."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{organisation}/{digest}"


def _key_of(request):
    return claim_key(request.organisation.name, request.idempotency_key)


def _answer_bytes(claim):
    return 0 if claim.answer is None else len(claim.answer.body)


def _may_claim_again(request, claim):
    return claim.state == NOT_RUN and claim.body_digest == request.body_digest


def _judge(request, verdict):
    if is_failure(verdict):
        detail = (
            "this attempt was not sent; an earlier one with the same key may have run"
        )
        return Failure(verdict.reason, detail, Outcome.UNKNOWN)
    if not isinstance(verdict, Standing):
        return Acquired(verdict)
    claim = verdict.claim
    if claim.body_digest != request.body_digest:
        detail = "the key was used with another request"
        return Failure(KEY_REUSED, detail, field="Idempotency-Key")
    if claim.state != DONE:
        detail = "an attempt with the same key is running or its end is not known"
        return Failure(IN_PROGRESS, detail, Outcome.UNKNOWN)
    if claim.answer is None:
        detail = "the request was completed; its answer is not kept"
        return Failure(ANSWER_NOT_KEPT, detail, Outcome.COMPLETED)
    return Replay(claim.answer)
