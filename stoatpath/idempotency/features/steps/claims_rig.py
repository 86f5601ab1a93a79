"""A table with every fault of the platform, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from stoatpath.clock import ManualClock
from stoatpath.idempotency.claims import ClaimKeeper, claim_key
from stoatpath.idempotency.messages import Claim
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome
from stoatpath.platform.messages import Applied, Rejected, Row

CALL_MS = 5
TIMEOUT_MS = 2_000


class FaultyTable:
    """Rows in memory; each call takes the next fault of a list, then none.

    `late` times out and applies the write 3 s later; `until_ms` is the reading
    up to which every call fails with the fault `outage`.
    """

    def __init__(self, clock, faults=()):
        self.clock = clock
        self.faults = list(faults)
        self.rows = {}
        self.writes = 0
        self.outage = ("", 0)

    def _next_fault(self):
        kind, until_ms = self.outage
        if self.clock.now_ms() < until_ms:
            return kind
        return self.faults.pop(0) if self.faults else "none"

    async def transact(self, transaction):
        fault = self._next_fault()
        await self._spend(CALL_MS)
        if fault in ("down", "throttled"):
            return Failure(PLATFORM_UNAVAILABLE, fault)
        if fault == "late":
            asyncio.create_task(self._apply_late(transaction))
        if fault in ("late", "request-lost"):
            await self._spend(TIMEOUT_MS)
            return Failure(PLATFORM_UNAVAILABLE, fault, Outcome.UNKNOWN)
        if fault == "slow":
            await self._spend(TIMEOUT_MS / 2)
        if fault == "write-lost":
            return Applied()
        result = self._apply(transaction)
        if fault == "reply-lost":
            await self._spend(TIMEOUT_MS)
            return Failure(PLATFORM_UNAVAILABLE, fault, Outcome.UNKNOWN)
        return result

    async def read(self, keys):
        fault = self._next_fault()
        await self._spend(CALL_MS)
        if fault not in ("none", "slow"):
            return Failure(PLATFORM_UNAVAILABLE, fault, Outcome.UNKNOWN)
        return {key: self.row(key) for key in keys}

    def row(self, key):
        version, value = self.rows.get(key, (0, None))
        return Row(key, version, value)

    async def scan(self, prefix):
        return {key: self.row(key) for key in self.rows if key.startswith(prefix)}

    def _apply(self, transaction):
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
        await self._spend(TIMEOUT_MS + 1_000)
        self._apply(transaction)

    async def _spend(self, step_ms):
        await self.clock.sleep_until(self.clock.now_ms() + step_ms)


class Caller:
    """A caller's request as the claims see it."""

    @staticmethod
    def request(request_id, clock, key="k1", body="b1", timeout_ms=30_000):
        return SimpleNamespace(
            request_id=request_id,
            organisation=SimpleNamespace(name="org"),
            idempotency_key=key,
            body_digest=body,
            deadline_ms=clock.now_ms() + timeout_ms,
        )


class Instance:
    """One process with its claims; a killed one takes its tasks with it."""

    def __init__(self, table, clock, seed):
        self.keeper = ClaimKeeper(table, clock, random.Random(seed))
        self.tasks = [asyncio.create_task(self.keeper.run())]

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def kill(self):
        for task in self.tasks:
            task.cancel()


class World:
    """Instances around one table and one clock."""

    def __init__(self, faults=()):
        self.clock = ManualClock()
        self.table = FaultyTable(self.clock, faults)
        self.instances = []

    def add(self):
        instance = Instance(self.table, self.clock, len(self.instances))
        self.instances.append(instance)
        return instance

    def stored(self, key="k1"):
        """Return the claim that stands in the table, or None."""
        row = self.table.row(claim_key("org", key))
        return Claim.from_json(row.value) if row.version else None

    async def advance(self, until_ms, step_ms=5):
        """Let virtual time pass."""
        while self.clock.now_ms() < until_ms:
            for _ in range(6):
                await asyncio.sleep(0)
            self.clock.advance_by(step_ms)
        for _ in range(6):
            await asyncio.sleep(0)

    async def finish(self, *tasks):
        """Let virtual time pass until tasks are done; return their results."""
        async with asyncio.timeout(30):
            while not all(task.done() for task in tasks):
                await self.advance(self.clock.now_ms() + 5)
        return [task.result() for task in tasks]

    def close(self):
        for instance in self.instances:
            instance.kill()
