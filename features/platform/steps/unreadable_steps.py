"""Steps about configurations of which a part is unreadable or gone."""

import json
import time

from behave import given, then, when
from callers import request_headers, send_request
from relaying_steps import DeploymentFixture
from store_steps import send_requests_for

from stoatpath.gateways import Gateway
from stoatpath.outcomes import is_failure
from stoatpath.platform.boot_files import BootFile
from stoatpath.standins.deployments import CALLER_KEY, boot_mapping

OTHER_KEY = "key-of-another"
OTHER_ORGANISATION = {"name": "another", "api_keys": [OTHER_KEY]}
KEYS_BY_CALLER = {"": CALLER_KEY, "of another": OTHER_KEY, "without key": None}
LISTS_BY_PART = {"route": "routes", "tenant": "tenants", "service": "services"}


@given("a deployment with a second organisation")
def step_impl(context):
    context.fixture = DeploymentFixture()
    context.add_cleanup(context.fixture.close)
    tenants = context.fixture.deployment.config["tenants"] + [OTHER_ORGANISATION]
    context.fixture.run(context.fixture.deployment.update_config(tenants=tenants))


@given("a deployment whose callers have keys")
def step_impl(context):
    context.fixture = DeploymentFixture()
    context.add_cleanup(context.fixture.close)
    replace_gateway(context.fixture, contracts=["base", "tenants"])


def replace_gateway(fixture, **fields):
    """Start a gateway, with some fields of its settings, in place of the one there is."""
    deployment = fixture.deployment

    async def work():
        await deployment.gateways.pop().kill()
        mapping = boot_mapping("gateway-1", deployment.store_address, {}) | fields
        boot = BootFile.from_mapping(mapping)
        assert not is_failure(boot), boot
        gateway = Gateway.from_boot(boot)
        deployment.gateways.append(gateway)
        await gateway.start()
        await deployment.wait_until_in_sync()

    fixture.run(work())


@when("the gateway is replaced by one that starts")
def step_impl(context):
    replace_gateway(context.fixture)


def update_config(context, **fields):
    deployment = context.fixture.deployment
    context.fixture.run(deployment.update_config(**fields))


@when("a configuration comes whose first {part} has {field} as {value}")
def step_impl(context, part, field, value):
    name = LISTS_BY_PART[part]
    first, *others = context.fixture.deployment.config[name]
    update_config(context, **{name: [first | {field: json.loads(value)}, *others]})


@when("a configuration comes whose limits has {field} as {value}")
def step_impl(context, field, value):
    limits = context.fixture.deployment.config["limits"]
    update_config(context, limits=limits | {field: json.loads(value)})


@when(
    "a configuration comes without the second organisation "
    "and with an unreadable route"
)
def step_impl(context):
    config = context.fixture.deployment.config
    first, *others = config["routes"]
    routes = [first | {"public": "no"}, *others]
    update_config(context, routes=routes, tenants=config["tenants"][:1])


@when("a configuration comes in which all is public but an unreadable route")
def step_impl(context):
    first, *others = context.fixture.deployment.config["routes"]
    routes = [first | {"public": "no"}, *(each | {"public": True} for each in others)]
    routes.append(others[-1] | {"name": "all", "prefix": "/", "public": True})
    update_config(context, routes=routes)


@when("a configuration comes whose organisations are {state}")
def step_impl(context, state):
    deployment = context.fixture.deployment
    if state == "missing":
        del deployment.config["tenants"]
        update_config(context)
    else:
        update_config(context, tenants=json.loads(state))


@then("requests are answered so: {answers}")
def step_impl(context, answers):
    fixture = context.fixture
    got = []
    for number, text in enumerate(answers.split(", ")):
        route, _, rest = text.rpartition(" ")[0].partition(" ")
        key = KEYS_BY_CALLER[rest]
        headers = request_headers(
            route, f"{number}-{time.monotonic()}", Authorization=key and f"Bearer {key}"
        )
        response = fixture.run(send_request(fixture.gateway, route, headers=headers))
        got.append(f"{text.rpartition(' ')[0]} {response.status}")
    assert ", ".join(got) == answers, got


@when("the operator's row is {state}, and requests arrive for {wait:d} ms")
def step_impl(context, state, wait):
    fixture = context.fixture
    deployment = fixture.deployment
    config = deployment.config | {"version": deployment.config["version"] + 1}

    async def work():
        store = deployment.store
        if state == "removed":
            await store.remove("op", "config")
        elif state == "not JSON":
            await store.put("op", "config", b"\x00 this is no JSON")
        else:
            del config[state.removeprefix("without ").removeprefix("a ")]
            await store.put("op", "config", config)
        context.outage_start_s = time.monotonic()
        return await send_requests_for(fixture, wait / 1000)

    context.responses = fixture.run(work())


@when("the operator's row is written again")
def step_impl(context):
    update_config(context)
