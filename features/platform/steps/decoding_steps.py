"""Steps about decoding platform documents and caller headers."""

import json
import subprocess
import sys
import tempfile

import yaml
from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st
from multidict import CIMultiDict

from stoatpath.configuration.operators import OperatorKeys
from stoatpath.configuration.routes import RouteTable
from stoatpath.membership.signatures import NonceFilter, PeerSigner
from stoatpath.outcomes import is_failure
from stoatpath.platform import names
from stoatpath.platform.boot_files import BootFile
from stoatpath.platform.caller_heads import CallerHeaderDecoder
from stoatpath.platform.documents import RouteTableDecoder, decode_route_table
from stoatpath.standins.deployments import HOST, boot_mapping, sample_config
from stoatpath.utils import encode_json

HASHES = 10_000
WALL_MS = 1_700_000_000_000.0


def as_header(data):
    """Return a header value as aiohttp decodes it: surrogates are no UTF-8."""
    return data.decode(errors="surrogateescape")


def valid_settings():
    return boot_mapping("gateway-0", "10.200.1.7:8223", {})


def apply_fault(data, fault):
    """Make valid settings invalid."""
    changes = {
        "no name": lambda: data.pop("node_name"),
        "a number as its zone": lambda: data.update(zone=7),
        "a front address without port": lambda: data["listen"].update(front="10.0.0.1"),
        "no store": lambda: data.pop("provider"),
        "a text as memory": lambda: data["limits"].update(memory_mb="much"),
        "a negative grace": lambda: data["bounds"].update(grace_s=-1),
        "a text as fail_closed": lambda: data["bounds"].update(fail_closed="yes"),
        "a list as bounds": lambda: data.update(bounds=[1]),
        "no port for others": lambda: data["listen"].update(control="10.0.0.1"),
        "a text as seeds": lambda: data.update(seeds="10.0.0.1:8229"),
        "a seed without port": lambda: data.update(seeds=["10.0.0.2:1", "10.0.0.1"]),
        "a number as bootstrap": lambda: data.update(bootstrap=1),
        "no time for a change": lambda: data["bounds"].update(config_ms=0),
        "no time for a drain": lambda: data["bounds"].update(evac_ms=0),
        "a text as evac_ms": lambda: data["bounds"].update(evac_ms="soon"),
        "a list as zones": lambda: data.update(zones=["z0"]),
        "a zone with a number as region": lambda: data.update(zones={"z0": 7}),
        "a zone that is a number": lambda: data.update(zones={7: "eu"}),
        "an empty region": lambda: data.update(region=""),
    }
    changes[fault]()


@given("the settings of a gateway")
def step_impl(context):
    context.data = valid_settings()
    assert not is_failure(BootFile.from_mapping(context.data))


@when("the settings have the fields {fields}")
def step_impl(context, fields):
    context.data |= json.loads(fields)


@then("the instance is in region {region}")
def step_impl(context, region):
    boot = BootFile.from_mapping(context.data)
    assert not is_failure(boot), boot
    assert boot.region == (None if region == "none" else region)
    assert boot.evacuation_ms is None


@when("the settings have fields of a later release and no bounds")
def step_impl(context):
    del context.data["bounds"]
    context.data |= {"colour": "grey", "limits": {"memory_mb": 300, "spare": [1]}}


@when("the settings have {fault}")
def step_impl(context, fault):
    apply_fault(context.data, fault)


@then("the problem names {named}")
def step_impl(context, named):
    boot = BootFile.from_mapping(context.data)
    assert is_failure(boot) and named in boot.detail, boot


@then(
    "they are accepted with a grace period of {grace:d} ms "
    "and key checks that fail closed"
)
def step_impl(context, grace):
    boot = BootFile.from_mapping(context.data)
    assert boot.grace_ms == grace and boot.fails_closed


@given("a settings file with no store")
def step_impl(context):
    data = valid_settings()
    apply_fault(data, "no store")
    file = tempfile.NamedTemporaryFile("w", suffix=".yaml")
    context.add_cleanup(file.close)
    yaml.safe_dump(data, file)
    file.flush()
    context.path = file.name


@when("the gateway program runs with --check")
def step_impl(context):
    command = [sys.executable, "-m", "stoatpath.tools.gateway", "--check"]
    command += ["--boot", context.path]
    context.process = subprocess.run(command, capture_output=True, text=True)


@then("it exits with {code:d} and names {named}")
def step_impl(context, code, named):
    assert context.process.returncode == code, context.process.stderr
    assert named in context.process.stderr, context.process.stderr


@given("routes with the prefixes {prefixes} of one host")
def step_impl(context, prefixes):
    first, *_ = sample_config()["routes"]
    config = sample_config()
    config["routes"] = [
        first | {"prefix": prefix, "name": prefix} for prefix in prefixes.split()
    ]
    context.routes = decode_route_table(encode_json(config))


@then("path {path} matches route {route}")
def step_impl(context, path, route):
    found = context.routes.match_route(HOST.upper(), path.partition("?")[0])
    assert found.prefix == route, found.prefix


@given("a route that splits {first:d} to {second:d} between two services")
def step_impl(context, first, second):
    config = sample_config()
    config["routes"][0]["traffic_split"] = [
        {"service": "one", "weight": first},
        {"service": "two", "weight": second},
    ]
    table = decode_route_table(encode_json(config))
    context.route = table.match_route(HOST, "/chat/1")


