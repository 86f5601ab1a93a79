"""Steps of placement."""

import asyncio
import re

import aiohttp
from behave import given, then, when
from hypothesis import given as forall, settings, strategies

from stoatpath.clock import ManualClock
from stoatpath.leases.states import LeaseState
from stoatpath.placement.budgets import LoadBudget
from stoatpath.placement.demand import DemandTracker
from stoatpath.placement.keepers import BYTES_PER_POLL, placement_period_ms
from stoatpath.placement.messages import EngineView, Order, ReplicaDemand
from stoatpath.placement.planners import plan_pool
from stoatpath.placement.senders import OrderSender
from stoatpath.services.weights import WeightStore
from stoatpath.standins.engines import EngineStandin
from stoatpath.standins.faults import Fault
from stoatpath.standins.weights import WeightsStandin
from stoatpath.utils import encode_json

PROPERTY = settings(derandomize=True, database=None, deadline=None)
CAPACITY = 3
VERSIONS = ("1", "2", "3", "4", "5")


def _engine(name, zone, versions, is_leaving=False):
    view = EngineView(name, zone, "", "m", CAPACITY, 10, versions)
    view.is_leaving = is_leaving
    return view


drawn_engines = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("a", "b", "c")),
        strategies.sets(strategies.sampled_from(VERSIONS), max_size=CAPACITY),
        strategies.sampled_from((False, False, False, True)),
    ),
    min_size=1,
    max_size=8,
)
drawn_replicas = strategies.dictionaries(
    strategies.sampled_from(VERSIONS), strategies.integers(1, 4), max_size=5
)


def _build(drawn):
    return [
        _engine(f"engine-{index}", zone, versions, is_leaving)
        for index, (zone, versions, is_leaving) in enumerate(drawn)
    ]


def _loaded(engines, version):
    return [
        each for each in engines if version in each.versions and not each.is_leaving
    ]


def _apply(engines, plans):
    versions_by_engine = {plan.engine.name: plan.versions for plan in plans}
    return [
        _engine(
            each.name,
            each.zone,
            versions_by_engine.get(each.name, each.versions),
            each.is_leaving,
        )
        for each in engines
    ]


@then("any plan respects loaded replicas, zones, capacity and the limit of loads")
def step_impl(context):
    @PROPERTY
    @forall(drawn_engines, drawn_replicas, strategies.integers(0, 4))
    def check(drawn, replicas, max_loads):
        engines = _build(drawn)
        withdrawn = frozenset(VERSIONS) - set(replicas) - {"5"}
        demand_by_version = {
            name: ReplicaDemand(name, count, 1) for name, count in replicas.items()
        }
        plans = plan_pool(engines, demand_by_version, withdrawn, max_loads)
        loads = sum(len(plan.versions - plan.engine.versions) for plan in plans)
        assert loads <= max_loads
        for plan in plans:
            assert not plan.engine.is_leaving and plan.reason
            assert len(plan.versions) <= CAPACITY
            assert not plan.versions & withdrawn
        dropped = {
            plan.engine.name: plan.engine.versions - plan.versions for plan in plans
        }
        for version, demand in demand_by_version.items():
            before = _loaded(engines, version)
            remaining = [
                each for each in before if version not in dropped.get(each.name, ())
            ]
            assert len(remaining) >= min(len(before), demand.replicas)

    check()


@then("repeated plans reach all desired replicas if there is room for them")
def step_impl(context):
    @PROPERTY
    @forall(drawn_engines, drawn_replicas)
    def check(drawn, replicas):
        engines = _build(drawn)
        usable = [each for each in engines if not each.is_leaving]
        demand_by_version = {
            name: ReplicaDemand(name, min(count, len(usable)), 1)
            for name, count in replicas.items()
            if usable
        }
        if len(demand_by_version) > CAPACITY:
            return
        withdrawn = frozenset(VERSIONS) - set(demand_by_version)
        for _ in range(40):
            engines = _apply(
                engines, plan_pool(engines, demand_by_version, withdrawn, 1)
            )
        for name, demand in demand_by_version.items():
            assert len(_loaded(engines, name)) >= demand.replicas

    check()


@given("a pool of {count:d} engines with {slots:d} slots")
def step_impl(context, count, slots):
    context.engines = [_engine(f"engine-{index}", "a", "1") for index in range(count)]
    context.tracker = DemandTracker()
    context.now_ms = 0


@given("a pool of {engines}")
def step_impl(context, engines):
    context.engines = []
    for part in engines.split():
        name, _, versions = part.partition(":")
        held = [each for each in versions.split(",") if each]
        context.engines.append(_engine(name, f"zone-{name}", held))


