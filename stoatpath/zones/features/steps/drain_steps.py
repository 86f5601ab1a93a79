"""Steps on requests through gateways while zones are drained and returned."""

import asyncio
from types import SimpleNamespace
from unittest import mock

import aiohttp
from behave import given, then, when
from fleets import ZoneFleet, wait_until
from logs import LogCapture

from stoatpath.dispatch.messages import AttemptResult
from stoatpath.dispatch.relay_policies import RelayPolicy
from stoatpath.gateway_metrics import gateway_samples
from stoatpath.outcomes import CONNECT_FAILED
from stoatpath.platform.backend_calls import BackendClient
from stoatpath.platform.documents import STATES_BY_WORD
from stoatpath.rollouts.messages import RUNNING, ReleaseOrder, ReleaseStatus
from stoatpath.standins.deployments import LLM_SERVICE, PLAIN_SERVICE
from stoatpath.standins.faults import Fault

STORE_OPERATIONS = ("read", "feed", "tx")
HEDGE_MS = 300.0
# A partition is found within one connect time-out.
PARTITION_S = 0.6


@given(
    "{gateways:d} gateways, and {count:d} backend servers of each service in {zones}"
)
def step_impl(context, gateways, count, zones):
    context.log = LogCapture()
    context.add_cleanup(context.log.close)
    context.fleet = ZoneFleet(gateways, count, zones.split()[1:])
    context.add_cleanup(context.fleet.close)


@when("the operator drains {zone}")
def step_impl(context, zone):
    context.known_after_s = context.fleet.run(context.fleet.order(zone, True))


@when("the operator returns {zone}")
def step_impl(context, zone):
    context.fleet.run(context.fleet.order(zone, False))


@when("callers send {count:d} {route} requests through each gateway")
def step_impl(context, count, route):
    context.fleet.run(context.fleet.send_through_all(count, route))


@when("another instance forwards {count:d} look requests")
def step_impl(context, count):
    headers = {"Stoatpath-Forwarded": "0"}
    context.fleet.run(context.fleet.send_through_all(count, "look", **headers))


class FailedCall:
    """A call whose connection is refused."""

    async def __aenter__(self):
        raise aiohttp.ClientConnectorError(mock.Mock(ssl=None), OSError("cut"))

    async def __aexit__(self, *error):
        return False


@given("{name} reaches no backend server, and gateway-1 {knows}")
def step_impl(context, name, knows):
    cut, other = context.fleet.gateways
    assert cut.boot.instance == name
    call = BackendClient.open

    async def is_reachable(address):
        return False

    def open_unless_cut(client, attempt, remaining_ms):
        if client is cut.backend_client:
            return FailedCall()
        return call(client, attempt, remaining_ms)

    cut.partitions._is_reachable = is_reachable
    patch = mock.patch.object(BackendClient, "open", open_unless_cut)
    patch.start()
    context.add_cleanup(patch.stop)
    if knows == "names no drain":
        other.peer_finder.drained_zones = lambda: []
    context.fleet.run(context.fleet.send("look", cut))


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    context.fleet.run(asyncio.sleep(seconds))


@when("callers send {count:d} look requests through gateway-0")
def step_impl(context, count):
    fleet = context.fleet

    async def send():
        for _ in range(count):
            await fleet.send("look", fleet.gateways[0])

    fleet.run(send())


@then("all of them are answered with {status:d}")
def step_impl(context, status):
    statuses = [each.status for each in context.fleet.responses]
    assert statuses and set(statuses) == {status}, statuses


@then("the backend servers of {zone} got none of them")
def step_impl(context, zone):
    assert context.fleet.arrivals(zone) == 0, context.fleet.arrivals(zone)


@then("the backend servers of {zone} got some of them")
def step_impl(context, zone):
    assert context.fleet.arrivals(zone) > 0


@then("all of them are refused with 503 and a time to retry, within {seconds:g} s")
def step_impl(context, seconds):
    assert context.fleet.responses
    assert_refused(context.fleet.responses, seconds)


