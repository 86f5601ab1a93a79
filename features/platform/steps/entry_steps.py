"""Steps about entries that other writers add to those of the backend servers."""

import ipaddress
import json

from behave import given, then, when
from callers import send_request, wait_until
from hypothesis import given as forall, settings, strategies as st

from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import is_failure
from stoatpath.platform.documents import (
    MAX_SLOTS,
    decode_backend,
    decode_route_table,
)
from stoatpath.standins.deployments import (
    CALLER_KEY,
    HOST,
    LLM_SERVICE,
    PLAIN_SERVICE,
    sample_config,
)
from stoatpath.utils import encode_json

ODD_NAME = "other-7f3a91c2"
ENTRY = {
    "service": PLAIN_SERVICE,
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
VALUES_BY_TEXT = {
    "401 digits": "9" * 401,
    "900 nested lists": "[" * 900 + "]" * 900,
}
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -(10**400), 2**64, 1e308, -1e308, 5e-324])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=12)
    | st.from_regex(r"-?[0-9.:]{1,20}", fullmatch=True)
)
JSON = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)


def check_backend(backend):
    """Assert that all fields are of their type and in their range."""
    assert isinstance(backend, ListedBackend)
    for name in ("name", "service", "address", "zone", "release"):
        value = getattr(backend, name)
        assert isinstance(value, str) and value, (name, value)
    host, _, port = backend.address.rpartition(":")
    assert not ipaddress.ip_address(host.strip("[]")).is_unspecified
    assert 0 < int(port) < 65_536
    assert type(backend.slots) is int and 0 < backend.slots <= MAX_SLOTS
    assert type(backend.is_leaving) is bool
    assert backend.born is None or type(backend.born) is int
    assert backend.cold_left_ms is None or 0 <= backend.cold_left_ms < float("inf")


@then("any JSON in any field of a server's row decodes to sound values or to a failure")
def step_impl(context):
    fields = st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON, max_size=2)
    removed = st.lists(st.sampled_from(sorted(ENTRY)), max_size=1)

    @settings(derandomize=True, deadline=None, max_examples=400)
    @forall(fields, removed)
    def check_property(changes, missing):
        entry = {
            name: value
            for name, value in (ENTRY | changes).items()
            if name not in missing
        }
        decoded = decode_backend(ODD_NAME, json.dumps(entry).encode())
        if not is_failure(decoded):
            check_backend(decoded)

    assert not is_failure(decode_backend(ODD_NAME, encode_json(ENTRY)))
    check_property()


async def put_bytes(deployment, value, key=ODD_NAME):
    """Store bytes in the row of the odd entry, and wait until the gateway has them."""
    await deployment.store.put("servers", key, value)
    rows = deployment.gateways[0].server_rows.copy.rows_by_key
    assert await wait_until(lambda: key in rows)


@when("another writer adds an entry of the plain service under the key {key}")
def step_impl(context, key):
    fixture = context.fixture
    entry = encode_json(ENTRY)
    fixture.run(put_bytes(fixture.deployment, entry, json.loads(key)))


@then("the entry under the key {key} names no backend server")
def step_impl(context, key):
    assert json.loads(key) not in context.fixture.gateway.backends.by_name


@when("another writer adds an entry of the plain service with {field} as {value}")
def step_impl(context, field, value):
    text = VALUES_BY_TEXT.get(value, value)
    parts = [
        f"{json.dumps(name)}: {text if name == field else json.dumps(known)}"
        for name, known in ENTRY.items()
    ]
    entry = "{" + ", ".join(parts) + "}"
    fixture = context.fixture
    fixture.run(put_bytes(fixture.deployment, entry.encode()))


@when("another writer adds an entry of {count:d} nested lists")
def step_impl(context, count):
    fixture = context.fixture
    entry = '{"slots": ' + "[" * count + "]" * count + "}"
    fixture.run(put_bytes(fixture.deployment, entry.encode()))


@when("a caller sends {looks:d} look requests and {books:d} book requests")
def step_impl(context, looks, books):
    fixture = context.fixture
    context.responses = [
        fixture.run(send_request(fixture.gateway, route, f"{route}-{number}"))
        for route, count in (("look", looks), ("book", books))
        for number in range(count)
    ]


@then("all of them are answered with {status:d}")
def step_impl(context, status):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {status}, statuses


@then(
    "the odd entry names no backend server, "
    "and the slots of the service are {slots:d}"
)
def step_impl(context, slots):
    gateway = context.fixture.gateway
    assert ODD_NAME not in gateway.backends.by_name
    loads = {each.pool: each.capacity for each in gateway.gate.pool_loads()}
    assert loads[PLAIN_SERVICE] == slots, loads


@given("a configuration whose {field} is {value}")
def step_impl(context, field, value):
    config = sample_config()
    table, _, name = field.rpartition(".")
    holder = config
    if table:
        holder = config[table] if table == "limits" else config[table][0]
    if value == "missing":
        holder.pop(name, None)
    else:
        holder[name] = json.loads(value)
    context.decoded = decode_route_table(encode_json(config))


@then("it is unreadable")
def step_impl(context):
    assert is_failure(context.decoded), context.decoded


@then("it is readable")
def step_impl(context):
    assert not is_failure(context.decoded), context.decoded


def check_problems(table, count=1):
    """Assert that a number of parts are left out, and that they are named."""
    assert not is_failure(table), table
    assert len(table.problems) == count and all(table.problems), table.problems


@then("it leaves out its organisation")
def step_impl(context):
    check_problems(context.decoded)
    assert context.decoded.needs_keys and not context.decoded.organisations_by_key
    assert not context.decoded.has_all_keys


@then("it leaves out its route")
def step_impl(context):
    check_problems(context.decoded)
    first, *others = context.decoded.routes
    assert first.problem and not first.is_public and not first.weights_by_service
    assert len(others) == len(sample_config()["routes"]) - 1
    assert not any(each.problem for each in others)
    assert context.decoded.match_route(HOST, "/chat/1") is first


@then("it leaves out its service")
def step_impl(context):
    check_problems(context.decoded)
    assert list(context.decoded.services_by_name) == [PLAIN_SERVICE]


@then("it has the default of {name}")
def step_impl(context, name):
    check_problems(context.decoded)
    default = decode_route_table(encode_json(sample_config() | {"limits": None}))
    assert getattr(context.decoded.limits, name) == getattr(default.limits, name)
    assert getattr(context.decoded.limits, "head_timeout_ms") == 500


@then("it asks for no key")
def step_impl(context):
    assert not context.decoded.needs_keys


@then("it accepts no key")
def step_impl(context):
    assert context.decoded.needs_keys and not context.decoded.organisations_by_key


@then("it accepts only its key")
def step_impl(context):
    assert not context.decoded.routes[0].is_public
    assert context.decoded.needs_keys
    assert list(context.decoded.organisations_by_key) == [CALLER_KEY]


@then("it has no route")
def step_impl(context):
    assert context.decoded.routes == []


@then("it allows {count:d} attempts")
def step_impl(context, count):
    assert context.decoded.routes[0].max_attempts == count


@then("it has the service")
def step_impl(context):
    assert context.decoded.routes[0].choose_service(0.5) == LLM_SERVICE


@then("it has no service")
def step_impl(context):
    assert context.decoded.routes[0].choose_service(0.5) is None


@then("it allows no body")
def step_impl(context):
    assert context.decoded.limits.max_body_bytes == 0


@when("the organisations become {value}")
def step_impl(context, value):
    deployment = context.fixture.deployment
    context.fixture.run(deployment.update_config(tenants=json.loads(value)))
