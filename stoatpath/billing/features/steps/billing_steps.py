"""Steps about billing records."""

import asyncio

from behave import given, then, when
from billing_rig import World
from hypothesis import given as forall, settings, strategies

from stoatpath.outcomes import Outcome


def run(scenario, **sizes):
    """Run a coroutine function on a world of its own."""

    async def main():
        world = World(**sizes)
        try:
            await scenario(world)
        finally:
            world.close()
            await asyncio.sleep(0)

    asyncio.run(main())


def add(context, step):
    context.script.append(step)


def play(context, check):
    """Run all steps so far in a fresh world, then the check."""

    async def scenario(world):
        world.first = world.by_name["r0"]
        world.numbers = 0
        for step in context.script:
            await step(world)
        await check(world)

    run(scenario, **context.sizes)
    add(context, check)


@given("{routers:d} routers in {zones:d} zones")
@given("{routers:d} routers in {zones:d} zone")
def step_impl(context, routers, zones):
    context.sizes = {"processes": routers, "zones": zones}
    context.script = []


@given('a table that meets "{faults}"')
def step_impl(context, faults):
    async def step(world):
        world.table.faults += faults.split(", ")

    add(context, step)


@given("a table that is out for {seconds:d} s")
def step_impl(context, seconds):
    async def step(world):
        world.table.outage = ("request-lost", world.clock.now_ms() + seconds * 1_000)

    add(context, step)


@given("{count:d} lost reply of a peer")
def step_impl(context, count):
    async def step(world):
        world.lost_replies = count

    add(context, step)


@when("a router bills {count:d} requests")
@when("a router bills {count:d} requests with {seconds:d} s left")
def step_impl(context, count, seconds=1_000):
    async def step(world):
        for _ in range(count):
            world.numbers += 1
            world.first.bill(world.numbers, world.clock.now_ms() + seconds * 1_000)

    add(context, step)


@when("{duration:d} ms pass")
def step_impl(context, duration):
    async def step(world):
        await world.advance(duration)

    add(context, step)


@when("that router is killed")
def step_impl(context):
    async def step(world):
        world.first.kill()
        world.mark_dead("r0")

    add(context, step)


@when("that router is paused for {seconds:d} s and counts as dead")
def step_impl(context, seconds):
    async def step(world):
        world.first.clock.paused_until_ms = world.clock.now_ms() + seconds * 1_000
        world.mark_dead("r0")

    add(context, step)


def _holder(world):
    held = [each for each in world.by_name.values() if each.holder.held_records]
    assert len(held) == 1, [each.name for each in held]
    return held[0]


@when("the peer that holds its copies is killed")
def step_impl(context):
    async def step(world):
        holder = _holder(world)
        holder.kill()
        world.mark_dead(holder.name)

    add(context, step)


@when("the peer that holds its copies stops gracefully")
def step_impl(context):
    async def step(world):
        holder = _holder(world)
        task = asyncio.create_task(holder.holder.hand_over())
        while not task.done():
            await world.advance(100, 10)
        holder.kill()
        world.mark_dead(holder.name)

    add(context, step)


@when("that router stops gracefully")
def step_impl(context):
    async def step(world):
        task = asyncio.create_task(world.first.outbox.flush())
        while not task.done():
            await world.advance(100, 10)
            await asyncio.sleep(0.002)
        world.first.kill()
        world.mark_dead("r0")

    add(context, step)


@when("a router bills {rate:d} requests a second for {seconds:d} s")
def step_impl(context, rate, seconds):
    async def step(world):
        ticks = seconds * 500
        for tick in range(ticks):
            for _ in range(rate * seconds * (tick + 1) // ticks - world.numbers):
                world.numbers += 1
                world.first.bill(world.numbers)
            await world.advance(2)

    add(context, step)


@then("all records are safe and none is in the ledger")
def step_impl(context):
    async def check(world):
        assert len(world.safe()) == len(world.records) > 0
        assert await world.billed() == []

    play(context, check)


@then("all records are safe and each is in the ledger once")
def step_impl(context):
    async def check(world):
        assert len(world.safe()) == len(world.records) > 0, len(world.safe())
        assert await world.billed() == world.safe()

    play(context, check)


@then("after {seconds:d} s each is in the ledger once")
def step_impl(context, seconds):
    async def check(world):
        await world.advance(seconds * 1_000)
        assert await world.billed() == sorted(each for each, _ in world.records)

    play(context, check)


@then("each is in the ledger once")
def step_impl(context):
    async def check(world):
        assert await world.billed() == sorted(each for each, _ in world.records)

    play(context, check)


@then("no record is said to be safe")
def step_impl(context):
    async def check(world):
        assert all(task.done() for _, task in world.records)
        outcomes = {task.result().outcome for _, task in world.records}
        assert outcomes == {Outcome.UNKNOWN}

    play(context, check)


@then("new work is refused as not run")
def step_impl(context):
    async def check(world):
        assert world.first.outbox.check_backlog().outcome is Outcome.NOT_RUN

    play(context, check)


@then("new work is taken")
def step_impl(context):
    async def check(world):
        assert world.first.outbox.check_backlog() is None

    play(context, check)


@then("at most {most:d} writes are made")
def step_impl(context, most):
    async def check(world):
        assert world.table.writes <= most, world.table.writes

    play(context, check)


FAULTS = ["none", "none", "slow", "down", "reply-lost", "write-lost", "late"]
_events = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["bill", "bill", "bill", "kill", "pause", "cut", "join", "lose-reply"]
        ),
        strategies.integers(0, 2),
        strategies.integers(0, 6_000),
    ),
    min_size=2,
    max_size=12,
)


async def _play_event(world, kind, process):
    now_ms = world.clock.now_ms()
    if kind == "bill" and not process.is_killed:
        for _ in range(3):
            world.numbers += 1
            process.bill(world.numbers, now_ms + 8_000)
    elif kind == "kill" and sum(not each.is_killed for each in _all(world)) == 3:
        process.kill()
        world.mark_dead(process.name)
    elif kind == "pause":
        process.clock.paused_until_ms = now_ms + 7_000
        world.mark_dead(process.name)
    elif kind == "cut":
        process.is_cut_off = True
    elif kind == "join":
        process.is_cut_off = False
    elif kind == "lose-reply":
        world.lost_replies += 1


def _all(world):
    return world.by_name.values()


@then("over random faults, pauses and kills each safe record is written once")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=80)
    @forall(_events, strategies.lists(strategies.sampled_from(FAULTS), max_size=12))
    def check(events, faults):
        async def scenario(world):
            world.numbers = 0
            world.table.faults += faults
            for kind, index, wait_ms in events:
                await _play_event(world, kind, world.by_name[f"r{index}"])
                await world.advance(wait_ms, 10)
            for process in _all(world):
                process.is_cut_off = False
            await world.advance(50_000, 25)
            billed = await world.billed()
            assert len(billed) == len(set(billed)), "a record is in the ledger twice"
            missing = set(world.safe()) - set(billed)
            assert not missing, f"safe records are lost: {missing}"

        run(scenario)

    check()
