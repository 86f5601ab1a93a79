"""Steps about store outages, and the configuration that gateways use meanwhile."""

import asyncio
import time

from behave import given, then, when
from callers import request_headers, send_request, wait_until
from relaying_steps import DeploymentFixture

from stoatpath.gateways import poll_times_by_table
from stoatpath.platform.boot_files import BootFile
from stoatpath.platform.names import SERVERS_TABLE
from stoatpath.standins.deployments import boot_mapping
from stoatpath.standins.faults import Fault

FAULT_BY_STORE_STATE = {
    "is down": "down",
    "throttles requests": "throttled",
    "doesn't respond": "silent",
}
OPERATIONS = ("read", "feed", "tx")


def inject_store_faults(store, kind):
    for operation in OPERATIONS:
        store.faults.add(Fault(operation, kind, None))


@given("a deployment whose keys must be confirmed within {limit:d} ms")
def step_impl(context, limit):
    fixture = context.fixture = DeploymentFixture()
    context.add_cleanup(fixture.close)
    fixture.run(fixture.deployment.gateways.pop().kill())
    fixture.run(fixture.deployment.add_gateway("strict", revoke_ms=limit))
    fixture.run(fixture.deployment.wait_until_in_sync())


@given("a deployment with {count:d} gateways")
def step_impl(context, count):
    fixture = context.fixture = DeploymentFixture()
    context.add_cleanup(fixture.close)
    for number in range(1, count):
        fixture.run(fixture.deployment.add_gateway(f"gateway-{number}"))
    fixture.run(fixture.deployment.wait_until_in_sync())


async def send_requests_for(fixture, seconds):
    """Return pairs of the sending time and the response, by route."""
    responses_by_route = {"look": [], "open": []}
    started_s = time.monotonic()
    number = 0
    while time.monotonic() - started_s < seconds:
        for route, responses in responses_by_route.items():
            number += 1
            sent_s = time.monotonic()
            headers = request_headers(route, number)
            if route == "open":
                del headers["Authorization"]
            responses.append(
                (sent_s, await send_request(fixture.gateway, route, number, headers))
            )
        await asyncio.sleep(0.02)
    return responses_by_route


@when("the store is down and requests keep arriving for {wait:d} ms")
def step_impl(context, wait):
    fixture = context.fixture
    inject_store_faults(fixture.deployment.store, "down")
    context.outage_start_s = time.monotonic()
    context.responses = fixture.run(send_requests_for(fixture, wait / 1000))


@when("the store stops responding, the key is revoked, and requests keep arriving")
def step_impl(context):
    fixture = context.fixture

    async def work():
        store = fixture.deployment.store
        inject_store_faults(store, "silent")
        context.outage_start_s = time.monotonic()
        config = fixture.deployment.config | {"version": 9}
        config["tenants"] = [{"name": "harbour", "api_keys": ["another"]}]
        store.withholds_changes = True
        await store.put("op", "config", config)
        return await send_requests_for(fixture, 2.5)

    context.responses = fixture.run(work())


@then("no request with a key ran later than {limit:d} ms after the key was revoked")
@then(
    "requests with a key got 200 at first and 503 at the end, "
    "and none after {limit:d} ms got 200"
)
def step_impl(context, limit):
    responses = context.responses["look"]
    statuses = [each.status for _, each in responses]
    assert statuses[0] == 200 and statuses[-1] == 503, statuses
    for sent_s, response in responses:
        if response.status == 200:
            assert sent_s - context.outage_start_s <= limit / 1000


@then("each refusal has a Retry-After, and no refused request ran")
def step_impl(context):
    executions = {run.request_id for run in context.fixture.runs()}
    for _, response in context.responses["look"]:
        if response.status == 503:
            assert 0 < float(response.headers["Retry-After"]) <= 1
    served = sum(response.status == 200 for _, response in context.responses["look"])
    public = len(context.responses["open"])
    assert len(executions) == served + public, (len(executions), served, public)


@then("every public request got 200")
def step_impl(context):
    assert {response.status for _, response in context.responses["open"]} == {200}


@when("the operator revokes the key")
def step_impl(context):
    tenants = [{"name": "harbour", "api_keys": ["another"]}]
    context.fixture.run(context.fixture.deployment.update_config(tenants=tenants))


@then("every gateway responds with {status:d}")
def step_impl(context, status):
    for gateway in context.fixture.deployment.gateways:
        response = context.fixture.run(send_request(gateway, "look"))
        assert response.status == status, response.status


@when("a gateway starts while the store {state}")
def step_impl(context, state):
    deployment = context.fixture.deployment
    inject_store_faults(deployment.store, FAULT_BY_STORE_STATE[state])
    context.gateway = context.fixture.run(deployment.add_gateway("late"))


