"""Model loads of a pool under changing demand: incremental plans against new ones.

Also the processor time of one plan at the design size.
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
DESIGN_ENGINES = 2_800
VERSIONS = 29
CAPACITY = 3
SLOTS = 32
ZONES = 8
ROUNDS = 60
ROUND_MS = 60_000
LOADS_PER_ROUND = 60
MAX_PLANNER_MS = 1_000


class SimulatedPool:
    """A pool of engines that apply every plan immediately."""

    __slots__ = ("engines", "loads", "shortfalls")

    def __init__(self, count):
        self.engines = [_build_engine(index, ()) for index in range(count)]
        self.loads = 0
        self.shortfalls = 0

    def apply_plans(self, plans, replica_demands):
        """Apply plans, and count the versions that are still short of replicas."""
        for plan in plans:
            self.loads += len(plan.versions - plan.engine.versions)
            plan.engine.versions = plan.engine.ordered = plan.versions
        replicas = {}
        for engine in self.engines:
            for version in engine.versions:
                replicas[version] = replicas.get(version, 0) + 1
        self.shortfalls += sum(
            replicas.get(name, 0) < replica_demand.replicas
            for name, replica_demand in replica_demands.items()
        )

    def set_running(self, demand):
        """Distribute the running requests of each version evenly over all engines."""
        running = {name: count / len(self.engines) for name, count in demand.items()}
        for engine in self.engines:
            engine.running_by_version = running


def _build_engine(index, versions):
    return EngineView(
        f"engine-{index:04d}",
        f"zone-{index % ZONES}",
        "",
        "m",
        CAPACITY,
        SLOTS,
        versions,
    )


def _version_names():
    return [f"m@{index:02d}" for index in range(VERSIONS)]


def _vary_demand(rng, demand):
    for name in demand:
        factor = rng.lognormvariate(0, 0.15)
        demand[name] = min(max(demand[name] * factor, 1.0), 8.0 * SLOTS)


def _run_pool(seed, is_from_scratch):
    rng = random.Random(seed)
    pool = SimulatedPool(ENGINES)
    tracker = DemandTracker()
    demand = {name: rng.uniform(1, 2.0 * SLOTS) for name in _version_names()}
    for round_number in range(ROUNDS):
        _vary_demand(rng, demand)
        pool.set_running(demand)
        replica_demands = tracker.update(
            _version_names(), pool.engines, round_number * ROUND_MS
        )
        if is_from_scratch:
            plans = plan_from_scratch(pool.engines, replica_demands)
        else:
            plans = plan_pool(
                pool.engines, replica_demands, frozenset(), LOADS_PER_ROUND
            )
        pool.apply_plans(plans, replica_demands)
    return pool


def _measure_planner_ms():
    names = _version_names()
    engines = [
        _build_engine(index, {names[index % VERSIONS], names[(index + 7) % VERSIONS]})
        for index in range(DESIGN_ENGINES)
    ]
    replica_demands = {name: ReplicaDemand(name, 200, 2) for name in names}
    started_s = time.process_time()
    plan_pool(engines, replica_demands, frozenset(), 10)
    return (time.process_time() - started_s) * 1000


def run(seed):
    """Run both planners at every seed."""
    seeds = trial_seeds(seed)
    figures = []
    for label, is_from_scratch in (("few-changes", False), ("from-scratch", True)):
        pools = [_run_pool(each, is_from_scratch) for each in seeds]
        name = f"placement.{label}.loads"
        figures += summary_figures(name, [pool.loads for pool in pools], "loads")
        shortfall_share = mean([pool.shortfalls / ROUNDS / VERSIONS for pool in pools])
        figures.append(
            Figure(f"placement.{label}.short", shortfall_share, "share of wants")
        )
    figures.append(Figure("placement.planner_ms", _measure_planner_ms(), "ms per plan"))
    targets = [Target("placement.planner_ms", "at-most", MAX_PLANNER_MS)]
    return Report("placement", seed, figures, targets, is_timed=True)
