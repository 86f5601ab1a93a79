"""Steps on a store that comes back from an older copy of its rows."""

import asyncio

from backpressure_steps import FleetFixture
from behave import given, then, when
from callers import wait_until

from stoatpath.platform.row_stores import Conflict, RowWrite
from stoatpath.standins.deployments import PLAIN_SERVICE

ORDER = {"service": PLAIN_SERVICE, "to": "v2", "duration_s": 60}
STATUS_KEY = f"rollout/{PLAIN_SERVICE}"


def store_of(context):
    return context.fleet.deployment.store


@given("{count:d} gateways that know each other, and a copy of the store")
def step_impl(context, count):
    context.fleet = FleetFixture(count, 2)
    context.add_cleanup(context.fleet.close)
    context.copy = store_of(context).copy_rows()


@when("{count:d} configurations are written, and the store comes back from the copy")
def step_impl(context, count):
    fleet = context.fleet
    deployment = fleet.deployment
    for _ in range(count):
        fleet.run(deployment.update_config())
    context.revision = deployment.config["version"]
    context.confirmed = [
        each.operator_rows.copy.confirmed_ms for each in fleet.gateways
    ]
    fleet.run(deployment.store.restore(context.copy))


@then("no gateway goes back to an earlier configuration")
def step_impl(context):
    context.fleet.run(asyncio.sleep(0.5))
    for gateway in context.fleet.gateways:
        assert gateway.routes.table.revision == context.revision


@then("all gateways confirm their routes again within {seconds:d} s")
def step_impl(context, seconds):
    era = store_of(context).era
    gateways = context.fleet.gateways

    def are_confirmed():
        return all(
            gateway.store_era == era
            and gateway.routes.age_ms(gateway.clock.now_ms()) < 1_000
            for gateway in gateways
        )

    assert context.fleet.run(wait_until(are_confirmed, seconds))


@then("they put the next configuration in force that the operator writes")
def step_impl(context):
    context.fleet.run(context.fleet.deployment.update_config())


@when(
    "a backend server is listed, and the store comes back from the copy "
    "with another instead"
)
def step_impl(context):
    fleet = context.fleet
    store = store_of(context)
    row = {**fleet.replica("p0").server_row(), "address": "127.0.0.1:9"}

    async def work():
        await store.put("servers", "first", row)
        assert await wait_until(
            lambda: all("first" in each.backends.by_name for each in fleet.gateways)
        )
        await store.restore(context.copy)
        await store.put("servers", "other", row)

    fleet.run(work())


@then("all gateways list the other one, and in the end not the first")
def step_impl(context):
    def names():
        return [set(each.backends.by_name) for each in context.fleet.gateways]

    expected = {"p0", "p1", "other"}
    assert context.fleet.run(
        wait_until(lambda: all(each == expected for each in names()))
    ), names()


@given("a roll-out that is then {state}")
def step_impl(context, state):
    fleet = context.fleet
    store = store_of(context)

    async def work():
        await store.put("op", STATUS_KEY, ORDER)
        assert await wait_until(
            lambda: (store.value("status", STATUS_KEY) or {}).get("state") == "running"
        )
        status = store.value("status", STATUS_KEY) | {"state": state}
        await store.put("status", STATUS_KEY, status)
        assert await wait_until(
            lambda: not any(
                each.releases.registry.open_orders() for each in fleet.gateways
            )
        )

    fleet.run(work())


@when("the store comes back from the copy, and the operator writes the order again")
def step_impl(context):
    store = store_of(context)

    async def work():
        await store.restore(context.copy)
        await store.put("servers", "unrelated", {})
        await store.put("op", STATUS_KEY, ORDER)

    context.fleet.run(work())


@when(
    "the store comes back from the copy, "
    "and the order is written again after its status"
)
def step_impl(context):
    store = store_of(context)

    async def work():
        await store.restore(context.copy)
        await store.put("servers", "unrelated", {})
        assert await wait_until(lambda: store.value("status", STATUS_KEY), 10)
        await store.put("op", STATUS_KEY, ORDER)

    context.fleet.run(work())


@then("a gateway that starts then has no open roll-out")
def step_impl(context):
    fleet = context.fleet
    seed = fleet.gateways[0].peer_server.address

    async def work():
        await fleet.deployment.add_gateway("gateway-later", seeds=[seed])
        await fleet.deployment.wait_until_in_sync()
        await asyncio.sleep(1.5)

    fleet.run(work())
    registry = fleet.gateways[-1].releases.registry
    known = (registry.orders_by_service, registry.statuses_by_service)
    orders = [(o.version, o.era) for o in known[0].values()]
    statuses = [(s.state, s.order_version, s.version) for s in known[1].values()]
    assert orders and not registry.open_orders(), (orders, statuses)


@then("the store holds the status {state} again within {seconds:d} s")
def step_impl(context, state, seconds):
    store = store_of(context)

    def is_held():
        status = store.value("status", STATUS_KEY) or {}
        order = store.version("op", STATUS_KEY)
        return (status.get("state"), status.get("order")) == (state, order)

    held = context.fleet.run(wait_until(is_held, seconds))
    assert held, (store.value("status", STATUS_KEY), store.version("op", STATUS_KEY))


@then("no gateway has an open roll-out")
def step_impl(context):
    context.fleet.run(asyncio.sleep(1.5))
    for gateway in context.fleet.gateways:
        assert not gateway.releases.registry.open_orders()


@when("backend server {name} begins to leave, and the store comes back from the copy")
def step_impl(context, name):
    fleet = context.fleet
    row = fleet.replica(name).server_row("draining")
    backends = fleet.gateways[0].backends

    async def work():
        await store_of(context).put("servers", name, row)
        assert await wait_until(lambda: backends.by_name[name].is_leaving)
        await store_of(context).restore(context.copy)

    fleet.run(work())


@then("{name} gets no look request")
def step_impl(context, name):
    fleet = context.fleet
    fleet.run(fleet.send_steadily(40, 0.5))
    assert fleet.replica(name).received_count == 0


@when(
    "a row is written, and the store comes back from the copy "
    "with another row of that version"
)
def step_impl(context):
    store = store_of(context)
    client = context.fleet.gateways[0].store

    async def work():
        first = await client.write([RowWrite("status", "x", b"first", 0)])
        await store.restore(context.copy)
        await store.put("status", "x", b"another")
        context.first_version = first.version
        context.result = await client.read("status")

    context.fleet.run(work())


@then("a write on condition of the first row's version is refused")
def step_impl(context):
    client = context.fleet.gateways[0].store
    write = RowWrite("status", "x", b"second", context.first_version)
    assert isinstance(context.fleet.run(client.write([write])), Conflict)
