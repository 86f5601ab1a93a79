"""Steps about a store that is away, and what gateways know meanwhile."""

import asyncio
import time

from behave import given, then, when
from callers import call, headers_of, wait_until
from relaying_steps import World

from stoatpath.gateways import poll_times_by_table
from stoatpath.platform.boot_files import BootFile
from stoatpath.platform.names import SERVERS_TABLE
from stoatpath.standins.deployments import boot_mapping
from stoatpath.standins.faults import Fault

FAULT_BY_HOW = {
    "is down": "down",
    "refuses by rate": "throttled",
    "answers nothing": "silent",
}
OPERATIONS = ("read", "feed", "tx")


def break_store(store, kind):
    for operation in OPERATIONS:
        store.faults.add(Fault(operation, kind, None))


@given("a deployment whose keys must be confirmed within {limit:d} ms")
def step_impl(context, limit):
    world = context.world = World()
    context.add_cleanup(world.close)
    world.run(world.deployment.gateways.pop().kill())
    world.run(world.deployment.add_gateway("strict", revoke_ms=limit))
    world.run(world.deployment.wait_until_in_sync())


@given("a deployment with {count:d} gateways")
def step_impl(context, count):
    world = context.world = World()
    context.add_cleanup(world.close)
    for number in range(1, count):
        world.run(world.deployment.add_gateway(f"gateway-{number}"))
    world.run(world.deployment.wait_until_in_sync())


async def keep_calling(world, seconds):
    """Return pairs of the time of sending and what was told, by route."""
    told_by_route = {"look": [], "open": []}
    began_s = time.monotonic()
    number = 0
    while time.monotonic() - began_s < seconds:
        for route, told in told_by_route.items():
            number += 1
            sent_s = time.monotonic()
            headers = headers_of(route, number)
            if route == "open":
                del headers["Authorization"]
            told.append((sent_s, await call(world.gateway, route, number, headers)))
        await asyncio.sleep(0.02)
    return told_by_route


@when("the store is down and requests go on coming for {wait:d} ms")
def step_impl(context, wait):
    world = context.world
    break_store(world.deployment.store, "down")
    context.broken_s = time.monotonic()
    context.told = world.run(keep_calling(world, wait / 1000))


@when("the store answers nothing, its key is taken away, and requests go on coming")
def step_impl(context):
    world = context.world

    async def work():
        store = world.deployment.store
        break_store(store, "silent")
        context.broken_s = time.monotonic()
        config = world.deployment.config | {"version": 9}
        config["tenants"] = [{"name": "harbour", "api_keys": ["another"]}]
        store.withholds_changes = True
        await store.put("op", "config", config)
        return await keep_calling(world, 2.5)

    context.told = world.run(work())


@then("no keyed request ran later than {limit:d} ms after the key was taken away")
@then(
    "keyed requests got 200 at first and 503 in the end, none after {limit:d} ms got 200"
)
def step_impl(context, limit):
    told = context.told["look"]
    statuses = [each.status for _, each in told]
    assert statuses[0] == 200 and statuses[-1] == 503, statuses
    for sent_s, each in told:
        if each.status == 200:
            assert sent_s - context.broken_s <= limit / 1000


@then("the refusals say when to come back, and nothing of them ran")
def step_impl(context):
    ran = {run.request_id for run in context.world.runs()}
    for _, told in context.told["look"]:
        if told.status == 503:
            assert 0 < float(told.headers["Retry-After"]) <= 1
    served = sum(told.status == 200 for _, told in context.told["look"])
    opened = len(context.told["open"])
    assert len(ran) == served + opened, (len(ran), served, opened)


@then("public requests got 200 all the while")
def step_impl(context):
    assert {told.status for _, told in context.told["open"]} == {200}


@when("the operator takes the key away")
def step_impl(context):
    tenants = [{"name": "harbour", "api_keys": ["another"]}]
    context.world.run(context.world.deployment.update_config(tenants=tenants))


@then("every gateway answers {status:d}")
def step_impl(context, status):
    for gateway in context.world.deployment.gateways:
        told = context.world.run(call(gateway, "look"))
        assert told.status == status, told.status


@when("a gateway starts while the store {how}")
def step_impl(context, how):
    deployment = context.world.deployment
    break_store(deployment.store, FAULT_BY_HOW[how])
    context.gateway = context.world.run(deployment.add_gateway("late"))


