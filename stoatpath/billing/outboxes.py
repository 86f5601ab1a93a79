"""Makes billing records safe, then writes them to the ledger in large batches."""

import asyncio
import logging

from stoatpath.billing.messages import Batch
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome

logger = logging.getLogger(__name__)

MAX_BATCH_RECORDS = 500
MAX_FLUSH_RECORDS = 5_000
MAX_UNWRITTEN_RECORDS = 50_000
STALLED_AFTER_MS = 3_000
RETRY_BASE_MS = 100
RETRY_CAP_MS = 2_000
TICK_MS = 50
FLUSH_POLL_S = 0.01


class _Entry:
    """A record, its deadline, and the future that says whether it is safe."""

    __slots__ = ("record", "arrived_ms", "deadline_ms", "safe")

    def __init__(self, record, arrived_ms, deadline_ms):
        self.record = record
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.safe = asyncio.get_running_loop().create_future()

    def settle(self, is_safe):
        """Tell the waiter, unless it has left."""
        if not self.safe.done():
            self.safe.set_result(is_safe)


class Outbox:
    """The task that owns the records of this process until they are written.

    A record is safe once a peer in another zone holds it or the ledger does. Sealed
    batches never change; they wait in `_unwritten` by their sequence.
    """

    __slots__ = (
        "_writer",
        "_mirror",
        "_source",
        "_clock",
        "_period_ms",
        "_sequence",
        "_open",
        "_entries_by_sequence",
        "_unwritten",
        "_count",
        "_arrived",
        "_wake",
        "_flush_at_ms",
        "_not_before_ms",
        "_flushes",
        "_failures",
        "_has_no_copies",
    )

    def __init__(self, writer, mirror, source, clock, period_ms):
        self._writer = writer
        self._mirror = mirror
        self._source = source
        self._clock = clock
        self._period_ms = period_ms
        self._sequence = 0
        self._open = []
        self._entries_by_sequence = {}
        self._unwritten = {}
        self._count = 0
        self._arrived = asyncio.Event()
        self._wake = asyncio.Event()
        self._flush_at_ms = 0.0
        self._not_before_ms = 0.0
        self._flushes = 0
        self._failures = 0
        self._has_no_copies = False

    def unwritten_count(self):
        """Return how many records wait to be written."""
        return self._count

    def check_backlog(self):
        """Return None when new work can be billed, or a failure."""
        is_stalled = self._oldest_unsafe_ms() + STALLED_AFTER_MS < self._clock.now_ms()
        if self._count < MAX_UNWRITTEN_RECORDS and not is_stalled:
            return None
        return Failure(PLATFORM_UNAVAILABLE, "billing records can't be secured now")

    async def store_record(self, record, deadline_ms=float("inf")):
        """Return None once a record is safe, or a failure at the deadline.

        The record stays in the outbox either way and is written once.
        """
        entry = _Entry(record.to_json(), self._clock.now_ms(), deadline_ms)
        self._open.append(entry)
        self._count += 1
        self._arrived.set()
        if await entry.safe:
            return None
        detail = "the request ran; its bill could not be secured in time"
        return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)

    async def run(self):
        """Copy and write records until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._keep_copying())
            tasks.create_task(self._keep_writing())
            tasks.create_task(self._keep_time())

    async def flush(self):
        """Return once every record is written, or held by a peer if it can't be."""
        flushes = self._flushes
        while self._count:
            is_held = not self._open and not self._entries_by_sequence
            if self._flushes > flushes and self._failures and is_held:
                return
            self._wake.set()
            await asyncio.sleep(FLUSH_POLL_S)

    async def _keep_copying(self):
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            while self._open:
                await self._copy(self._seal())

    def _seal(self):
        entries = self._open[:MAX_BATCH_RECORDS]
        del self._open[: len(entries)]
        self._sequence += 1
        batch = Batch(self._sequence, [entry.record for entry in entries])
        self._unwritten[batch.sequence] = batch
        self._entries_by_sequence[batch.sequence] = entries
        return batch

    async def _copy(self, batch):
        failure = await self._mirror.copy(
            [batch], self._unwritten.values(), self._lowest()
        )
        self._has_no_copies = failure is not None
        if failure is None:
            self._settle(list(self._entries_by_sequence))
        else:
            self._wake.set()

    async def _keep_time(self):
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + TICK_MS)
            now_ms = self._clock.now_ms()
            for entry in self._unsafe():
                if entry.deadline_ms <= now_ms:
                    entry.settle(False)
            is_due = now_ms >= self._flush_at_ms or self._mirror.has_moved()
            if self._unwritten and (is_due or self._count >= MAX_FLUSH_RECORDS):
                self._wake.set()

    async def _keep_writing(self):
        self._flush_at_ms = self._clock.now_ms() + self._period_ms
        while True:
            await self._wake.wait()
            await self._clock.sleep_until(self._not_before_ms)
            self._wake.clear()
            if self._unwritten:
                await self._write()

    async def _write(self):
        batches = self._first_batches()
        failure = await self._writer.write(self._source, batches)
        self._flushes += 1
        now_ms = self._clock.now_ms()
        if failure is not None:
            self._note_failure(failure, now_ms)
            return
        self._failures = 0
        self._flush_at_ms = now_ms + self._period_ms
        self._settle([batch.sequence for batch in batches])
        for batch in batches:
            del self._unwritten[batch.sequence]
            self._count -= len(batch.records)
        if self._has_no_copies and self._entries_by_sequence:
            self._wake.set()
        await self._mirror.release(self._lowest())

    def _note_failure(self, failure, now_ms):
        if self._failures == 0:
            logger.warning("billing.write-failed", extra={"why": failure.detail})
        wait_ms = min(RETRY_CAP_MS, RETRY_BASE_MS * 2 ** min(self._failures, 10))
        self._failures += 1
        self._not_before_ms = now_ms + wait_ms
        self._wake.set()

    def _first_batches(self):
        chosen = []
        size = 0
        for batch in self._unwritten.values():
            if chosen and size + len(batch.records) > MAX_FLUSH_RECORDS:
                break
            chosen.append(batch)
            size += len(batch.records)
        return chosen

    def _lowest(self):
        return next(iter(self._unwritten), self._sequence + 1)

    def _settle(self, sequences):
        for sequence in sequences:
            for entry in self._entries_by_sequence.pop(sequence, ()):
                entry.settle(True)

    def _unsafe(self):
        for entries in self._entries_by_sequence.values():
            yield from entries
        yield from self._open

    def _oldest_unsafe_ms(self):
        entry = next(self._unsafe(), None)
        return float("inf") if entry is None else entry.arrived_ms