def assert_refused(responses, seconds):
    for response in responses:
        assert response.status == 503, response.status
        assert float(response.headers["Retry-After"]) >= 1.0, response.headers
        assert b"zones-drained" in response.body, response.body
        assert b"not-run" in response.body, response.body
        assert response.took_s <= seconds, response.took_s


@then('their traces name a backend server of {zone} as "{reason}"')
def step_impl(context, zone, reason):
    names = {each.name for each in context.fleet.replicas(zone)}
    ends = context.log.ends("completed")
    assert len(ends) == len(context.fleet.responses)
    for decisions in ends:
        route = next(each for each in decisions if each["step"] == "route")
        reasons = {each["name"]: each["verdict"] for each in route["candidates"]}
        assert any(reasons.get(name) == reason for name in names), reasons


@then("none of them came to wait for a slot")
def step_impl(context):
    ends = context.log.ends("zones-drained")
    assert len(ends) == len(context.fleet.responses)
    for decisions in ends:
        assert [each["step"] for each in decisions] == ["read", "body", "zones"]


@then("the gateways are ready")
def step_impl(context):
    assert all(each.is_ready() for each in context.fleet.gateways)


@given("a request to a backend server of {zone} waits {seconds:g} s for {what}")
def step_impl(context, zone, seconds, what):
    context.wait = context.fleet.run(delay_sends(context.fleet, zone, seconds, what))
    context.add_cleanup(context.wait.patch.stop)


async def delay_sends(fleet, zone, seconds, what):
    """Let requests to a zone wait; each is sent there unless a check prevents it."""
    wait = SimpleNamespace(begun=asyncio.Event(), patch=None)
    names = {each.name for each in fleet.replicas(zone)}
    ports = {int(each.address.rpartition(":")[2]) for each in fleet.replicas(zone)}
    gate = fleet.gateways[0].send_gate
    acquire = gate.acquire
    connect = aiohttp.TCPConnector._create_connection

    async def acquire_slowly(name):
        if name in names:
            wait.begun.set()
            await asyncio.sleep(seconds)
        return await acquire(name)

    async def connect_slowly(connector, request, *rest):
        protocol = await connect(connector, request, *rest)
        if request.url.port in ports:
            wait.begun.set()
            await asyncio.sleep(seconds)
        return protocol

    if what == "a permit":
        wait.patch = mock.patch.object(
            type(gate), "acquire", staticmethod(acquire_slowly)
        )
    else:
        wait.patch = mock.patch.object(
            aiohttp.TCPConnector, "_create_connection", connect_slowly
        )
    wait.patch.start()
    return wait


@when("a look request is sent, and {zone} is drained while it waits")
def step_impl(context, zone):
    fleet = context.fleet

    async def send_and_drain():
        # Another zone costs more than two requests in flight, so that the request is
        # first assigned to the zone of the gateway.
        request = asyncio.create_task(fleet.send("look"))
        async with asyncio.timeout(5):
            await context.wait.begun.wait()
        await fleet.order(zone, True)
        assert not request.done()
        await request

    fleet.run(send_and_drain())


@given("the answers of each backend server take {seconds:g} s and lead to {what}")
def step_impl(context, seconds, what):
    fleet = context.fleet
    for replica in fleet.deployment.replicas_by_name.values():
        replica.delay_ms = 1000 * seconds
        replica.confidence_by_model = {"tern-small": 10, "tern-large": 90}
    for replica in fleet.replicas("z0"):
        if what == "a retry":
            replica.faults.add(Fault("serve", "reset-after", None))
    if what == "a hedge":
        patch = mock.patch.object(RelayPolicy, "hedge_delay_ms", hedge_once)
        patch.start()
        context.add_cleanup(patch.stop)


def hedge_once(policy, request, version, sent_count, min_confidence):
    return HEDGE_MS if sent_count == 1 else None


@when("a {route} request is sent, and {zone} is drained while it runs there")
def step_impl(context, route, zone):
    fleet = context.fleet

    async def send_and_drain():
        fleet.forget_past()
        request = asyncio.create_task(fleet.send(route))
        assert await wait_until(lambda: fleet.arrivals(zone) == 1)
        arrivals_before = fleet.arrivals_before
        await fleet.order(zone, True)
        fleet.arrivals_before = arrivals_before
        assert not request.done()
        await request

    fleet.run(send_and_drain())


