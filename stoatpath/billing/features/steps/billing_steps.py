"""Steps for billing records."""

import asyncio

from behave import given, then, when
from billing_rig import Environment
from hypothesis import given as forall, settings, strategies

from stoatpath.outcomes import Outcome


def run(scenario, **sizes):
    """Run a coroutine function in a new environment."""

    async def main():
        environment = Environment(**sizes)
        try:
            await scenario(environment)
        finally:
            environment.close()
            await asyncio.sleep(0)

    asyncio.run(main())


def add_step(context, step):
    context.steps.append(step)


def run_scenario(context, check):
    """Run all steps so far in a new environment, then the check.

    The check becomes a step, so that a later check of the scenario repeats it.
    """

    async def scenario(environment):
        environment.owner = environment.processes_by_name["r0"]
        environment.billed_count = 0
        for step in context.steps:
            await step(environment)
        await check(environment)

    run(scenario, **context.sizes)
    add_step(context, check)


@given("{routers:d} routers in {zones:d} zones")
@given("{routers:d} routers in {zones:d} zone")
def step_impl(context, routers, zones):
    context.sizes = {"processes": routers, "zones": zones}
    context.steps = []


@given('a table that meets "{faults}"')
def step_impl(context, faults):
    async def step(environment):
        environment.table.faults += faults.split(", ")

    add_step(context, step)


@given("a table that loses all requests for {seconds:d} s")
def step_impl(context, seconds):
    async def step(environment):
        environment.table.outage = (
            "request-lost",
            environment.clock.now_ms() + seconds * 1_000,
        )

    add_step(context, step)


@given("{count:d} lost reply of a peer")
def step_impl(context, count):
    async def step(environment):
        environment.lost_replies = count

    add_step(context, step)


@when("a router bills {count:d} requests")
@when("a router bills {count:d} requests with a deadline in {seconds:d} s")
def step_impl(context, count, seconds=1_000):
    async def step(environment):
        for _ in range(count):
            environment.billed_count += 1
            environment.owner.bill(
                environment.billed_count, environment.clock.now_ms() + seconds * 1_000
            )

    add_step(context, step)


@when("{duration:d} ms pass")
def step_impl(context, duration):
    async def step(environment):
        await environment.advance(duration)

    add_step(context, step)


@when("that router is killed")
def step_impl(context):
    async def step(environment):
        environment.owner.kill()
        environment.mark_dead("r0")

    add_step(context, step)


@when("that router is paused for {seconds:d} s and marked as dead")
def step_impl(context, seconds):
    async def step(environment):
        environment.owner.clock.paused_until_ms = (
            environment.clock.now_ms() + seconds * 1_000
        )
        environment.mark_dead("r0")

    add_step(context, step)


def _find_holder(environment):
    holders = [
        each
        for each in environment.processes_by_name.values()
        if each.holder.held_records
    ]
    assert len(holders) == 1, [each.name for each in holders]
    return holders[0]


@when("the peer that holds its copies is killed")
def step_impl(context):
    async def step(environment):
        holder = _find_holder(environment)
        holder.kill()
        environment.mark_dead(holder.name)

    add_step(context, step)


@when("the peer that holds its copies stops gracefully")
def step_impl(context):
    async def step(environment):
        holder = _find_holder(environment)
        task = asyncio.create_task(holder.holder.hand_over())
        while not task.done():
            await environment.advance(100, 10)
        holder.kill()
        environment.mark_dead(holder.name)

    add_step(context, step)


@when("that router stops gracefully")
def step_impl(context):
    async def step(environment):
        task = asyncio.create_task(environment.owner.outbox.flush())
        while not task.done():
            await environment.advance(100, 10)
            await asyncio.sleep(0.002)
        environment.owner.kill()
        environment.mark_dead("r0")

    add_step(context, step)


@when("a router bills {rate:d} requests a second for {seconds:d} s")
def step_impl(context, rate, seconds):
    async def step(environment):
        ticks = seconds * 500
        for tick in range(ticks):
            for _ in range(
                rate * seconds * (tick + 1) // ticks - environment.billed_count
            ):
                environment.billed_count += 1
                environment.owner.bill(environment.billed_count)
            await environment.advance(2)

    add_step(context, step)


