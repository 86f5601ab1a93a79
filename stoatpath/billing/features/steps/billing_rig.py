"""Routers' outboxes around one table, in virtual time and without sockets."""

import asyncio

from stoatpath.billing.holders import MirrorHolder
from stoatpath.billing.ledgers import LedgerWriter, read_ledger
from stoatpath.billing.messages import BillingRecord, Source
from stoatpath.billing.mirrors import ROUTER, Mirror
from stoatpath.billing.outboxes import Outbox
from stoatpath.clock import ManualClock
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import DEAD, LIVE, Member
from stoatpath.outcomes import CONNECT_FAILED, Failure, Outcome
from stoatpath.standins.memory_tables import MemoryTable

PERIOD_MS = 5_000
ZONES = ("zone-a", "zone-b", "zone-c")


class PausableClock(ManualClock):
    """The shared clock as seen by a process that can be suspended."""

    def __init__(self, environment):
        self.environment = environment
        self.paused_until_ms = 0.0

    def now_ms(self):
        return self.environment.clock.now_ms()

    def wall_ms(self):
        return self.environment.clock.wall_ms()

    async def sleep_until(self, deadline_ms):
        await self.environment.clock.sleep_until(deadline_ms)
        await self.wait_while_paused()

    async def wait_while_paused(self):
        while self.now_ms() < self.paused_until_ms:
            await self.environment.clock.sleep_until(self.paused_until_ms)


class PausableTable:
    """The table as seen by a process, whose calls wait while it is paused."""

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock

    async def transact(self, transaction):
        await self._clock.wait_while_paused()
        result = await self._table.transact(transaction)
        await self._clock.wait_while_paused()
        return result

    async def read(self, keys):
        await self._clock.wait_while_paused()
        result = await self._table.read(keys)
        await self._clock.wait_while_paused()
        return result


class Process:
    """One router with its outbox, mirror holder, peer server and peer client."""

    def __init__(self, environment, index):
        self.environment = environment
        self.name = f"r{index}"
        self.clock = PausableClock(environment)
        self.handlers = {}
        self.is_killed = False
        self.is_disconnected = False
        own = Member(
            self.name, ROUTER, self.name, ZONES[index % environment.zones], 1, LIVE
        )
        self.members = MemberTable(own)
        self.writer = LedgerWriter(PausableTable(environment.table, self.clock))
        source = Source(self.name, 1)
        # The process itself is passed as peer client and as peer server.
        mirror = Mirror(source, self.members, self, self.clock)
        self.outbox = Outbox(self.writer, mirror, source, self.clock, PERIOD_MS)
        self.holder = MirrorHolder(self.writer, self.members, self, self, self.clock)
        jobs = (self.outbox.run(), self.holder.run())
        self.tasks = [asyncio.create_task(job) for job in jobs]

    def register(self, topic, handler):
        self.handlers[topic] = handler

    async def ask(self, address, topic, message, timeout_ms=0):
        await self.clock.wait_while_paused()
        other = self.environment.processes_by_name.get(address)
        await self.environment.clock.sleep_until(self.environment.clock.now_ms() + 2)
        is_lost = other is None or other.is_killed or other.is_disconnected
        if is_lost or self.is_disconnected:
            return Failure(CONNECT_FAILED, "gone", Outcome.UNKNOWN)
        if other.clock.paused_until_ms > self.clock.now_ms():
            await self.environment.clock.sleep_until(self.clock.now_ms() + 500)
            return Failure(CONNECT_FAILED, "paused", Outcome.UNKNOWN)
        answer = await other.handlers[topic](message)
        if self.environment.lost_replies > 0:
            self.environment.lost_replies -= 1
            return Failure(CONNECT_FAILED, "reply lost", Outcome.UNKNOWN)
        await self.clock.wait_while_paused()
        return answer

    def bill(self, number, deadline_ms=float("inf")):
        """Start to store one record; the task's result is None once it is durable."""
        record = BillingRecord(f"{self.name}-{number}", "o", "s", "p", [], 1.0, 0)
        task = asyncio.create_task(self.outbox.store_record(record, deadline_ms))
        self.environment.records.append((record.request_id, task))
        return task

    def kill(self):
        self.is_killed = True
        for task in self.tasks:
            task.cancel()


class Environment:
    """Processes that know one another, with one table and one clock."""

    def __init__(self, processes=3, zones=3):
        self.clock = ManualClock()
        self.zones = zones
        self.table = MemoryTable(self.clock)
        self.processes_by_name = {}
        self.records = []
        self.lost_replies = 0
        for index in range(processes):
            process = Process(self, index)
            self.processes_by_name[process.name] = process
        for process in self.processes_by_name.values():
            others = [
                Member(each.name, ROUTER, each.name, each.members.local.zone, 1, LIVE)
                for each in self.processes_by_name.values()
            ]
            process.members.merge(others, 0)

    def mark_dead(self, name):
        """Mark a process as dead in the member tables of all processes."""
        for process in self.processes_by_name.values():
            member = process.members.by_name.get(name)
            if member is not None:
                member.state = DEAD

    async def advance(self, step_ms, tick_ms=2):
        """Advance virtual time in steps."""
        until_ms = self.clock.now_ms() + step_ms
        while self.clock.now_ms() < until_ms:
            for _ in range(8):
                await asyncio.sleep(0)
            self.clock.advance_by(tick_ms)
        for _ in range(8):
            await asyncio.sleep(0)

    async def ledger_ids(self):
        """Return the request identifiers in the ledger, with duplicates."""
        records = await read_ledger(self.table)
        return sorted(record["request_id"] for record in records)

    def durable_ids(self):
        """Return the identifiers of the records reported as durable."""
        return sorted(
            request_id
            for request_id, task in self.records
            if task.done() and not task.cancelled() and task.result() is None
        )

    def close(self):
        for process in self.processes_by_name.values():
            process.kill()
        for _, task in self.records:
            task.cancel()
