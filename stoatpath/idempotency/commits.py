"""Group-commits changes of claim rows to the platform's table."""

import asyncio
import logging

from stoatpath.idempotency.messages import CLAIMED, Claim, ExistingClaim
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, is_failure
from stoatpath.services.messages import Applied, Condition, Put, Rejected, Transaction

logger = logging.getLogger(__name__)

MAX_BATCH_ROWS = 500
BACKOFF_BASE_MS = 10.0
BACKOFF_CAP_MS = 500.0


class ClaimWrite:
    """One pending change of a claim row.

    `row_version` is the version that the stored row must have, 0 if there is none.
    `result` resolves to the new row version, an `ExistingClaim`, or a failure. A write
    with `is_final` holds the final state of an attempt: it may replace the `claimed`
    state of the same attempt and has no deadline.
    """

    __slots__ = ("key", "claim", "row_version", "deadline_ms", "is_final", "result")

    def __init__(self, key, claim, row_version, deadline_ms, is_final):
        self.key = key
        self.claim = claim
        self.row_version = row_version
        self.deadline_ms = deadline_ms
        self.is_final = is_final
        self.result = asyncio.get_running_loop().create_future()

    def resolve(self, result):
        """Set the result, unless it is set or its future was cancelled."""
        if not self.result.done():
            self.result.set_result(result)

    def reconcile(self, row):
        """Compare the write with the stored row; resolve it unless it is to be retried.

        It is retried if the row is unchanged or absent, or if a final state finds the
        `claimed` state of its own attempt. Return whether it is to be retried.
        """
        if row.version == self.row_version:
            return True
        if row.version == 0:
            self.row_version = 0
            return True
        existing = Claim.from_json(row.value)
        if existing.is_same_state(self.claim):
            self.resolve(row.version)
            return False
        is_same_attempt = existing.attempt_id == self.claim.attempt_id
        if self.is_final and is_same_attempt and existing.state == CLAIMED:
            self.row_version = row.version
            return True
        self.resolve(ExistingClaim(existing, row.version))
        return False


class GroupCommitter:
    """Commits all claim writes of this process, many in one transaction."""

    __slots__ = (
        "_table",
        "_clock",
        "_random",
        "_pending",
        "_has_pending",
        "_failure_count",
    )

    def __init__(self, table, clock, random):
        self._table = table
        self._clock = clock
        self._random = random
        self._pending = []
        self._has_pending = asyncio.Event()
        self._failure_count = 0

    @property
    def pending(self):
        """Return the number of unresolved writes."""
        return len(self._pending)

    def submit(self, write):
        """Queue a write; its `result` is to be awaited."""
        self._pending.append(write)
        self._has_pending.set()

    async def run(self):
        """Commit writes in groups until cancelled."""
        while True:
            await self._has_pending.wait()
            await self._commit(self._next_batch())
            self._pending = [
                write for write in self._pending if not write.result.done()
            ]
            if not self._pending:
                self._has_pending.clear()

    def _next_batch(self):
        """Return the first write of each key, new claims before final states."""
        writes_by_key = {}
        now_ms = self._clock.now_ms()
        for write in sorted(self._pending, key=lambda write: write.is_final):
            if write.deadline_ms <= now_ms:
                detail = "the table did not answer in time"
                write.resolve(Failure(PLATFORM_UNAVAILABLE, detail))
            elif not write.result.done() and len(writes_by_key) < MAX_BATCH_ROWS:
                writes_by_key.setdefault(write.key, write)
        return list(writes_by_key.values())

    async def _commit(self, batch):
        if not batch:
            return
        result = await self._table.transact(_transaction(batch))
        if isinstance(result, Applied):
            result = await self._verify(batch)
        if isinstance(result, Rejected):
            self._failure_count = 0
            for write in batch:
                write.reconcile(result.rows_by_key[write.key])
        elif is_failure(result):
            await self._back_off(result)

    async def _verify(self, batch):
        """Resolve applied final states, and new claims after reading them back.

        A response does not prove that a row was stored. Only a new claim allows a
        request to run; a lost final state merely leaves its outcome unknown. The table
        raises a row version by 1 with each write.
        """
        claims = [write for write in batch if write.claim.state == CLAIMED]
        for write in batch:
            if write.claim.state != CLAIMED:
                write.resolve(write.row_version + 1)
        self._failure_count = 0
        if not claims:
            return None
        rows = await self._table.read([write.key for write in claims])
        if is_failure(rows):
            return rows
        for write in claims:
            write.reconcile(rows[write.key])
        return None

    async def _back_off(self, failure):
        self._failure_count += 1
        max_wait_ms = min(
            BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** min(self._failure_count, 10)
        )
        wait_ms = self._random.uniform(max_wait_ms / 2, max_wait_ms)
        if self._failure_count == 1:
            logger.warning("claims.commit-failed", extra={"why": failure.detail})
        await self._clock.sleep_until(self._clock.now_ms() + wait_ms)


def _transaction(batch):
    conditions = [Condition(write.key, write.row_version) for write in batch]
    puts = [Put(write.key, write.claim.to_json()) for write in batch]
    return Transaction(conditions, puts)
