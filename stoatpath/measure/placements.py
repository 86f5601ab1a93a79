"""Loads that a pool needs while demand moves: few changes against from scratch.

Also the processor time of one plan at the size to design for.
"""

import random
import time

from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.measure.seed_statistics import mean, summary_figures, trial_seeds
from stoatpath.placement.demand import DemandTracker
from stoatpath.placement.messages import EngineView, ReplicaDemand
from stoatpath.placement.planners import plan_pool
from stoatpath.placement.scratch_planners import plan_from_scratch

ENGINES = 90
LARGE_ENGINES = 2_800
VERSIONS = 29
CAPACITY = 3
SLOTS = 32
ZONES = 8
ROUNDS = 60
ROUND_MS = 60_000
LOADS_PER_ROUND = 60
MAX_PLANNER_MS = 1_000


class ExecutedPool:
    """A pool of engines that carry out every plan at once."""

    __slots__ = ("engines", "loads", "short_rounds")

    def __init__(self, count):
        self.engines = [_engine(index, ()) for index in range(count)]
        self.loads = 0
        self.short_rounds = 0

    def carry_out(self, plans, wants):
        """Apply plans, and note versions that are then below their wants."""
        for plan in plans:
            self.loads += len(plan.versions - plan.engine.versions)
            plan.engine.versions = plan.engine.ordered = plan.versions
        replicas = {}
        for engine in self.engines:
            for version in engine.versions:
                replicas[version] = replicas.get(version, 0) + 1
        self.short_rounds += sum(
            replicas.get(name, 0) < want.replicas for name, want in wants.items()
        )

    def set_demand(self, demand):
        """Spread the running requests of each version over all engines."""
        running = {name: count / len(self.engines) for name, count in demand.items()}
        for engine in self.engines:
            engine.running_by_version = running


def _engine(index, versions):
    return EngineView(
        f"engine-{index:04d}",
        f"zone-{index % ZONES}",
        "",
        "m",
        CAPACITY,
        SLOTS,
        versions,
    )


def _names():
    return [f"m@{index:02d}" for index in range(VERSIONS)]


def _walk(rng, demand):
    for name in demand:
        factor = rng.lognormvariate(0, 0.15)
        demand[name] = min(max(demand[name] * factor, 1.0), 8.0 * SLOTS)


def _run_pool(seed, is_rebuilt):
    rng = random.Random(seed)
    pool = ExecutedPool(ENGINES)
    keeper = DemandTracker()
    demand = {name: rng.uniform(1, 2.0 * SLOTS) for name in _names()}
    for turn in range(ROUNDS):
        _walk(rng, demand)
        pool.set_demand(demand)
        wants = keeper.update(_names(), pool.engines, turn * ROUND_MS)
        if is_rebuilt:
            plans = plan_from_scratch(pool.engines, wants)
        else:
            plans = plan_pool(pool.engines, wants, frozenset(), LOADS_PER_ROUND)
        pool.carry_out(plans, wants)
    return pool


def _planner_ms():
    names = _names()
    engines = [
        _engine(index, {names[index % VERSIONS], names[(index + 7) % VERSIONS]})
        for index in range(LARGE_ENGINES)
    ]
    wants = {name: ReplicaDemand(name, 200, 2) for name in names}
    started = time.process_time()
    plan_pool(engines, wants, frozenset(), 10)
    return (time.process_time() - started) * 1000


def run(seed):
    """Run both planners at every seed."""
    seeds = trial_seeds(seed)
    figures = []
    for label, is_rebuilt in (("few-changes", False), ("from-scratch", True)):
        pools = [_run_pool(each, is_rebuilt) for each in seeds]
        name = f"placement.{label}.loads"
        figures += summary_figures(name, [pool.loads for pool in pools], "loads")
        short = mean([pool.short_rounds / ROUNDS / VERSIONS for pool in pools])
        figures.append(Figure(f"placement.{label}.short", short, "share of wants"))
    figures.append(Figure("placement.planner_ms", _planner_ms(), "ms per plan"))
    targets = [Target("placement.planner_ms", "at-most", MAX_PLANNER_MS)]
    return Report("placement", seed, figures, targets, is_timed=True)
