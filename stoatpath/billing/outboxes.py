"""Writes billing records to the platform's table in batches.

A batch is a row named by owner, incarnation and sequence, so that writing it
again changes nothing.
"""

import asyncio
import logging

from stoatpath.outcomes import is_failure
from stoatpath.platform.messages import Condition, Put, Rejected, Transaction

logger = logging.getLogger(__name__)

MAX_BATCH_RECORDS = 500
RETRY_PERIOD_MS = 200
BATCH_PREFIX = "billing/"


class _Entry:
    """A record and the future that resolves once the record is safe."""

    __slots__ = ("record", "safe")

    def __init__(self, record, safe):
        self.record = record
        self.safe = safe


class Outbox:
    """The task that owns the records of this process until they are written."""

    __slots__ = ("_table", "_clock", "_prefix", "_sequence", "_inbox", "_idle")

    def __init__(self, table, clock, owner, incarnation):
        self._table = table
        self._clock = clock
        self._prefix = f"{BATCH_PREFIX}{owner}.{incarnation}/"
        self._sequence = 0
        self._inbox = asyncio.Queue()
        self._idle = asyncio.Event()
        self._idle.set()

    async def record(self, record):
        """Return once a record is safe from the loss of this process."""
        safe = asyncio.get_running_loop().create_future()
        self._idle.clear()
        self._inbox.put_nowait(_Entry(record, safe))
        await safe

    async def run(self):
        """Write batches until cancelled."""
        while True:
            batch = [await self._inbox.get()]
            while len(batch) < MAX_BATCH_RECORDS and not self._inbox.empty():
                batch.append(self._inbox.get_nowait())
            await self._write(batch)
            if self._inbox.empty():
                self._idle.set()

    def waiting(self):
        """Return how many records wait to be written."""
        return self._inbox.qsize()

    async def flush(self):
        """Return once every record is written."""
        await self._idle.wait()

    async def _write(self, batch):
        self._sequence += 1
        key = f"{self._prefix}{self._sequence:010d}"
        rows = [entry.record.to_json() for entry in batch]
        transaction = Transaction([Condition(key, 0)], [Put(key, {"records": rows})])
        while True:
            result = await self._table.transact(transaction)
            if not is_failure(result):
                break
            logger.warning("billing.write-failed", extra={"why": result.detail})
            await self._clock.sleep_until(self._clock.now_ms() + RETRY_PERIOD_MS)
        if isinstance(result, Rejected):
            logger.info("billing.batch-was-written", extra={"key": key})
        for entry in batch:
            if not entry.safe.done():
                entry.safe.set_result(None)


async def read_ledger(table):
    """Return all written records as JSON objects, or a failure."""
    rows = await table.scan(BATCH_PREFIX)
    if is_failure(rows):
        return rows
    return [record for row in rows.values() for record in row.value["records"]]