@then("the backend servers of z0 got {first:d} and those of z1 {second:d} of them")
def step_impl(context, first, second):
    arrivals = context.fleet.arrivals("z0"), context.fleet.arrivals("z1")
    assert arrivals == (first, second), arrivals


@then('the trace of the request says "{reason}" of a server of {zone}')
def step_impl(context, reason, zone):
    names = {each.name for each in context.fleet.replicas(zone)}
    decisions = context.log.decisions("attempt-0")
    said = [
        each
        for each in decisions
        if each.get("backend") in names
        and reason in (each["reason"], each.get("detail", "").partition(":")[0])
    ]
    assert said, decisions


@given("a backend server of the release {release} in {zone}, to which a roll-out moves")
def step_impl(context, release, zone):
    fleet = context.fleet

    async def add():
        await fleet.deployment.add_replica("new", PLAIN_SERVICE, release, zone)
        await fleet.deployment.wait_until_in_sync()

    fleet.run(add())
    context.order = ReleaseOrder(PLAIN_SERVICE, release, 60_000.0, 1)


@when("the roll-out is {state}")
def step_impl(context, state):
    releases = context.fleet.gateways[0].releases
    store_ms = releases._reachability.store_ms(releases._clock.now_ms())
    releases.apply_order(context.order)
    if state != "ordered":
        status = ReleaseStatus(
            PLAIN_SERVICE, "v2", STATES_BY_WORD[state], 1, store_ms, "", "", 1
        )
        releases.apply_status(status)


def may_complete(context):
    releases = context.fleet.gateways[0].releases
    now_ms = releases._clock.now_ms()
    started_ms = releases._reachability.store_ms(now_ms) - 60_000.0
    releases.registry.apply_order(context.order)
    releases.registry.apply_status(
        ReleaseStatus(PLAIN_SERVICE, "v2", RUNNING, 1, started_ms, "", "", 1)
    )
    return releases._may_complete(context.order)


@then("the roll-out may not be completed at its end")
def step_impl(context):
    assert not may_complete(context)


@then("the roll-out may be completed at its end")
def step_impl(context):
    assert may_complete(context)


@given("each backend server has {slots:d} slots and answers after {seconds:g} s")
def step_impl(context, slots, seconds):
    fleet = context.fleet

    async def restrict():
        for replica in fleet.deployment.replicas_by_name.values():
            replica.delay_ms = 1000 * seconds
            row = replica.server_row(slots=slots)
            await fleet.deployment.store.put("servers", replica.name, row)
        gateway = fleet.gateways[0]
        assert await wait_until(
            lambda: all(each.capacity == slots for each in gateway.gate.pool_loads())
        )

    fleet.run(restrict())


@when(
    "{count:d} look requests are sent, and {zone} is drained once {waiting:d} of them "
    "wait"
)
def step_impl(context, count, zone, waiting):
    fleet = context.fleet
    gate = fleet.gateways[0].gate

    async def send_and_drain():
        tasks = [asyncio.create_task(fleet.send("look")) for _ in range(count)]
        assert await wait_until(lambda: gate.waiting_count() == waiting)
        await fleet.order(zone, True)
        await asyncio.wait(tasks, timeout=0.3)
        context.refused = list(fleet.responses)
        await asyncio.gather(*tasks)

    fleet.run(send_and_drain())


@then("{count:d} of them is answered with 200")
def step_impl(context, count):
    statuses = [each.status for each in context.fleet.responses]
    assert statuses.count(200) == count, statuses


@then(
    "{count:d} of them are refused with 503 and a time to retry, "
    "within 0.3 s of the drain"
)
def step_impl(context, count):
    assert len(context.refused) == count, len(context.refused)
    assert_refused(context.refused, seconds=float("inf"))


@given("the streams of each backend server have {count:d} events, {seconds:g} s apart")
def step_impl(context, count, seconds):
    for replica in context.fleet.deployment.replicas_by_name.values():
        replica.events = count
        replica.event_ms = 1000 * seconds


