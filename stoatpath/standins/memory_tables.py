"""In-memory table client in virtual time that simulates faults of the platform."""

import asyncio

from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome
from stoatpath.services.messages import Applied, Rejected, Row

CALL_MS = 5
TIMEOUT_MS = 2_000


class MemoryTable:
    """Replaces `Table` without sockets; each call uses up the next of `faults`.

    `faults` holds kinds of faults, or "none"; `scan` has no faults.
    A transaction with the fault `late` times out and is applied 1 s after that.
    `outage` is a kind of fault and the time on the clock until which it affects every
    `transact` and `read`; these then use up no entry of `faults`. `writes` counts the
    transactions that reached the table.
    """

    __slots__ = ("clock", "faults", "rows", "writes", "reads", "outage")

    def __init__(self, clock, faults=()):
        self.clock = clock
        self.faults = list(faults)
        self.rows = {}
        self.writes = 0
        self.reads = 0
        self.outage = ("", 0)

    def _next_fault(self):
        kind, until_ms = self.outage
        if self.clock.now_ms() < until_ms:
            return kind
        return self.faults.pop(0) if self.faults else "none"

    async def transact(self, transaction):
        """Return `Applied`, `Rejected` or a failure."""
        fault = self._next_fault()
        await self._wait(CALL_MS)
        if fault in ("down", "throttled"):
            return Failure(PLATFORM_UNAVAILABLE, fault)
        if fault == "late":
            asyncio.create_task(self._apply_late(transaction))
        if fault in ("late", "request-lost"):
            await self._wait(TIMEOUT_MS)
            return Failure(PLATFORM_UNAVAILABLE, fault, Outcome.UNKNOWN)
        if fault == "slow":
            await self._wait(TIMEOUT_MS / 2)
        if fault == "write-lost":
            return Applied()
        result = self.apply(transaction)
        if fault == "reply-lost":
            await self._wait(TIMEOUT_MS)
            return Failure(PLATFORM_UNAVAILABLE, fault, Outcome.UNKNOWN)
        return result

    async def read(self, keys):
        """Return rows by key, or a failure."""
        self.reads += 1
        fault = self._next_fault()
        await self._wait(CALL_MS)
        if fault not in ("none", "slow"):
            return Failure(PLATFORM_UNAVAILABLE, fault, Outcome.UNKNOWN)
        return {key: self.row(key) for key in keys}

    def row(self, key):
        """Return the current row of a key, with version 0 if there is none."""
        version, value = self.rows.get(key, (0, None))
        return Row(key, version, value)

    async def scan(self, prefix):
        """Return all rows whose key starts with a prefix, by key."""
        return {key: self.row(key) for key in self.rows if key.startswith(prefix)}

    def apply(self, transaction):
        """Apply a transaction at once and without faults, if its conditions hold."""
        self.writes += 1
        for condition in transaction.conditions:
            if self.row(condition.key).version != condition.version:
                keys = [each.key for each in transaction.conditions]
                return Rejected({key: self.row(key) for key in keys})
        for put in transaction.puts:
            self.rows[put.key] = (self.row(put.key).version + 1, put.value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Applied()

    async def _apply_late(self, transaction):
        await self._wait(TIMEOUT_MS + 1_000)
        self.apply(transaction)

    async def _wait(self, step_ms):
        await self.clock.sleep_until(self.clock.now_ms() + step_ms)
