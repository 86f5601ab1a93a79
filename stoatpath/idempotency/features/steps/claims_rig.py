"""Instances that claim keys in one table, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from stoatpath.clock import ManualClock
from stoatpath.idempotency.claims import ClaimKeeper, claim_row_key
from stoatpath.idempotency.messages import Claim
from stoatpath.standins.memory_tables import MemoryTable


class CallerRequests:
    """Builds callers' requests with the attributes that claims use."""

    @staticmethod
    def build(request_id, clock, key="k1", body="b1", timeout_ms=30_000):
        return SimpleNamespace(
            request_id=request_id,
            organisation=SimpleNamespace(name="org"),
            idempotency_key=key,
            body_digest=body,
            deadline_ms=clock.now_ms() + timeout_ms,
        )


class Instance:
    """One process with its claims; killing it cancels its tasks."""

    def __init__(self, table, clock, seed):
        self.claims = ClaimKeeper(table, clock, random.Random(seed))
        self.tasks = [asyncio.create_task(self.claims.run())]

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def kill(self):
        for task in self.tasks:
            task.cancel()


class Environment:
    """Instances that share one table and one clock."""

    def __init__(self, faults=()):
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock, faults)
        self.instances = []

    def add_instance(self):
        instance = Instance(self.table, self.clock, len(self.instances))
        self.instances.append(instance)
        return instance

    def stored_claim(self, key="k1"):
        """Return the claim stored in the table, or None."""
        row = self.table.row(claim_row_key("org", key))
        return Claim.from_json(row.value) if row.version else None

    async def advance(self, until_ms, step_ms=5):
        """Advance virtual time in steps."""
        while self.clock.now_ms() < until_ms:
            for _ in range(6):
                await asyncio.sleep(0)
            self.clock.advance_by(step_ms)
        for _ in range(6):
            await asyncio.sleep(0)

    async def run_until_done(self, *tasks):
        """Advance virtual time until tasks are done; return their results."""
        async with asyncio.timeout(30):
            while not all(task.done() for task in tasks):
                await self.advance(self.clock.now_ms() + 5)
        return [task.result() for task in tasks]

    def close(self):
        for instance in self.instances:
            instance.kill()
