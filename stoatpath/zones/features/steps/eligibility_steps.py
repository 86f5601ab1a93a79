"""Steps on the backend servers and instances that a request may reach."""

import json
import statistics
import time
from types import SimpleNamespace

from behave import given, then, when

from stoatpath.outcomes import is_failure
from stoatpath.platform.documents import decode_route_table
from stoatpath.standins.deployments import CALLER_KEY, sample_config
from stoatpath.utils import encode_json
from stoatpath.zones.backends import EligibleBackends
from stoatpath.zones.eligibility import regions_of

SERVICE = "desk"
REGIONS_BY_ZONE = {"a1": "eu", "a2": "eu", "b1": "us"}
ZONES = ("a1", "a2", "b1", "c1")
MEASURED = 51


class SteppedClock:
    """A clock whose reading is set by the scenario."""

    def __init__(self):
        self.reading_ms = 0.0

    def now_ms(self):
        return self.reading_ms


def parse_regions(text):
    if text == "any":
        return None
    return frozenset(() if text == "empty" else text.split())


def parse_names(text):
    return [] if text == "none" else text.split()


def build_view(context, zones, own_region=None):
    backends = [
        SimpleNamespace(name=f"s{index}", service=SERVICE, zone=zone, is_leaving=False)
        for index, zone in enumerate(zones)
    ]
    context.directory = SimpleNamespace(
        by_name={each.name: each for each in backends},
        of_service=lambda service: backends,
    )
    context.clock = SteppedClock()
    boot = SimpleNamespace(regions_by_zone=REGIONS_BY_ZONE, region=own_region)
    context.view = EligibleBackends.from_boot(boot, context.directory, context.clock)
    context.request = build_request(None, None)


def build_request(route_regions, organisation_regions):
    return SimpleNamespace(
        service=SimpleNamespace(name=SERVICE),
        route=SimpleNamespace(regions=route_regions),
        organisation=SimpleNamespace(regions=organisation_regions),
    )


@given("zones a1 and a2 in region eu, b1 in region us, and c1 in no region")
def step_impl(context):
    build_view(context, ZONES)


@given("this instance is in region {own}")
def step_impl(context, own):
    build_view(context, ZONES, None if own == "none" else own)


@when(
    "a request is allowed {route} by its route and {organisation} by its organisation"
)
def step_impl(context, route, organisation):
    context.request = build_request(parse_regions(route), parse_regions(organisation))


@when("the zones {zones} are drained")
def step_impl(context, zones):
    for zone in parse_names(zones):
        context.view.evacuations.apply(zone, True, context.clock.now_ms())


@then("it may reach the zones {zones}")
def step_impl(context, zones):
    backends = context.view.for_request(context.request)
    if zones == "none":
        assert is_failure(backends) and backends.retry_at_ms is not None
        return
    assert [each.zone for each in backends] == zones.split()


@then("the others are excluded as {reasons}")
def step_impl(context, reasons):
    excluded = context.view.excluded(context.request)
    found = ", ".join(sorted({reason for _, reason in excluded}))
    assert found == ("" if reasons == "nothing" else reasons), found
    for backend in context.directory.by_name.values():
        reason = dict((each.name, why) for each, why in excluded).get(backend.name)
        problem = context.view.check_send(context.request, backend)
        assert (problem is None) is (reason is None)


@then("after {seconds:g} s a peer in {zone} that knows {known} as drained {verdict}")
def step_impl(context, seconds, zone, known, verdict):
    context.clock.reading_ms += 1000 * seconds
    peer = SimpleNamespace(zone=zone, drained_zones=frozenset(parse_names(known)))
    is_allowed = context.view.allows_peer(context.request, peer)
    assert is_allowed is (verdict == "may get it")


@given("a configuration with a {owner} whose allowed_regions are {value}")
def step_impl(context, owner, value):
    config = sample_config()
    owned = config["routes"][0] if owner == "route" else config["tenants"][0]
    owned["allowed_regions"] = json.loads(value)
    context.owner = owner
    context.routes = decode_route_table(encode_json(config))


@then("the configuration is {verdict}")
def step_impl(context, verdict):
    assert not is_failure(context.routes), context.routes
    assert bool(context.routes.problems) is (verdict == "without it")
    route = context.routes.routes[0]
    organisation = context.routes.organisations_by_key.get(CALLER_KEY)
    if verdict == "without it":
        # Such a route serves nothing, and the organisation's keys are unknown.
        assert route.problem if context.owner == "route" else organisation is None
        assert context.routes.has_all_keys is (context.owner == "route")
        return
    request = SimpleNamespace(route=route, organisation=organisation)
    assert regions_of(request) == parse_regions(verdict)
    owned = route if context.owner == "route" else organisation
    assert owned.regions == parse_regions(verdict)


@given("gateways whose settings put z1 in region eu and z2 in region us")
def step_impl(context):
    for gateway in context.fleet.gateways:
        gateway.eligible.filter.set_regions({"z1": "eu", "z2": "us"}, None)


@when("the route look allows {route}, and the organisation eu and us")
def step_impl(context, route):
    fleet = context.fleet
    config = fleet.deployment.config
    routes = [
        each | {"allowed_regions": [route]} if each["name"] == "look" else each
        for each in config["routes"]
    ]
    tenants = [each | {"allowed_regions": ["eu", "us"]} for each in config["tenants"]]
    fleet.run(fleet.deployment.update_config(routes=routes, tenants=tenants))
    fleet.forget_past()


@then("all of them are refused as {reason}, not run, with a time to retry")
def step_impl(context, reason):
    assert context.fleet.responses
    for response in context.fleet.responses:
        assert response.status == 503
        assert reason.encode() in response.body and b"not-run" in response.body
        assert float(response.headers["Retry-After"]) >= 1.0


@given("{count:d} backend servers of a service in zones {zones}")
def step_impl(context, count, zones):
    names = zones.split()
    build_view(context, [names[index % len(names)] for index in range(count)])


@then("the eligible ones are found in less than {most_ms:d} ms at the median")
def step_impl(context, most_ms):
    durations = []
    for _ in range(MEASURED):
        started_s = time.perf_counter()
        context.view.for_request(context.request)
        durations.append(1000 * (time.perf_counter() - started_s))
    assert statistics.median(durations) < most_ms, statistics.median(durations)