@when("a chat request is sent, and its zone is drained after it began")
def step_impl(context):
    fleet = context.fleet

    async def send_and_drain():
        fleet.forget_past()
        context.stream = asyncio.create_task(fleet.send("chat"))
        replicas = fleet.deployment.replicas_by_name.values()
        assert await wait_until(lambda: any(each.runs for each in replicas))
        context.first = next(each for each in replicas if each.runs)
        arrivals_before = fleet.arrivals_before
        await fleet.order(context.first.zone, True)
        fleet.arrivals_before = arrivals_before
        assert not context.stream.done()

    fleet.run(send_and_drain())


@when("its backend server {does}")
def step_impl(context, does):
    async def finish():
        if does == "drops its connections":
            for transport in context.first._transports:
                transport.abort()
        await context.stream

    context.fleet.run(finish())


@then("the caller got {count:d} events in order")
def step_impl(context, count):
    response = context.fleet.responses[-1]
    ids = [line for line in response.body.splitlines() if line.startswith(b"id:")]
    assert ids == [f"id: {number}".encode() for number in range(1, count + 1)], ids


@then("the backend servers of its zone got {count:d} request")
def step_impl(context, count):
    arrivals = context.fleet.arrivals(context.first.zone)
    assert arrivals == count, arrivals


@given("the store answers after {seconds:g} s")
def step_impl(context, seconds):
    for operation in STORE_OPERATIONS:
        fault = Fault(operation, "slow", None, 1000 * seconds)
        context.fleet.deployment.store.faults.add(fault)


@then("the gateways knew it after at most {seconds:g} s")
def step_impl(context, seconds):
    assert context.known_after_s <= seconds, context.known_after_s


@when("another gateway starts")
def step_impl(context):
    fleet = context.fleet

    async def start():
        await fleet.add_gateway("gateway-new")
        fleet.forget_past()

    fleet.run(start())


@when("the store fails for {seconds:g} s")
def step_impl(context, seconds):
    fleet = context.fleet

    async def fail():
        for operation in STORE_OPERATIONS:
            fleet.deployment.store.faults.add(Fault(operation, "down", None))
        await asyncio.sleep(seconds)

    fleet.run(fail())


@when("the row is removed while the store tells no changes and loses its history")
def step_impl(context):
    store = context.fleet.deployment.store

    async def remove():
        store.withholds_changes = True
        await store.remove("op", "evacuate/z0")
        store.discard_history()
        store.withholds_changes = False

    context.fleet.run(remove())


@then("{zone} is in service within {seconds:g} s")
def step_impl(context, zone, seconds):
    evacuations = context.fleet.gateways[0].eligible.evacuations
    is_back = wait_until(lambda: not evacuations.is_drained(zone), seconds)
    assert context.fleet.run(is_back)


@when("the backend servers of {zone} stop, but their rows stay")
def step_impl(context, zone):
    async def stop():
        for replica in context.fleet.replicas(zone):
            await replica.stop()

    context.fleet.run(stop())


@when("an attempt at one of them ends as a failed connection")
def step_impl(context):
    gateway = context.fleet.gateways[0]

    async def observe():
        for service in (LLM_SERVICE, PLAIN_SERVICE):
            request = SimpleNamespace(service=SimpleNamespace(name=service))
            gateway.partitions.observe(
                AttemptResult(
                    "", service, CONNECT_FAILED, None, 0.0, None, 1.0, request=request
                )
            )
        await asyncio.sleep(PARTITION_S)

    context.fleet.run(observe())


@then("no service counts as unreachable, and the gateways are ready")
def step_impl(context):
    for gateway in context.fleet.gateways:
        assert gateway.partitions.unreachable_services() == []
        assert gateway.is_ready()


@then("admission has {slots:d} slots of each service")
def step_impl(context, slots):
    loads = context.fleet.gateways[0].gate.pool_loads()
    assert {each.capacity for each in loads} == {slots}, [
        (each.pool, each.capacity) for each in loads
    ]


@then("the metrics have {zones:d} drained zones with {count:d} backend servers")
def step_impl(context, zones, count):
    samples = gateway_samples(context.fleet.gateways[0])
    values = {each.name: each.value for each in samples}
    assert values["stoatpath_drained_zones"] == zones
    assert values["stoatpath_drained_backends"] == count
