"""Claims idempotency keys in the platform's table, many in one transaction."""

import asyncio
import hashlib

from stoatpath.idempotency.messages import (
    CLAIMED,
    DONE,
    NOT_RUN,
    Claim,
    Replay,
    Won,
)
from stoatpath.outcomes import (
    IN_PROGRESS,
    KEY_REUSED,
    PLATFORM_UNAVAILABLE,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.platform.messages import Applied, Condition, Put, Rejected, Transaction

MAX_BATCH = 50
WRITE_ATTEMPTS = 4
CLAIM_PREFIX = "claims/"


class _Write:
    """One wanted change of a claim row, waiting for its group commit."""

    __slots__ = ("key", "claim", "version", "settled")

    def __init__(self, key, claim, version, settled):
        self.key = key
        self.claim = claim
        self.version = version
        self.settled = settled


class ClaimKeeper:
    """The task that owns all claims written by this process.

    A write settles with True, the claim that stands instead, or a failure.
    """

    __slots__ = ("_table", "_inbox")

    def __init__(self, table):
        self._table = table
        self._inbox = asyncio.Queue()

    async def run(self):
        """Commit writes in groups until cancelled."""
        while True:
            batch = [await self._inbox.get()]
            while len(batch) < MAX_BATCH and not self._inbox.empty():
                batch.append(self._inbox.get_nowait())
            await self._commit(_first_of_each_key(batch, self._inbox))

    async def claim(self, request):
        """Return `Won`, `Replay` or a failure; only `Won` may be sent."""
        key = claim_key(request.organisation.name, request.idempotency_key)
        fresh = Claim(request.request_id, request.body_digest, CLAIMED)
        verdict = await self._write(key, fresh, 0)
        if isinstance(verdict, _Standing) and verdict.claim.state == NOT_RUN:
            if verdict.claim.body_digest == request.body_digest:
                verdict = await self._write(key, fresh, verdict.version)
        return _judge(request, verdict)

    async def look_up(self, request):
        """Return what is known of a key without claiming it.

        None says that no attempt with the key was sent; else `Replay` or a failure.
        """
        key = claim_key(request.organisation.name, request.idempotency_key)
        rows = await self._table.read([key])
        if is_failure(rows):
            return rows
        if rows[key].version == 0:
            return None
        standing = Claim.from_json(rows[key].value)
        if standing.state == NOT_RUN and standing.body_digest == request.body_digest:
            return None
        return _judge(request, _Standing(standing, rows[key].version))

    async def finish(self, request, answer):
        """Store the answer of a claimed request; return True or a failure."""
        claim = Claim(request.request_id, request.body_digest, DONE, answer)
        return await self._replace(request, claim)

    async def release(self, request):
        """Mark a claimed request as not run, so that a retry may run."""
        claim = Claim(request.request_id, request.body_digest, NOT_RUN)
        return await self._replace(request, claim)

    async def _replace(self, request, claim):
        key = claim_key(request.organisation.name, request.idempotency_key)
        rows = await self._table.read([key])
        if is_failure(rows):
            return rows
        if rows[key].version == 0:
            return _lost_claim()
        standing = Claim.from_json(rows[key].value)
        if standing.attempt_id != request.request_id:
            return _lost_claim()
        return await self._write(key, claim, rows[key].version)

    async def _write(self, key, claim, version):
        settled = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(_Write(key, claim, version, settled))
        return await settled

    async def _commit(self, batch):
        for _ in range(WRITE_ATTEMPTS):
            result = await self._table.transact(_transaction(batch))
            if is_failure(result) and result.outcome is Outcome.UNKNOWN:
                result = await self._read_back(batch)
            if isinstance(result, Applied):
                _settle(batch, True)
                return
            if isinstance(result, Rejected):
                batch = _drop_standing(batch, result.by_key)
                if not batch:
                    return
        _settle(batch, Failure(PLATFORM_UNAVAILABLE, "the table is out of reach"))

    async def _read_back(self, batch):
        rows = await self._table.read([write.key for write in batch])
        return rows if is_failure(rows) else Rejected(rows)


class _Standing:
    """A claim that stands where another was wanted, with its row version."""

    __slots__ = ("claim", "version")

    def __init__(self, claim, version):
        self.claim = claim
        self.version = version


def claim_key(organisation, idempotency_key):
    """Return the row key of a claim."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{organisation}/{digest}"


def _transaction(batch):
    conditions = [Condition(write.key, write.version) for write in batch]
    puts = [Put(write.key, write.claim.to_json()) for write in batch]
    return Transaction(conditions, puts)


def _first_of_each_key(batch, inbox):
    """Return the first write of each key and put the others back."""
    by_key = {}
    for write in batch:
        if write.key in by_key:
            inbox.put_nowait(write)
        else:
            by_key[write.key] = write
    return list(by_key.values())


def _settle(batch, verdict):
    for write in batch:
        if not write.settled.done():
            write.settled.set_result(verdict)


def _drop_standing(batch, rows_by_key):
    """Settle the writes whose rows stand otherwise; return the rest."""
    rest = []
    for write in batch:
        row = rows_by_key[write.key]
        if row.version == write.version:
            rest.append(write)
            continue
        standing = Claim.from_json(row.value)
        mine = write.claim
        if (standing.attempt_id, standing.state) == (mine.attempt_id, mine.state):
            _settle([write], True)
        else:
            _settle([write], _Standing(standing, row.version))
    return rest


def _judge(request, verdict):
    if verdict is True:
        return Won()
    if is_failure(verdict):
        detail = (
            "this attempt was not sent; an earlier one with the same key may have run"
        )
        return Failure(verdict.reason, detail, Outcome.UNKNOWN)
    claim = verdict.claim
    if claim.body_digest != request.body_digest:
        detail = "the key was used with another request"
        return Failure(KEY_REUSED, detail, field="Idempotency-Key")
    if claim.state == DONE:
        return Replay(claim.answer)
    detail = "an attempt with the same key is running or its end is not known"
    return Failure(IN_PROGRESS, detail, Outcome.UNKNOWN)


def _lost_claim():
    return Failure(PLATFORM_UNAVAILABLE, "the claim is not ours", Outcome.UNKNOWN)
