"""Steps about tasks that fail."""

import asyncio
import logging
import random
from unittest import mock

import aiohttp
from behave import given, then, when

from stoatpath import replacements, supervisors
from stoatpath.clock import Clock, ManualClock
from stoatpath.configuration.route_keepers import RouteKeeper
from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.relays import TableRelay
from stoatpath.gateway_metrics import gateway_samples
from stoatpath.gateways import Gateway
from stoatpath.membership.gossip import Gossip
from stoatpath.membership.watchers import BackendWatcher
from stoatpath.platform import names
from stoatpath.rollouts.release_keepers import ReleaseKeeper
from stoatpath.standins.deployments import Deployment
from stoatpath.standins.sites import Site
from stoatpath.supervisors import Supervisor
from stoatpath.utils import cancel_and_wait, decode_json

TABLES_BY_TASK = {
    "operator-rows": "op",
    "server-rows": "servers",
    "status-rows": "status",
    "quarantine-rows": "quarantines",
}
RUNS_BY_TASK = {
    "gossip": (Gossip, "run"),
    "tables": (TableRelay, "run"),
    "releases": (ReleaseKeeper, "run"),
    "maintenance": (Gateway, "_run_maintenance"),
}


class RecordedLines(logging.Handler):
    """Keeps the records of the package."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def of_event(self, event):
        return [each for each in self.records if each.msg == event]


def record_lines(context):
    lines = RecordedLines()
    logger = logging.getLogger("stoatpath")
    logger.addHandler(lines)
    context.add_cleanup(logger.removeHandler, lines)
    return lines


def replace(context, owner, name, function):
    patch = mock.patch.object(owner, name, function)
    patch.start()
    context.add_cleanup(patch.stop)


async def wait_until(condition, seconds=8):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def wait_ready(gateway):
    """Return the status of a probe of the readiness listener."""
    async with aiohttp.ClientSession() as session:
        url = f"http://{gateway.ready_server.address}{names.READY_PATH}"
        async with session.get(url) as response:
            return response.status


@given("a gateway whose {task} fails once with an unexpected error")
def step_impl(context, task):
    context.calls = 0
    context.lines = record_lines(context)
    context.task = task
    context.rows_in_order = []
    if task in RUNS_BY_TASK:
        owner, name = RUNS_BY_TASK[task]
        table = None
    else:
        owner, name = TableFollower, "run"
        table = TABLES_BY_TASK[task]
    original = getattr(owner, name)

    async def fail_once(instance):
        if table is not None and not instance._table.startswith(table[:3]):
            return await original(instance)
        context.calls += 1
        if context.calls == 1:
            raise ZeroDivisionError("unexpected")
        return await original(instance)

    replace(context, owner, name, fail_once)


@when("800 ms have passed")
def step_impl(context):
    async def work():
        deployment = Deployment()
        try:
            await deployment.start(models=0, plain=1, gateways=0)
            gateway = await deployment.add_gateway("gateway-0")
            await asyncio.sleep(0.8)
            context.samples = gateway_samples(gateway)
        finally:
            await deployment.stop()

    asyncio.run(work())


@then("{task} has run again")
def step_impl(context, task):
    assert context.calls == 2, context.calls


@then("the failure is counted and logged with what its loss means")
def step_impl(context):
    counts = [
        each.value
        for each in context.samples
        if each.name == "stoatpath_task_failures_total"
        and each.labels["task"] == context.task
    ]
    assert counts == [1], counts
    (line,) = context.lines.of_event("supervisor.task-failed")
    assert line.task == context.task and line.loss, vars(line)
    assert line.loss == supervisors.LOSS_BY_TASK[context.task]


@given("a gateway on which revision 2 of the configuration raises an error")
def step_impl(context):
    original = RouteKeeper.apply

    def apply(keeper, row):
        if decode_json(row.value)["version"] == 2:
            raise ZeroDivisionError("unexpected")
        return original(keeper, row)

    replace(context, RouteKeeper, "apply", apply)
    context.lines = record_lines(context)


@when("revision 2 is written together with another row, and then revision 3")
def step_impl(context):
    async def work():
        deployment = Deployment()
        try:
            await deployment.start()
            gateway = deployment.gateways[0]
            order = {"service": "desk-assist", "to": "v2", "duration_s": 60}
            config = deployment.config
            await deployment.store.put("op", "config", config | {"version": 2})
            await deployment.store.put("op", "rollout/desk-assist", order)
            orders = gateway.releases.registry.orders_by_service
            await wait_until(lambda: "desk-assist" in orders)
            await deployment.store.put("op", "config", config | {"version": 3})
            await wait_until(lambda: gateway.routes.table.revision == 3)
        finally:
            await deployment.stop()

    context.work = work


@then("revision 3 is in force and the other row was applied")
def step_impl(context):
    asyncio.run(context.work())
    assert [each.row for each in context.lines.of_event("store.row-failed")] == [
        "config"
    ]


@given("a table relay whose check of ages fails once")
def step_impl(context):
    context.running = {"ages": 0, "steps": 0, "versions": 0}
    context.calls = 0

    async def watch_age(relay):
        context.calls += 1
        if context.calls == 1:
            raise ZeroDivisionError("unexpected")
        await count("ages")

    async def run_steps(relay):
        await count("steps")

    async def catch_up(relay):
        await count("versions")

    async def count(name):
        context.running[name] += 1
        try:
            await asyncio.Event().wait()
        finally:
            context.running[name] -= 1

    replace(context, TableRelay, "_watch_age", watch_age)
    replace(context, TableRelay, "_run_steps", run_steps)
    replace(context, TableRelay, "_catch_up", catch_up)


@when("it is run under a supervisor")
def step_impl(context):
    async def work():
        relay = object.__new__(TableRelay)
        tasks = Supervisor(Clock(), random.Random(1)).start({"tables": relay.run})
        await asyncio.sleep(0.4)
        context.seen = dict(context.running)
        await cancel_and_wait(tasks)

    asyncio.run(work())


@then("one check of ages, one series of steps and one of versions are running")
def step_impl(context):
    assert context.seen == {"ages": 1, "steps": 1, "versions": 1}, context.seen
    assert context.running == {"ages": 0, "steps": 0, "versions": 0}, context.running


@given("a router whose watcher of backend servers fails once")
def step_impl(context):
    context.calls = 0
    original = BackendWatcher.run

    async def fail_once(watcher):
        context.calls += 1
        if context.calls == 1:
            raise ZeroDivisionError("unexpected")
        await original(watcher)

    replace(context, BackendWatcher, "run", fail_once)


@when("800 ms have passed on the site")
def step_impl(context):
    async def work():
        site = Site()
        try:
            await site.start(routers=1)
            (router,) = site.routers_by_name.values()
            await wait_until(lambda: router.backends.by_name)
            context.failures = router.node.supervisor.failures_by_task
        finally:
            await site.stop()

    asyncio.run(work())


@then("the router knows a backend server that was added afterwards")
def step_impl(context):
    assert context.failures["backends"] == 1, context.failures
    assert sum(context.failures.values()) == 1, context.failures
    assert context.calls == 2


@given("a supervised task that fails each time")
def step_impl(context):
    context.clock = ManualClock()
    context.supervisor = Supervisor(context.clock, random.Random(3))


@when("its failures are followed for 60 s")
def step_impl(context):
    context.starts_ms = []
    context.lasting_ms = None
    clock = context.clock

    async def run():
        context.starts_ms.append(clock.now_ms())
        if clock.now_ms() < 60_000:
            raise ZeroDivisionError("unexpected")
        await asyncio.Event().wait()

    async def work():
        tasks = context.supervisor.start({"releases": run})
        while clock.now_ms() < 90_000:
            for _ in range(4):
                await asyncio.sleep(0)
            if context.supervisor.lasting_failures():
                context.last_lasting_ms = clock.now_ms()
                if context.lasting_ms is None:
                    context.lasting_ms = clock.now_ms()
            clock.advance_by(5)
        await cancel_and_wait(tasks)

    asyncio.run(work())


@then("its pauses are between half of and the full 100 ms, 200 ms and so on to 5 s")
def step_impl(context):
    starts = context.starts_ms
    pauses = [later - earlier for earlier, later in zip(starts, starts[1:])]
    assert len(pauses) > 12, pauses
    for number, pause_ms in enumerate(pauses):
        limit_ms = min(5_000, 100 * 2**number)
        assert limit_ms / 2 <= pause_ms <= limit_ms + 10, (number, pause_ms)
    assert len({round(each) for each in pauses[-5:]}) > 1, "no jitter"


@then("it counts as failing for long only after 30 s")
def step_impl(context):
    assert 30_000 <= context.lasting_ms <= 30_010, context.lasting_ms


@then("it no longer does once it has run for 10 s")
def step_impl(context):
    ended_ms = context.starts_ms[-1] + supervisors.RECOVERED_AFTER_MS
    assert ended_ms - 10 <= context.last_lasting_ms <= ended_ms


@given("a supervised task that returns, and one that raises CancelledError")
def step_impl(context):
    context.calls = {"returns": 0, "raises": 0}

    async def return_at_once():
        context.calls["returns"] += 1

    async def raise_cancelled():
        context.calls["raises"] += 1
        child = asyncio.create_task(asyncio.sleep(10))
        child.cancel()
        await child

    async def work():
        supervisor = Supervisor(Clock(), random.Random(1))
        runs_by_name = {"returns": return_at_once, "raises": raise_cancelled}
        context.tasks = supervisor.start(runs_by_name)
        await asyncio.sleep(0.5)
        context.were_running = [not each.done() for each in context.tasks]
        await asyncio.wait_for(cancel_and_wait(context.tasks), 1)

    asyncio.run(work())


@then("both were started again, and both end when they are cancelled")
def step_impl(context):
    assert all(count >= 3 for count in context.calls.values()), context.calls
    assert context.were_running == [True, True]
    assert all(each.cancelled() for each in context.tasks)


def fail_lastingly(context):
    replace(context, supervisors, "LASTING_AFTER_MS", 200.0)
    replace(context, replacements, "CHECK_PERIOD_MS", 100.0)

    async def fail():
        raise ZeroDivisionError("unexpected")

    return fail


async def start_pair(deployment):
    """Start two gateways that know each other."""
    await deployment.start(models=1, plain=1, gateways=1)
    (first,) = deployment.gateways
    second = await deployment.add_gateway(
        "gateway-1", seeds=[first.members.local.address]
    )
    await deployment.wait_until_in_sync()
    await wait_until(lambda: first.members.peers() and second.members.peers())
    return first, second


@given("two gateways, and a task of the first that keeps failing")
def step_impl(context):
    fail = fail_lastingly(context)

    async def work():
        deployment = Deployment()
        try:
            first, second = await start_pair(deployment)
            first._tasks += first.supervisor.start({"releases": fail})
            await wait_until(lambda: not first.is_ready())
            context.statuses = [await wait_ready(first), await wait_ready(second)]
            context.is_listening = not first.listener.is_leaving
            await asyncio.sleep(1)
            context.statuses += [await wait_ready(first), await wait_ready(second)]
        finally:
            await deployment.stop()

    asyncio.run(work())


@then("the first says that it is not ready and serves on, and the second is ready")
def step_impl(context):
    assert context.statuses == [503, 200, 503, 200], context.statuses
    assert context.is_listening


@given("two gateways, and a task of both that keeps failing")
def step_impl(context):
    fail = fail_lastingly(context)
    context.both_unready = 0

    async def work():
        deployment = Deployment()
        try:
            pair = await start_pair(deployment)
            for each in pair:
                each._tasks += each.supervisor.start({"releases": fail})
            await wait_until(
                lambda: all(each.supervisor.lasting_failures() for each in pair)
            )
            for _ in range(200):
                context.both_unready += not any(each.is_ready() for each in pair)
                await asyncio.sleep(0.01)
        finally:
            await deployment.stop()

    asyncio.run(work())


@then("at least one of them is ready at every moment")
def step_impl(context):
    assert context.both_unready == 0, context.both_unready


@given("a gateway alone with a task that keeps failing")
def step_impl(context):
    fail = fail_lastingly(context)

    async def work():
        deployment = Deployment()
        try:
            await deployment.start(models=1, plain=1)
            (gateway,) = deployment.gateways
            gateway._tasks += gateway.supervisor.start({"releases": fail})
            await wait_until(gateway.supervisor.lasting_failures)
            await asyncio.sleep(0.5)
            context.status = await wait_ready(gateway)
        finally:
            await deployment.stop()

    asyncio.run(work())


@then("it stays ready")
def step_impl(context):
    assert context.status == 200
