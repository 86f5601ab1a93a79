"""Writes batches to the ledger exactly once, whoever writes them, and reads it.

For each source one head row holds the sequence numbers that are in the ledger. A
transaction writes records and head together, on condition that the head is as it was
read; so no batch is written twice and a lost reply is settled by the head.
"""

from stoatpath.billing.sequences import SequenceSet
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.services.messages import Applied, Condition, Put, Rejected, Transaction

LEDGER_PREFIX = "billing/"
HEAD_PREFIX = "billing-heads/"
MAX_ROW_RECORDS = 500
WRITE_ATTEMPTS = 3


class LedgerWriter:
    """Writes batches of any source."""

    __slots__ = ("_table", "_heads_by_key")

    def __init__(self, table):
        self._table = table
        self._heads_by_key = {}

    async def write(self, source, batches):
        """Return None once all batches are in the ledger, or a failure."""
        key = HEAD_PREFIX + source.key
        for _ in range(WRITE_ATTEMPTS):
            head = await self._find_head(key)
            if is_failure(head):
                return head
            written = SequenceSet(head.value or ())
            missing = [batch for batch in batches if batch.sequence not in written]
            if not missing:
                return None
            result = await self._table.transact(_build(source, head, written, missing))
            self._heads_by_key.pop(key, None)
            if isinstance(result, Rejected):
                self._heads_by_key[key] = result.by_key[key]
            elif not isinstance(result, Applied) and result.outcome is Outcome.NOT_RUN:
                return result
        if await self._holds(key, batches):
            return None
        return Failure(PLATFORM_UNAVAILABLE, "the write is not confirmed")

    def forget(self, source):
        """Drop what is remembered of a source."""
        self._heads_by_key.pop(HEAD_PREFIX + source.key, None)

    async def _holds(self, key, batches):
        head = await self._find_head(key)
        if is_failure(head):
            return False
        written = SequenceSet(head.value or ())
        return all(batch.sequence in written for batch in batches)

    async def _find_head(self, key):
        if key not in self._heads_by_key:
            rows = await self._table.read([key])
            if is_failure(rows):
                return rows
            self._heads_by_key[key] = rows[key]
        return self._heads_by_key[key]


def _build(source, head, written, batches):
    numbers = [batch.sequence for batch in batches]
    puts = [Put(head.key, written.including(numbers).to_json())]
    for chunk in _chunks(batches):
        key = f"{LEDGER_PREFIX}{source.key}/{chunk[0].sequence:012d}"
        records = [record for batch in chunk for record in batch.records]
        puts.append(Put(key, {"records": records}))
    return Transaction([Condition(head.key, head.version)], puts)


def _chunks(batches):
    chunk = []
    size = 0
    for batch in batches:
        if chunk and size + len(batch.records) > MAX_ROW_RECORDS:
            yield chunk
            chunk = []
            size = 0
        chunk.append(batch)
        size += len(batch.records)
    yield chunk


async def read_ledger(table):
    """Return all written records as JSON objects, or a failure."""
    rows = await table.scan(LEDGER_PREFIX)
    if is_failure(rows):
        return rows
    return [record for row in rows.values() for record in row.value["records"]]


def find_duplicates(records):
    """Return the identifiers of requests that a ledger holds more than once."""
    seen = set()
    doubled = set()
    for record in records:
        request_id = record["request_id"]
        (doubled if request_id in seen else seen).add(request_id)
    return sorted(doubled)
