"""Claims idempotency keys so that a request with a key runs at most once."""

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
    ExistingClaim,
    Replay,
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
FINAL_WRITE_WAIT_MS = 500
MAX_ANSWER_BYTES = 256 * 1024
MAX_PENDING_FINAL_WRITES = 10_000
MAX_PENDING_ANSWER_BYTES = 16 * 1024 * 1024
NO_DEADLINE_MS = float("inf")
CLAIM_PREFIX = "claims/"


class ClaimKeeper:
    """Claims keys and writes the final state (done or not run) of claims.

    A final state that can't be written at once is retried in the background for as long
    as the process runs. A claim that could not be confirmed is also written as not run,
    so that a write that is applied late does not block its key. Beyond
    `MAX_PENDING_FINAL_WRITES` final states are dropped and logged.
    """

    __slots__ = (
        "_table",
        "_clock",
        "_committer",
        "_final_writes",
        "_pending_answer_bytes",
    )

    def __init__(self, table, clock, random):
        self._table = table
        self._clock = clock
        self._committer = GroupCommitter(table, clock, random)
        self._final_writes = set()
        self._pending_answer_bytes = 0

    @property
    def pending_final_writes(self):
        """Return the number of final states that are not yet written."""
        return len(self._final_writes)

    async def run(self):
        """Commit submitted writes until cancelled."""
        await self._committer.run()

    async def drain(self):
        """Return once every pending final state is written."""
        while self._final_writes:
            await asyncio.wait([write.result for write in self._final_writes])

    async def claim(self, request):
        """Return `Acquired`, `Replay` or a failure.

        The request may be sent only after `Acquired`.
        """
        row_version = 0
        result = await self._try_claim(request, row_version)
        if isinstance(result, ExistingClaim) and _may_claim_again(
            request, result.claim
        ):
            row_version = result.row_version
            result = await self._try_claim(request, row_version)
        if is_failure(result):
            self._submit_final_state(
                request, self._build_claim(request, NOT_RUN), row_version
            )
        return _evaluate_claim(request, result)

    async def look_up(self, request):
        """Return the state of a key without claiming it.

        None means that a request with the key may run; otherwise returns `Replay` or a
        failure.
        """
        key = _row_key(request)
        rows = await self._table.read([key])
        if is_failure(rows):
            return rows
        if rows[key].version == 0:
            return None
        existing = Claim.from_json(rows[key].value)
        if _may_claim_again(request, existing):
            return None
        return _evaluate_claim(request, ExistingClaim(existing, rows[key].version))

    async def complete(self, request, acquired, answer):
        """Mark a claimed request as done and store its answer.

        The answer is left out if it is too large or too many bytes are pending.

        Waits up to `FINAL_WRITE_WAIT_MS` for the write; then it is retried in the
        background.
        """
        if len(answer.body) > MAX_ANSWER_BYTES or self._is_answer_limit_reached():
            answer = None
        claim = self._build_claim(request, DONE, answer)
        await self._wait_for_write(
            self._submit_final_state(request, claim, acquired.row_version)
        )

    async def release(self, request, acquired):
        """Mark a claimed request as not run, so that a retry with its key may run.

        Waits as `complete` does.
        """
        claim = self._build_claim(request, NOT_RUN)
        await self._wait_for_write(
            self._submit_final_state(request, claim, acquired.row_version)
        )

    async def _try_claim(self, request, row_version):
        deadline_ms = self._clock.now_ms() + CLAIM_TIMEOUT_MS
        write = ClaimWrite(
            _row_key(request),
            self._build_claim(request, CLAIMED),
            row_version,
            min(request.deadline_ms, deadline_ms),
            False,
        )
        self._committer.submit(write)
        return await write.result

    def _submit_final_state(self, request, claim, row_version):
        if len(self._final_writes) >= MAX_PENDING_FINAL_WRITES:
            logger.error(
                "claims.mark-dropped", extra={"request_id": request.request_id}
            )
            return None
        write = ClaimWrite(_row_key(request), claim, row_version, NO_DEADLINE_MS, True)
        self._final_writes.add(write)
        self._pending_answer_bytes += _answer_bytes(claim)
        write.result.add_done_callback(lambda _: self._remove_final_write(write))
        self._committer.submit(write)
        return write

    def _remove_final_write(self, write):
        self._final_writes.discard(write)
        self._pending_answer_bytes -= _answer_bytes(write.claim)

    async def _wait_for_write(self, write):
        if write is not None:
            await asyncio.wait([write.result], timeout=FINAL_WRITE_WAIT_MS / 1000)

    def _is_answer_limit_reached(self):
        return self._pending_answer_bytes >= MAX_PENDING_ANSWER_BYTES

    def _build_claim(self, request, state, answer=None):
        return Claim(
            request.request_id,
            request.body_digest,
            state,
            self._clock.wall_ms(),
            answer,
        )


def claim_row_key(organisation, idempotency_key):
    """Return the key of a claim's row in the table."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{organisation}/{digest}"


def _row_key(request):
    return claim_row_key(request.organisation.name, request.idempotency_key)


def _answer_bytes(claim):
    return 0 if claim.answer is None else len(claim.answer.body)


def _may_claim_again(request, claim):
    return claim.state == NOT_RUN and claim.body_digest == request.body_digest


def _evaluate_claim(request, result):
    if is_failure(result):
        detail = (
            "this attempt was not sent; an earlier one with the same key may have run"
        )
        return Failure(result.reason, detail, Outcome.UNKNOWN)
    if not isinstance(result, ExistingClaim):
        return Acquired(result)
    claim = result.claim
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
