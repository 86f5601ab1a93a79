"""Measures the table writes of billing, with the real outbox in virtual time."""

import asyncio
import time

from stoatpath.billing.holders import MirrorHolder
from stoatpath.billing.ledgers import LedgerWriter, find_duplicates, read_ledger
from stoatpath.billing.messages import BillingRecord, Source
from stoatpath.billing.mirrors import ROUTER, Mirror
from stoatpath.billing.outboxes import Outbox
from stoatpath.clock import ManualClock
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.settings import DEFAULTS
from stoatpath.standins.memory_tables import MemoryTable
from stoatpath.utils import decode_json, encode_json

RATES_PER_S = (100, 1_000, 1_700)
RUN_S = 20
TICK_MS = 2
PEER_RTT_MS = 3
ROUTERS = 540
RECORDS_PER_S = 15_000
SITE_WRITES_PER_S = 400


class _CountingPeer:
    """The mirror's peer: passes encoded messages to the holder and counts them."""

    def __init__(self, clock):
        self._clock = clock
        self._handler = None
        self.bytes = 0
        self.calls = 0

    def register(self, topic, handler):
        """Register the handler of the holder."""
        self._handler = handler

    async def ask(self, address, topic, message, timeout_ms=0):
        """Pass a message to the handler, with encoding and delay as between members."""
        payload = encode_json(message)
        self.bytes += len(payload)
        self.calls += 1
        await self._clock.sleep_until(self._clock.now_ms() + PEER_RTT_MS)
        return await self._handler(decode_json(payload))


class _BillingRun:
    """Stores billing records at one rate for a fixed time."""

    def __init__(self, rate_per_s):
        self.rate_per_s = rate_per_s
        self.records = rate_per_s * RUN_S
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.peer = _CountingPeer(self.clock)
        self.cpu_s = 0.0
        self.ledger = []

    async def run(self):
        """Store records at the rate, then wait until all are in the ledger."""
        members = MemberTable(Member("r0", ROUTER, "r0", "zone-a", 1, LIVE))
        members.merge([Member("r1", ROUTER, "r1", "zone-b", 1, LIVE)], 0)
        writer = LedgerWriter(self.table)
        MirrorHolder(writer, members, self.peer, self.peer, self.clock)
        source = Source("r0", 1)
        mirror = Mirror(source, members, self.peer, self.clock)
        period_ms = DEFAULTS["BILLING_FLUSH_PERIOD_MS"]
        outbox = Outbox(writer, mirror, source, self.clock, period_ms)
        task = asyncio.create_task(outbox.run())
        started_s = time.process_time()
        await self._store_records(outbox)
        self.cpu_s = time.process_time() - started_s
        await self._advance(2 * period_ms)
        task.cancel()
        self.ledger = await read_ledger(self.table)

    async def _store_records(self, outbox):
        tasks = set()
        steps = RUN_S * 1_000 // TICK_MS
        for step in range(steps):
            first_number = self.records * step // steps
            for number in range(first_number, self.records * (step + 1) // steps):
                task = asyncio.create_task(outbox.store_record(_build_record(number)))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await self._advance(TICK_MS)

    async def _advance(self, step_ms):
        until_ms = self.clock.now_ms() + step_ms
        while self.clock.now_ms() < until_ms:
            for _ in range(4):
                await asyncio.sleep(0)
            self.clock.advance_by(TICK_MS)


def _build_record(number):
    stages = [
        {"version": "tern-small@1", "tokens": 64, "cost": 0.0128, "rating": 0.75},
        {"version": "tern-large@1", "tokens": 64, "cost": 0.128, "rating": None},
    ]
    return BillingRecord(
        f"req-{number:024x}",
        "foreshore-officers",
        "desk-assist",
        "guest-question",
        stages,
        0.1408,
        1_700_000_000_000,
    )


def run(seed):
    """Return the report; nothing in it depends on the seed."""
    figures = []
    for rate_per_s in RATES_PER_S:
        billing_run = _BillingRun(rate_per_s)
        asyncio.run(billing_run.run())
        if len(billing_run.ledger) != billing_run.records or find_duplicates(
            billing_run.ledger
        ):
            raise AssertionError("the ledger does not contain each record exactly once")
        figures += _trial_figures(billing_run)
    writes_per_s = ROUTERS * 1_000 / DEFAULTS["BILLING_FLUSH_PERIOD_MS"]
    figures.append(Figure("billing.writes_at_design_size", writes_per_s, "1/s"))
    targets = [
        Target("billing.writes_at_1700_per_s", "at-most", 1.0),
        Target("billing.writes_at_design_size", "at-most", SITE_WRITES_PER_S / 2),
    ]
    return Report("billing", seed, figures, targets, is_timed=True)


def _trial_figures(billing_run):
    rate_per_s = billing_run.rate_per_s
    rows = [
        len(encode_json(value))
        for key, (_, value) in billing_run.table.rows.items()
        if key.startswith("billing/")
    ]
    writes_per_s = billing_run.table.writes / RUN_S
    per_record_us = billing_run.cpu_s * 1e6 / billing_run.records
    return [
        Figure(f"billing.writes_at_{rate_per_s}_per_s", writes_per_s, "1/s"),
        Figure(
            f"billing.mirror_calls_at_{rate_per_s}_per_s",
            billing_run.peer.calls / RUN_S,
            "1/s",
        ),
        Figure(
            f"billing.mirror_bytes_per_record_at_{rate_per_s}_per_s",
            billing_run.peer.bytes / billing_run.records,
            "B",
        ),
        Figure(
            f"billing.ledger_bytes_per_record_at_{rate_per_s}_per_s",
            sum(rows) / billing_run.records,
            "B",
        ),
        Figure(f"billing.largest_row_at_{rate_per_s}_per_s", max(rows), "B"),
        Figure(f"billing.cpu_per_record_at_{rate_per_s}_per_s", per_record_us, "us"),
    ]
