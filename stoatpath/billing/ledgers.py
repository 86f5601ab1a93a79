"""Reads the ledger and writes batches to it exactly once, from whichever process.

For each source, one head row lists the sequence numbers that are in the ledger. A
transaction writes records and head together, on condition that the version of the head
is the one that was read. So no batch is written twice, and after a lost reply the head
shows whether the write was applied.
"""

from stoatpath.billing.sequences import SequenceSet
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.services.messages import Applied, Condition, Put, Rejected, Transaction

LEDGER_PREFIX = "billing/"
HEAD_PREFIX = "billing-heads/"
MAX_ROW_RECORDS = 500
MAX_WRITE_ATTEMPTS = 3


class LedgerWriter:
    """Writes batches of any source and caches their head rows."""

    __slots__ = ("_table", "_heads_by_key")

    def __init__(self, table):
        self._table = table
        self._heads_by_key = {}

    async def write(self, source, batches):
        """Return None once all batches are in the ledger, or a failure."""
        key = HEAD_PREFIX + source.key
        for _ in range(MAX_WRITE_ATTEMPTS):
            head = await self._read_head(key)
            if is_failure(head):
                return head
            written_sequences = SequenceSet(head.value or ())
            unwritten_batches = [
                batch for batch in batches if batch.sequence not in written_sequences
            ]
            if not unwritten_batches:
                return None
            # The next iteration reads the head again: only that confirms a write.
            result = await self._table.transact(
                _build_transaction(source, head, written_sequences, unwritten_batches)
            )
            self._heads_by_key.pop(key, None)
            if isinstance(result, Rejected):
                self._heads_by_key[key] = result.rows_by_key[key]
            elif not isinstance(result, Applied) and result.outcome is Outcome.NOT_RUN:
                return result
        if await self._is_written(key, batches):
            return None
        return Failure(PLATFORM_UNAVAILABLE, "the write is not confirmed")

    def evict_head(self, source):
        """Remove the cached head row of a source."""
        self._heads_by_key.pop(HEAD_PREFIX + source.key, None)

    async def _is_written(self, key, batches):
        head = await self._read_head(key)
        if is_failure(head):
            return False
        written_sequences = SequenceSet(head.value or ())
        return all(batch.sequence in written_sequences for batch in batches)

    async def _read_head(self, key):
        if key not in self._heads_by_key:
            rows = await self._table.read([key])
            if is_failure(rows):
                return rows
            self._heads_by_key[key] = rows[key]
        return self._heads_by_key[key]


def _build_transaction(source, head, written_sequences, batches):
    sequences = [batch.sequence for batch in batches]
    puts = [Put(head.key, written_sequences.union(sequences).to_json())]
    for chunk in _chunks(batches):
        key = f"{LEDGER_PREFIX}{source.key}/{chunk[0].sequence:012d}"
        records = [record for batch in chunk for record in batch.records]
        puts.append(Put(key, {"records": records}))
    return Transaction([Condition(head.key, head.version)], puts)


def _chunks(batches):
    chunk = []
    record_count = 0
    for batch in batches:
        if chunk and record_count + len(batch.records) > MAX_ROW_RECORDS:
            yield chunk
            chunk = []
            record_count = 0
        chunk.append(batch)
        record_count += len(batch.records)
    yield chunk


async def read_ledger(table):
    """Return all written records as JSON objects, or a failure."""
    rows = await table.scan(LEDGER_PREFIX)
    if is_failure(rows):
        return rows
    return [record for row in rows.values() for record in row.value["records"]]


def find_duplicates(records):
    """Return the identifiers of requests with more than one record."""
    seen = set()
    duplicates = set()
    for record in records:
        request_id = record["request_id"]
        (duplicates if request_id in seen else seen).add(request_id)
    return sorted(duplicates)