@then("it isn't ready, and responds with {status:d} to a request")
def step_impl(context, status):
    assert not context.gateway.is_ready()
    response = context.fixture.run(send_request(context.gateway, "look"))
    assert response.status == status, response.status


@then("it serves requests once the store has recovered")
def step_impl(context):
    deployment = context.fixture.deployment
    deployment.store.faults.clear()
    context.fixture.run(deployment.wait_until_in_sync())
    assert context.fixture.run(send_request(context.gateway, "look")).status == 200


@when("the operator makes {count:d} changes in quick succession")
def step_impl(context, count):
    fixture = context.fixture

    async def work():
        deployment = fixture.deployment
        for _ in range(count):
            version = deployment.config["version"] + 3
            deployment.config = deployment.config | {"version": version}
            await deployment.store.put("op", "config", deployment.config)
        await deployment.wait_until_in_sync()

    fixture.run(work())


@then("every gateway has the last revision in force")
def step_impl(context):
    deployment = context.fixture.deployment
    revisions = {each.routes.table.revision for each in deployment.gateways}
    assert revisions == {deployment.config["version"]}, revisions


@when("the operator's row gets an older revision, then bytes that are not JSON")
def step_impl(context):
    fixture = context.fixture
    fixture.run(fixture.deployment.update_config())

    async def work():
        store = fixture.deployment.store
        rows = fixture.gateway.operator_rows.copy
        for value in (
            fixture.deployment.config | {"version": 1, "routes": []},
            b"\xff",
        ):
            before = rows.version
            await store.put("op", "config", value)
            assert await wait_until(lambda: rows.version > before)

    fixture.run(work())


@then("the revision in force is kept, and requests are served")
def step_impl(context):
    fixture = context.fixture
    assert fixture.gateway.routes.table.revision == fixture.deployment.config["version"]
    assert fixture.run(send_request(fixture.gateway, "look")).status == 200


@when("the operator lowers the body size limit to {limit:d} bytes")
def step_impl(context, limit):
    deployment = context.fixture.deployment
    limits = deployment.config["limits"] | {"max_body_bytes": limit}
    context.fixture.run(deployment.update_config(limits=limits))


@then("a body of {size:d} bytes is refused as too large")
def step_impl(context, size):
    response = context.fixture.run(
        send_request(context.fixture.gateway, "book", body=b"x" * size)
    )
    assert response.status == 413, response.status


@when(
    "the settings are reloaded with a key confirmation limit of {limit:d} ms "
    "and no retries"
)
def step_impl(context, limit):
    gateway = context.fixture.gateway
    bounds = {"revoke_ms": limit, "retry_budget_ratio": 0, "budget_slack": 0}
    address = gateway.boot.store_address
    gateway.reload(BootFile.from_mapping(boot_mapping("gateway-0", address, bounds)))


@then("a request with a key is refused with 503, and a public one is served")
def step_impl(context):
    fixture = context.fixture
    # For most of each long poll the last confirmation is older than a millisecond.
    statuses = {
        fixture.run(send_request(fixture.gateway, "look", n)).status for n in range(5)
    }
    assert 503 in statuses, statuses
    headers = request_headers("open", 9, Authorization=None)
    assert fixture.run(send_request(fixture.gateway, "open", 9, headers)).status == 200


@then("the retry budget allows no retry")
def step_impl(context):
    assert context.fixture.gateway.retry_budget.remaining("booking-desk") < 1.0


@then("reads of the operator's rows are long polls of at most {most:d} ms")
def step_impl(context, most):
    store = context.fixture.deployment.store
    # The first read of the table may have been sent before a change of the settings.
    due = store.feeds_by_table["op"] + 2
    assert context.fixture.run(wait_until(lambda: store.feeds_by_table["op"] >= due))
    assert 0 < store.wait_ms_by_table["op"] <= most, store.wait_ms_by_table


@when("the settings are reloaded with a key confirmation limit of {limit:d} ms")
def step_impl(context, limit):
    fixture = context.fixture
    mapping = boot_mapping("strict", fixture.deployment.store_address, {})
    mapping["bounds"] |= {"revoke_ms": limit}
    fixture.gateway.reload(BootFile.from_mapping(mapping))


@then(
    "changes of backend servers are batched for less than the drain time "
    "of {drain:d} ms"
)
def step_impl(context, drain):
    bounds = {"drain_ms": drain}
    mapping = boot_mapping("strict", context.fixture.deployment.store_address, bounds)
    wait_ms, gather_ms = poll_times_by_table(BootFile.from_mapping(mapping))[
        SERVERS_TABLE
    ]
    assert 0 < gather_ms <= drain / 2, gather_ms
