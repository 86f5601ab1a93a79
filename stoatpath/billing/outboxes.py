"""Makes billing records durable, then writes them to the ledger in large batches."""

import asyncio
import logging

from stoatpath.billing.messages import Batch
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome

logger = logging.getLogger(__name__)

MAX_BATCH_RECORDS = 500
MAX_WRITE_RECORDS = 5_000
MAX_UNWRITTEN_RECORDS = 50_000
MAX_PENDING_AGE_MS = 3_000
RETRY_BASE_MS = 100
RETRY_CAP_MS = 2_000
TIMER_PERIOD_MS = 50
FLUSH_POLL_S = 0.01


class _PendingRecord:
    """A record that is not yet durable, and its deadline.

    The future `durable` resolves to whether the record became durable in time.
    """

    __slots__ = ("record", "arrived_ms", "deadline_ms", "durable")

    def __init__(self, record, arrived_ms, deadline_ms):
        self.record = record
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.durable = asyncio.get_running_loop().create_future()

    def resolve(self, is_durable):
        """Resolve the future, unless it is resolved or was cancelled."""
        if not self.durable.done():
            self.durable.set_result(is_durable)


class Outbox:
    """Holds the records of this process until they are in the ledger.

    A record is durable once a peer in another availability zone holds it or the ledger
    does. New records are collected into immutable batches; `_unwritten` holds the
    batches that are not in the ledger, by sequence number. `period_ms` is the time
    between writes to the ledger, which are made earlier if there are many records, a
    copy fails or the peer changes.
    """

    __slots__ = (
        "_writer",
        "_mirror",
        "_source",
        "_clock",
        "_period_ms",
        "_sequence",
        "_unbatched",
        "_pending_by_sequence",
        "_unwritten",
        "_unwritten_count",
        "_arrived",
        "_write_requested",
        "_next_write_ms",
        "_retry_at_ms",
        "_write_attempt_count",
        "_consecutive_failures",
        "_last_copy_failed",
    )

    def __init__(self, writer, mirror, source, clock, period_ms):
        self._writer = writer
        self._mirror = mirror
        self._source = source
        self._clock = clock
        self._period_ms = period_ms
        self._sequence = 0
        self._unbatched = []
        self._pending_by_sequence = {}
        self._unwritten = {}
        self._unwritten_count = 0
        self._arrived = asyncio.Event()
        self._write_requested = asyncio.Event()
        self._next_write_ms = 0.0
        self._retry_at_ms = 0.0
        self._write_attempt_count = 0
        self._consecutive_failures = 0
        self._last_copy_failed = False

    def unwritten_count(self):
        """Return the number of records that are not in the ledger."""
        return self._unwritten_count

    def check_backlog(self):
        """Return None if new requests can be billed, or a failure.

        Refuses while too many records are unwritten, or the oldest one that is not
        durable is older than `MAX_PENDING_AGE_MS`.
        """
        is_copying_stalled = (
            self._oldest_pending_ms() + MAX_PENDING_AGE_MS < self._clock.now_ms()
        )
        if self._unwritten_count < MAX_UNWRITTEN_RECORDS and not is_copying_stalled:
            return None
        return Failure(PLATFORM_UNAVAILABLE, "billing records can't be secured now")

    async def store_record(self, record, deadline_ms=float("inf")):
        """Return None once a record is durable, or a failure at the deadline.

        Either way the record stays in the outbox until it is in the ledger.
        """
        pending = _PendingRecord(record.to_json(), self._clock.now_ms(), deadline_ms)
        self._unbatched.append(pending)
        self._unwritten_count += 1
        self._arrived.set()
        if await pending.durable:
            return None
        detail = "the request ran; its bill could not be secured in time"
        return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)

    async def run(self):
        """Copy and write records until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_copies())
            tasks.create_task(self._run_writes())
            tasks.create_task(self._run_timer())

    async def flush(self):
        """Write all records to the ledger at once, for shutdown.

        Also returns if writes fail and every record is durable.
        """
        attempts_before = self._write_attempt_count
        while self._unwritten_count:
            is_all_durable = not self._unbatched and not self._pending_by_sequence
            if (
                self._write_attempt_count > attempts_before
                and self._consecutive_failures
                and is_all_durable
            ):
                return
            self._write_requested.set()
            await asyncio.sleep(FLUSH_POLL_S)

    async def _run_copies(self):
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            while self._unbatched:
                await self._copy(self._build_batch())

    def _build_batch(self):
        pending_records = self._unbatched[:MAX_BATCH_RECORDS]
        del self._unbatched[: len(pending_records)]
        self._sequence += 1
        batch = Batch(self._sequence, [pending.record for pending in pending_records])
        self._unwritten[batch.sequence] = batch
        self._pending_by_sequence[batch.sequence] = pending_records
        return batch

    async def _copy(self, batch):
        failure = await self._mirror.copy(
            [batch], self._unwritten.values(), self._lowest_unwritten()
        )
        self._last_copy_failed = failure is not None
        if failure is None:
            # The peer holds all earlier batches too: a new peer is sent every one.
            self._mark_durable(list(self._pending_by_sequence))
        else:
            self._write_requested.set()

    async def _run_timer(self):
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + TIMER_PERIOD_MS)
            now_ms = self._clock.now_ms()
            for pending in self._pending():
                if pending.deadline_ms <= now_ms:
                    pending.resolve(False)
            is_due = now_ms >= self._next_write_ms or self._mirror.needs_new_peer()
            if self._unwritten and (
                is_due or self._unwritten_count >= MAX_WRITE_RECORDS
            ):
                self._write_requested.set()

    async def _run_writes(self):
        self._next_write_ms = self._clock.now_ms() + self._period_ms
        while True:
            await self._write_requested.wait()
            await self._clock.sleep_until(self._retry_at_ms)
            self._write_requested.clear()
            if self._unwritten:
                await self._write()

    async def _write(self):
        batches = self._next_batches()
        failure = await self._writer.write(self._source, batches)
        self._write_attempt_count += 1
        now_ms = self._clock.now_ms()
        if failure is not None:
            self._record_failure(failure, now_ms)
            return
        self._consecutive_failures = 0
        self._next_write_ms = now_ms + self._period_ms
        self._mark_durable([batch.sequence for batch in batches])
        for batch in batches:
            del self._unwritten[batch.sequence]
            self._unwritten_count -= len(batch.records)
        if self._last_copy_failed and self._pending_by_sequence:
            self._write_requested.set()
        await self._mirror.send_lowest_unwritten(self._lowest_unwritten())

    def _record_failure(self, failure, now_ms):
        if self._consecutive_failures == 0:
            logger.warning("billing.write-failed", extra={"why": failure.detail})
        wait_ms = min(
            RETRY_CAP_MS, RETRY_BASE_MS * 2 ** min(self._consecutive_failures, 10)
        )
        self._consecutive_failures += 1
        self._retry_at_ms = now_ms + wait_ms
        self._write_requested.set()

    def _next_batches(self):
        chosen = []
        record_count = 0
        for batch in self._unwritten.values():
            if chosen and record_count + len(batch.records) > MAX_WRITE_RECORDS:
                break
            chosen.append(batch)
            record_count += len(batch.records)
        return chosen

    def _lowest_unwritten(self):
        return next(iter(self._unwritten), self._sequence + 1)

    def _mark_durable(self, sequences):
        for sequence in sequences:
            for pending in self._pending_by_sequence.pop(sequence, ()):
                pending.resolve(True)

    def _pending(self):
        for pending_records in self._pending_by_sequence.values():
            yield from pending_records
        yield from self._unbatched

    def _oldest_pending_ms(self):
        pending = next(self._pending(), None)
        return float("inf") if pending is None else pending.arrived_ms
