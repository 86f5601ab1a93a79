"""Removes expired answers from claim rows, and expired rows of requests not run.

The row of a done or unfinished claim is never deleted, since its key must never run
again.
"""

import logging

from stoatpath.idempotency.claims import CLAIM_PREFIX
from stoatpath.idempotency.messages import DONE, NOT_RUN, Claim
from stoatpath.outcomes import is_failure
from stoatpath.services.messages import Condition, Put, Transaction
from stoatpath.utils import rendezvous_rank

logger = logging.getLogger(__name__)

SWEEP_PERIOD_MS = 60_000
MAX_ROWS_PER_TRANSACTION = 500
DIGEST_PREFIXES = tuple(f"{number:02x}" for number in range(256))


class ClaimSweeper:
    """Sweeps a part of the claims, given by a row key prefix, in each period.

    `name` is that of this router; `organisations` and `routers` are functions that
    return names. Rendezvous hashing assigns each prefix
    to one router. Two routers may sweep the same prefix while their member lists
    differ; writes are conditional on row versions, so both stay correct.
    """

    __slots__ = (
        "_table",
        "_clock",
        "_name",
        "_retention_ms",
        "_organisations",
        "_routers",
        "_next_index",
    )

    def __init__(self, table, clock, name, retention_ms, organisations, routers):
        self._table = table
        self._clock = clock
        self._name = name
        self._retention_ms = retention_ms
        self._organisations = organisations
        self._routers = routers
        self._next_index = 0

    async def run(self):
        """Sweep one assigned prefix in each period until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + SWEEP_PERIOD_MS)
            prefixes = self._assigned_prefixes()
            if prefixes:
                self._next_index = (self._next_index + 1) % len(prefixes)
                await self.sweep(prefixes[self._next_index])

    async def sweep(self, prefix):
        """Sweep the rows whose keys start with a prefix; return a failure or None."""
        rows = await self._table.scan(prefix)
        if is_failure(rows):
            return rows
        for transaction in build_sweep_transactions(
            rows.values(), self._clock.wall_ms(), self._retention_ms
        ):
            result = await self._table.transact(transaction)
            if is_failure(result):
                logger.warning("claims.sweep-failed", extra={"why": result.detail})
                return result
        return None

    def _assigned_prefixes(self):
        routers = self._routers()
        return [
            f"{CLAIM_PREFIX}{organisation}/{digest_prefix}"
            for organisation in self._organisations()
            for digest_prefix in DIGEST_PREFIXES
            if rendezvous_rank(f"{organisation}/{digest_prefix}", routers)[:1]
            == [self._name]
        ]


def build_sweep_transactions(rows, wall_ms, retention_ms):
    """Return the transactions that remove expired answers and rows."""
    expired = []
    for row in rows:
        claim = Claim.from_json(row.value)
        if claim.written_at_ms + retention_ms > wall_ms:
            continue
        if claim.state == NOT_RUN or (claim.state == DONE and claim.answer is not None):
            expired.append((row, claim))
    return [
        _transaction(expired[start : start + MAX_ROWS_PER_TRANSACTION])
        for start in range(0, len(expired), MAX_ROWS_PER_TRANSACTION)
    ]


def _transaction(expired):
    conditions = [Condition(row.key, row.version) for row, _ in expired]
    puts = []
    deletes = []
    for row, claim in expired:
        if claim.state == NOT_RUN:
            deletes.append(row.key)
        else:
            claim.answer = None
            puts.append(Put(row.key, claim.to_json()))
    return Transaction(conditions, puts, deletes)
