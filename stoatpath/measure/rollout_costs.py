"""Cost of roll-outs and leases for one node at the design size."""

import asyncio
import random
import time

from stoatpath.clock import ManualClock
from stoatpath.leases.keepers import SHARDS, LeaseKeeper
from stoatpath.leases.states import RENEW_MS
from stoatpath.measure.reports import Figure, Report
from stoatpath.rollouts.counters import RatingCounters
from stoatpath.rollouts.evaluators import Sample, StepEvaluator
from stoatpath.rollouts.messages import (
    RATING_LEVELS,
    Arm,
    Cell,
    Rollout,
    Source,
    Step,
)
from stoatpath.rollouts.progress import Progress
from stoatpath.rollouts.reporters import owner_of
from stoatpath.services.messages import Applied, Row
from stoatpath.utils import decode_json, encode_json

DAEMONS = 540
EVALUATIONS = 200
LEASE_TICKS = 60
CALLS = 200
RATINGS_PER_CELL = 20


class _MemoryTable:
    """A table in memory that counts writes."""

    __slots__ = ("rows", "writes", "reads")

    def __init__(self):
        self.rows = {}
        self.writes = 0
        self.reads = 0

    async def read(self, keys):
        """Return rows by key."""
        self.reads += 1
        return {key: self.rows.get(key, Row(key, 0, None)) for key in keys}

    async def transact(self, transaction):
        """Apply a transaction; with a single writer all conditions hold."""
        self.writes += 1
        for put in transaction.puts:
            version = self.rows[put.key].version if put.key in self.rows else 0
            self.rows[put.key] = Row(put.key, version + 1, put.value)
        return Applied()


def _encode_cells(rng):
    counters = RatingCounters()
    arm = Arm("trial", 1, "model@2", "guest-question")
    for index in range(DAEMONS):
        source = Source(f"router-{index}", 1_700_000_000_000)
        for _ in range(RATINGS_PER_CELL):
            counters.count(source, arm, min(20, int(rng.gauss(17, 3))))
    return [encode_json(cell.to_json()) for cell in counters.drain_changed()]


def _measure_merge_us(payloads):
    counters = RatingCounters()
    started_s = time.process_time()
    for payload in payloads:
        counters.merge(Cell.from_json(decode_json(payload)))
    return (time.process_time() - started_s) / len(payloads) * 1e6


def _measure_evaluation_ms(rng):
    rollout = Rollout("trial", "m", "m@2", (0.1, 0.5, 1.0))
    by_purpose = {name: Sample.empty() for name in ("a", "b", "c")}
    evaluator = StepEvaluator(rollout, by_purpose, 0)
    cpu_s = 0.0
    for round_number in range(EVALUATIONS):
        for sample in by_purpose.values():
            for _ in range(10):
                sample.new[rng.randrange(12, RATING_LEVELS)] += 1
                sample.old[rng.randrange(12, RATING_LEVELS)] += 1
        started_s = time.process_time()
        evaluator.evaluate(by_purpose, round_number * 400)
        cpu_s += time.process_time() - started_s
    return cpu_s / EVALUATIONS * 1000


def _measure_gossip_bytes():
    progress = Progress()
    empty_bytes = len(encode_json(progress.to_json()))
    progress.record_step(Step("model-name@12", 1, 3))
    return len(encode_json(progress.to_json())) - empty_bytes


def _measure_owner_lookup_us(names):
    owner_of("trial", names)
    started_s = time.process_time()
    for _ in range(CALLS):
        owner_of("trial", names)
    return (time.process_time() - started_s) / CALLS * 1e6


async def _run_lease_ticks(names):
    """Return the table and the processor time of one tick of one keeper, in ms."""
    table = _MemoryTable()
    clock = ManualClock()
    keeper = LeaseKeeper(table, clock, names[0], 1, lambda: names)
    started_s = time.process_time()
    for _ in range(LEASE_TICKS):
        await keeper.tick()
        clock.advance_by(1_000)
    return table, (time.process_time() - started_s) / LEASE_TICKS * 1000


async def _count_writes():
    """Return the writes per second of one keeper that holds all shards."""
    table = _MemoryTable()
    clock = ManualClock()
    keeper = LeaseKeeper(table, clock, "only", 1, lambda: ["only"])
    for _ in range(LEASE_TICKS):
        await keeper.tick()
        clock.advance_by(1_000)
    return table.writes / LEASE_TICKS


def run(seed):
    """Measure each cost once."""
    rng = random.Random(seed)
    names = sorted(f"controller-{index}" for index in range(DAEMONS))
    payloads = _encode_cells(rng)
    mean_bytes = sum(map(len, payloads)) / len(payloads)
    _, tick_ms = asyncio.run(_run_lease_ticks(names))
    writes = asyncio.run(_count_writes())
    figures = [
        Figure("rollouts.bytes_per_cell", round(mean_bytes, 1), "bytes per report"),
        Figure("rollouts.merge_us_per_cell", _measure_merge_us(payloads), "us"),
        Figure(
            "rollouts.look_ms",
            _measure_evaluation_ms(rng),
            "ms per look of three purposes",
        ),
        Figure("rollouts.gossip_bytes_per_step", _measure_gossip_bytes(), "bytes"),
        Figure(
            "rollouts.judge_of_us", _measure_owner_lookup_us(names), "us at 540 daemons"
        ),
        Figure("leases.tick_ms", tick_ms, "ms per second at 540 daemons"),
        Figure("leases.writes_per_s", round(writes, 2), "writes per second per site"),
        Figure("leases.renewals_per_s", SHARDS * 1000 / RENEW_MS, "by the period"),
    ]
    return Report("rollout-costs", seed, figures, is_timed=True)