@when("{demand} is desired and {withdrawn} is withdrawn")
def step_impl(context, demand, withdrawn):
    demand_by_version = {}
    for version, replicas in re.findall(r"(\d)x(\d)", demand):
        demand_by_version[version] = ReplicaDemand(version, int(replicas), 1)
    names = frozenset() if withdrawn == "nothing" else frozenset(withdrawn.split(","))
    context.plans = plan_pool(context.engines, demand_by_version, names, 10)


@then("the plans are {plans}")
def step_impl(context, plans):
    plans_found = [
        f"{plan.engine.name}:{','.join(sorted(plan.versions))}"
        for plan in context.plans
    ]
    assert (" ".join(plans_found) or "none") == plans, plans_found


@given("a lease that lasts {lease_ms:d} ms and was claimed {claimed_ms:d} ms ago")
def step_impl(context, lease_ms, claimed_ms):
    clock = ManualClock(100_000.0)
    context.lease = LeaseState(1, "a")
    context.lease.held_until_ms = clock.now_ms() + lease_ms
    context.lease.claimed_ms = clock.now_ms() - claimed_ms
    context.sender = OrderSender(clock, ["ignoring"], None)


@then("an order to an engine that checks fencing tokens is {fate}")
def step_impl(context, fate):
    problem = context.sender.refusal_reason(context.lease, "checking")
    assert (fate == "refused") == bool(problem), problem


@then("an order to an engine that ignores fencing tokens is {fate}")
def step_impl(context, fate):
    problem = context.sender.refusal_reason(context.lease, "ignoring")
    assert (fate == "refused") == bool(problem), problem


@then("any order of takeovers starts no more loads than the shard's rate allows")
def step_impl(context):
    turn = strategies.tuples(strategies.integers(0, 40_000), strategies.booleans())

    @PROPERTY
    @forall(strategies.lists(turn, max_size=30))
    def check(turns):
        per_minute, shards = 64, 16
        holders = [LoadBudget(per_minute, shards) for _ in range(2)]
        holder, fencing, now_ms, loads = 0, 1, 0.0, 0
        holders[holder].available(fencing, now_ms)
        for step_ms, changes_holder in turns:
            now_ms += step_ms
            if changes_holder:
                holder, fencing = 1 - holder, fencing + 1
            count = holders[holder].available(fencing, now_ms)
            holders[holder].spend(count)
            loads += count
            assert loads <= now_ms * per_minute / shards / 60_000 + 1e-6

    check()


@when("{count:d} requests run on version 1")
def step_impl(context, count):
    for engine in context.engines:
        engine.running_by_version = {"1": count / len(context.engines)}


@when("{passed_ms:d} ms pass")
def step_impl(context, passed_ms):
    context.now_ms += passed_ms


@then("{count:d} replicas are desired")
def step_impl(context, count):
    demand_by_version = context.tracker.update(["1"], context.engines, context.now_ms)
    assert demand_by_version["1"].replicas == count, demand_by_version["1"].replicas


@given("an engine that holds 1 and {checks}")
def step_impl(context, checks):
    context.checks_fencing = checks == "checks tokens"


@when("an order with {order} arrives")
def step_impl(context, order):
    context.held = asyncio.run(_apply_orders(context.checks_fencing, order))


async def _apply_orders(checks_fencing, text):
    """Return the versions that an engine holds after the orders given in a text."""
    weights = WeightsStandin({"1": 0.5, "2": 0.6, "3": 0.7})
    if "failing" in text:
        weights.faults.add(Fault("fetch", "slow", 1, 1))
        weights.faults.add(Fault("fetch", "down", None))
    engine = EngineStandin("engine", {"1": 0.5}, checks_fencing=checks_fencing)
    engine.orders.weights = WeightStore.from_url(await weights.start())
    address = await engine.start()
    orders = re.findall(r"token (\d) for ([\d,]+)", text)
    async with aiohttp.ClientSession() as session:
        for fencing, versions in reversed(orders):
            not_after_ms = 0 if "past" in text else 10**15
            order = Order("o", int(fencing), versions.split(","), "", not_after_ms)
            url = f"http://{address}/v1/orders"
            async with session.post(url, data=encode_json(order.to_json())):
                pass
            while engine.orders.is_loading:
                await asyncio.sleep(0.01)
    held = sorted(engine.quality_by_version)
    await engine.stop()
    await weights.stop()
    return held


@then("the engine holds {versions}")
def step_impl(context, versions):
    assert context.held == versions.split(","), context.held


@when("one controller places {engines:d} engines")
def step_impl(context, engines):
    context.engines = engines
    context.period_ms = placement_period_ms(engines)


@then("it reads at most {bytes_per_s:d} bytes a second of reports")
def step_impl(context, bytes_per_s):
    read = context.engines * BYTES_PER_POLL * 1000 / context.period_ms
    assert 0 < read <= bytes_per_s, read