@then("of {count:d} requests between {least:d} and {most:d} go to the second")
def step_impl(context, count, least, most):
    fractions = [number / count for number in range(count)]
    second = sum(context.route.choose_service(each) == "two" for each in fractions)
    assert least <= second <= most, second


@then("any JSON and any bytes decode to a route table or to a failure")
def step_impl(context):
    scalars = st.one_of(st.none(), st.booleans(), st.integers(), st.text())
    values = st.recursive(scalars, lambda inner: st.lists(inner, max_size=3))
    fields = st.dictionaries(st.sampled_from(sorted(sample_config())), values)
    documents = fields.map(lambda some: encode_json(sample_config() | some))

    @settings(derandomize=True, deadline=None)
    @forall(st.one_of(st.binary(), values.map(encode_json), documents))
    def check_property(value):
        decoded = decode_route_table(value)
        assert is_failure(decoded) or isinstance(decoded, RouteTable)

    check_property()


def describe(value):
    """Return all fields of a decoded table, comparable by value."""
    if isinstance(value, (list, tuple)):
        return [describe(each) for each in value]
    if isinstance(value, dict):
        return {key: describe(each) for key, each in value.items()}
    if hasattr(value, "__slots__"):
        fields = {name: describe(getattr(value, name)) for name in value.__slots__}
        return type(value).__name__, fields
    return value


@then("decoding rows one after the other gives the same as decoding each alone")
def step_impl(context):
    first = sample_config()["routes"][0]
    faults = st.sampled_from(
        [{}, {"prefix": "/a/"}, {"prefix": 1}, {"kind": "?"}, {"service": None}]
    )
    routes = st.lists(faults.map(lambda fault: first | fault), max_size=4)
    scalars = st.one_of(st.none(), st.integers(), st.text(max_size=3))
    others = st.dictionaries(st.sampled_from(sorted(sample_config())), scalars)
    rows = st.builds(
        lambda some, these, has_fault: encode_json(
            sample_config() | {"routes": these} | (some if has_fault else {})
        ),
        others,
        routes,
        st.sampled_from([False, False, True]),
    )
    rows = st.one_of(rows, st.binary(max_size=8))

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(rows, min_size=1, max_size=5))
    def check_property(values):
        decoder = RouteTableDecoder()
        for value in values:
            assert describe(decoder.decode(value)) == describe(
                decode_route_table(value)
            )

    check_property()


@then("an unchanged route is the same object in the next table")
def step_impl(context):
    config = sample_config()
    decoder = RouteTableDecoder()
    before = decoder.decode(encode_json(config))
    config["version"] += 1
    config["routes"].append(config["routes"][0] | {"prefix": "/added/"})
    after = decoder.decode(encode_json(config))
    count = len(before.routes)
    assert all(one is two for one, two in zip(before.routes, after.routes))
    assert len(after.routes) == count + 1


@then("any headers are accepted or refused, and no forged one is forwarded")
def step_impl(context):
    heads = CallerHeaderDecoder()
    known = [names.DEADLINE_MS, names.TOKEN_COUNTS, names.PROMPT_PREFIX, names.MODEL]
    known += [names.LENGTH_HINT, names.LAST_EVENT_ID, names.SESSION, names.TENANT]
    known += [names.ATTEMPT_ID, names.EXPECT_REPLICA, "Kv-From", "Connection"]
    values = st.one_of(st.text(max_size=20), st.binary(max_size=20).map(as_header))
    pairs = st.tuples(st.sampled_from(known), values)

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(pairs, max_size=12))
    def check_property(items):
        headers = CIMultiDict(items)
        if heads.check(headers) is not None:
            return
        assert 0 <= heads.timeout_ms(headers, 500.0) <= 500.0
        prompt = heads.prompt(headers)
        assert prompt.tokens >= 0 and prompt.expected_new_tokens >= 0
        texts = [heads.session(headers), prompt.model]
        assert encode_json(texts + [part.name for part in prompt.parts])
        passed = {name.lower() for name, _ in heads.forwarded_headers(headers)}
        assert not passed & names.ROUTER_HEADERS

    check_property()


@then("any bytes as a signature, a nonce or an operator key are accepted or refused")
def step_impl(context):
    signer = PeerSigner({"k1": "key of the members"})
    keys = OperatorKeys.from_settings({"harbour": "secret"})
    digits = st.integers(0, 10**401).map(lambda number: b"%d-a" % number)
    parts = st.lists(
        st.one_of(st.binary(max_size=9), st.sampled_from([b"k1:", b"-", b"9" * 5000])),
        max_size=4,
    )
    values = st.one_of(digits, parts.map(b"".join)).map(as_header)

    @settings(derandomize=True, deadline=None)
    @forall(values, values)
    def check_property(signature, nonce):
        expected = signer.sign("reach", b"{}", nonce)
        assert signer.verify("reach", b"{}", expected, nonce)
        assert signer.verify("reach", b"{}", signature, nonce) == (
            signature == expected
        )
        assert NonceFilter().accept(nonce, WALL_MS) in (True, False)
        assert keys.authenticate(signature) is None

    check_property()