@then("it is not ready, and answers {status:d} to a request")
def step_impl(context, status):
    assert not context.gateway.is_ready()
    told = context.world.run(call(context.gateway, "look"))
    assert told.status == status, told.status


@then("it serves once the store is back")
def step_impl(context):
    deployment = context.world.deployment
    deployment.store.faults.clear()
    context.world.run(deployment.wait_until_in_sync())
    assert context.world.run(call(context.gateway, "look")).status == 200


@when("the operator makes {count:d} changes in quick succession")
def step_impl(context, count):
    world = context.world

    async def work():
        deployment = world.deployment
        for _ in range(count):
            version = deployment.config["version"] + 3
            deployment.config = deployment.config | {"version": version}
            await deployment.store.put("op", "config", deployment.config)
        await deployment.wait_until_in_sync()

    world.run(work())


@then("every gateway has the last one in force")
def step_impl(context):
    deployment = context.world.deployment
    revisions = {each.routes.table.revision for each in deployment.gateways}
    assert revisions == {deployment.config["version"]}, revisions


@when("the operator's row holds an older revision, then bytes that are not JSON")
def step_impl(context):
    world = context.world
    world.run(world.deployment.update_config())

    async def work():
        store = world.deployment.store
        rows = world.gateway.operator_rows.copy
        for value in (world.deployment.config | {"version": 1, "routes": []}, b"\xff"):
            before = rows.version
            await store.put("op", "config", value)
            assert await wait_until(lambda: rows.version > before)

    world.run(work())


@then("the revision in force stays, and requests are served")
def step_impl(context):
    world = context.world
    assert world.gateway.routes.table.revision == world.deployment.config["version"]
    assert world.run(call(world.gateway, "look")).status == 200


@when("the operator lowers the limit of bodies to {limit:d} bytes")
def step_impl(context, limit):
    deployment = context.world.deployment
    limits = deployment.config["limits"] | {"max_body_bytes": limit}
    context.world.run(deployment.update_config(limits=limits))


@then("a body of {size:d} bytes is refused as too large")
def step_impl(context, size):
    told = context.world.run(call(context.world.gateway, "book", body=b"x" * size))
    assert told.status == 413, told.status


@when(
    "the settings are read again with keys to be confirmed within {limit:d} ms "
    "and no retries"
)
def step_impl(context, limit):
    gateway = context.world.gateway
    bounds = {"revoke_ms": limit, "retry_budget_ratio": 0, "budget_slack": 0}
    address = gateway.boot.store_address
    gateway.reload(BootFile.from_mapping(boot_mapping("gateway-0", address, bounds)))


@then("a keyed request is refused as not run, and a public one is served")
def step_impl(context):
    world = context.world
    # The belief is older than a millisecond for most of each wait for changes.
    statuses = {world.run(call(world.gateway, "look", n)).status for n in range(5)}
    assert 503 in statuses, statuses
    headers = headers_of("open", 9, Authorization=None)
    assert world.run(call(world.gateway, "open", 9, headers)).status == 200


@then("the retry budget holds no extra send")
def step_impl(context):
    assert context.world.gateway.retry_budget.remaining("booking-desk") < 1.0


@then("reads of the operator's rows wait for at most {most:d} ms")
def step_impl(context, most):
    store = context.world.deployment.store
    calls = len(store.calls)
    assert context.world.run(wait_until(lambda: len(store.calls) > calls + 1))
    assert 0 < store.wait_ms_by_table["op"] <= most, store.wait_ms_by_table


@when("the settings are read again with keys to be confirmed within {limit:d} ms")
def step_impl(context, limit):
    world = context.world
    mapping = boot_mapping("strict", world.deployment.store_address, {})
    mapping["bounds"] |= {"revoke_ms": limit}
    world.gateway.reload(BootFile.from_mapping(mapping))


@then("changes of backend servers are gathered for less than a drain of {drain:d} ms")
def step_impl(context, drain):
    bounds = {"drain_ms": drain}
    mapping = boot_mapping("strict", context.world.deployment.store_address, bounds)
    wait_ms, gather_ms = poll_times_by_table(BootFile.from_mapping(mapping))[
        SERVERS_TABLE
    ]
    assert 0 < gather_ms <= drain / 2, gather_ms