@then("all records are durable and none is in the ledger")
def step_impl(context):
    async def check(environment):
        assert len(environment.durable_ids()) == len(environment.records) > 0
        assert await environment.ledger_ids() == []

    run_scenario(context, check)


@then("all records are durable and each is in the ledger once")
def step_impl(context):
    async def check(environment):
        assert len(environment.durable_ids()) == len(environment.records) > 0, len(
            environment.durable_ids()
        )
        assert await environment.ledger_ids() == environment.durable_ids()

    run_scenario(context, check)


@then("after {seconds:d} s each is in the ledger once")
def step_impl(context, seconds):
    async def check(environment):
        await environment.advance(seconds * 1_000)
        assert await environment.ledger_ids() == sorted(
            each for each, _ in environment.records
        )

    run_scenario(context, check)


@then("each is in the ledger once")
def step_impl(context):
    async def check(environment):
        assert await environment.ledger_ids() == sorted(
            each for each, _ in environment.records
        )

    run_scenario(context, check)


@then("no record is reported as durable")
def step_impl(context):
    async def check(environment):
        assert all(task.done() for _, task in environment.records)
        outcomes = {task.result().outcome for _, task in environment.records}
        assert outcomes == {Outcome.UNKNOWN}

    run_scenario(context, check)


@then("new requests are refused as not run")
def step_impl(context):
    async def check(environment):
        assert environment.owner.outbox.check_backlog().outcome is Outcome.NOT_RUN

    run_scenario(context, check)


@then("new requests are accepted")
def step_impl(context):
    async def check(environment):
        assert environment.owner.outbox.check_backlog() is None

    run_scenario(context, check)


@then("at most {most:d} writes are made")
def step_impl(context, most):
    async def check(environment):
        assert environment.table.writes <= most, environment.table.writes

    run_scenario(context, check)


FAULTS = ["none", "none", "slow", "down", "reply-lost", "write-lost", "late"]
_events = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "bill",
                "bill",
                "bill",
                "kill",
                "pause",
                "disconnect",
                "reconnect",
                "lose-reply",
            ]
        ),
        strategies.integers(0, 2),
        strategies.integers(0, 6_000),
    ),
    min_size=2,
    max_size=12,
)


async def _apply_event(environment, kind, process):
    now_ms = environment.clock.now_ms()
    if kind == "bill" and not process.is_killed:
        for _ in range(3):
            environment.billed_count += 1
            process.bill(environment.billed_count, now_ms + 8_000)
    elif (
        kind == "kill"
        and sum(not each.is_killed for each in _processes(environment)) == 3
    ):
        process.kill()
        environment.mark_dead(process.name)
    elif kind == "pause":
        process.clock.paused_until_ms = now_ms + 7_000
        environment.mark_dead(process.name)
    elif kind == "disconnect":
        process.is_disconnected = True
    elif kind == "reconnect":
        process.is_disconnected = False
    elif kind == "lose-reply":
        environment.lost_replies += 1


def _processes(environment):
    return environment.processes_by_name.values()


@then("over random faults, pauses and kills each durable record is written once")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=80)
    @forall(_events, strategies.lists(strategies.sampled_from(FAULTS), max_size=12))
    def check(events, faults):
        async def scenario(environment):
            environment.billed_count = 0
            environment.table.faults += faults
            for kind, index, wait_ms in events:
                await _apply_event(
                    environment, kind, environment.processes_by_name[f"r{index}"]
                )
                await environment.advance(wait_ms, 10)
            for process in _processes(environment):
                process.is_disconnected = False
            await environment.advance(50_000, 25)
            ledger_ids = await environment.ledger_ids()
            assert len(ledger_ids) == len(
                set(ledger_ids)
            ), "a record is in the ledger twice"
            missing = set(environment.durable_ids()) - set(ledger_ids)
            assert not missing, f"durable records are lost: {missing}"

        run(scenario)

    check()
