"""Steps on gateways that reach no replica while others do."""

import asyncio
from unittest import mock

import aiohttp
from backpressure_steps import FleetFixture
from behave import given, then, when
from callers import request_headers, send_bytes, send_request, wait_until

from stoatpath.clock import Clock
from stoatpath.platform.backend_calls import CONNECT_TIMEOUT_MS, BackendClient
from stoatpath.standins.faults import Fault

# Together longer than a circuit stays open.
PAUSE_S = 0.1
HANG_S = CONNECT_TIMEOUT_MS / 1000


class Cut:
    """Lets the calls of some clients fail as if a network partition did."""

    def __init__(self):
        self.clients = []
        self.hangs = False
        self.began_ms = 0.0
        self._patches = [
            mock.patch.object(BackendClient, "open", self._open(BackendClient.open)),
            mock.patch.object(
                BackendClient,
                "is_reachable",
                self._is_reachable(BackendClient.is_reachable),
            ),
        ]
        for patch in self._patches:
            patch.start()

    def begin(self, clients, hangs):
        self.clients = clients
        self.hangs = hangs
        self.began_ms = Clock().now_ms()

    def end(self):
        self.clients = []

    def close(self):
        for patch in self._patches:
            patch.stop()

    def _open(self, open_really):
        def open_unless_cut(client, attempt, remaining_ms):
            if client in self.clients:
                return _FailedCall(self.hangs)
            return open_really(client, attempt, remaining_ms)

        return open_unless_cut

    def _is_reachable(self, look_really):
        async def look_unless_cut(client, address):
            if client not in self.clients:
                return await look_really(client, address)
            await asyncio.sleep(HANG_S if self.hangs else 0)
            return False

        return look_unless_cut


class _FailedCall:
    def __init__(self, hangs):
        self.hangs = hangs

    async def __aenter__(self):
        if self.hangs:
            await asyncio.sleep(HANG_S)
            raise aiohttp.ConnectionTimeoutError("cut")
        raise aiohttp.ClientConnectorError(mock.Mock(ssl=None), OSError("cut"))

    async def __aexit__(self, *error):
        return False


@given(
    "{gateways:d} gateways that know each other, "
    "{models:d} model and {plain:d} plain replicas"
)
def step_impl(context, gateways, models, plain):
    # Before the gateways are built, since these keep bound methods of their clients.
    context.cut = Cut()
    context.add_cleanup(context.cut.close)
    context.fleet = FleetFixture(gateways, plain, models)
    context.add_cleanup(context.fleet.close)


@given("{count:d} gateways are cut off from all replicas, whose connections {fail}")
def step_impl(context, count, fail):
    context.cut_gateways = context.fleet.gateways[-count:]
    clients = [gateway.backend_client for gateway in context.cut_gateways]
    context.cut.begin(clients, hangs=fail == "hang")
    context.sent = []


@when("callers send {route} requests to these, {rate:d} a second for {seconds:d} s")
def step_impl(context, route, rate, seconds):
    fleet = context.fleet

    async def send(number):
        gateway = context.cut_gateways[number % len(context.cut_gateways)]
        sent_ms = Clock().now_ms()
        response = await fleet.send(gateway, f"{route}{number}", route)
        context.sent.append((sent_ms, Clock().now_ms() - sent_ms, response))

    async def send_all():
        tasks = []
        for number in range(rate * seconds):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    fleet.run(send_all())


@then(
    "of those sent later than {seconds:d} s after the cut "
    "at least {least:d} in {total:d} are answered with {status:d}"
)
def step_impl(context, seconds, least, total, status):
    from_ms = context.cut.began_ms + 1000 * seconds
    later = [response for sent_ms, _, response in context.sent if sent_ms > from_ms]
    served = sum(response.status == status for response in later)
    assert later and served * total >= least * len(later), (served, len(later))


@then("each request ran at most {runs:d} times")
def step_impl(context, runs):
    counts = {}
    for replica in context.fleet.deployment.replicas_by_name.values():
        for run in replica.runs:
            counts[run.request_id] = counts.get(run.request_id, 0) + 1
    assert counts and max(counts.values()) <= runs, counts


@when("the others are told to stop, with a grace period of {seconds:d} s")
def step_impl(context, seconds):
    gateways = context.fleet.gateways
    others = [each for each in gateways if each not in context.cut_gateways]
    for gateway in others:
        gateway.boot.grace_ms = 1000 * seconds
    context.stops = [context.fleet.loop.create_task(each.stop()) for each in others]
    context.stopped_ms = Clock().now_ms()


@then(
    "of those sent since then at least {least:d} in {total:d} are answered with {status:d}"
)
def step_impl(context, least, total, status):
    from_ms = context.stopped_ms
    later = [response for sent_ms, _, response in context.sent if sent_ms >= from_ms]
    served = sum(response.status == status for response in later)
    assert later and served * total >= least * len(later), (served, len(later))


@then("the others stop without cutting a request")
def step_impl(context):
    assert all(context.fleet.run(asyncio.gather(*context.stops)))


@then("whole answers reached the callers")
def step_impl(context):
    for _, _, response in context.sent:
        if response.status != 200:
            continue
        assert "X-Stoatpath-Replica-Seal" in response.headers
        if response.headers["Content-Type"].startswith("text/event-stream"):
            ids = [
                int(line[3:])
                for line in response.body.decode().splitlines()
                if line.startswith("id:")
            ]
            assert ids == [1, 2, 3, 4, 5], response.body
        else:
            assert response.request_id in response.body.decode(), response.body


@then("these are not ready, and the others are")
def step_impl(context):
    expected = [each not in context.cut_gateways for each in context.fleet.gateways]
    assert [each.is_ready() for each in context.fleet.gateways] == expected


@when("the cut heals")
def step_impl(context):
    context.cut.end()


@then("all gateways are ready within {seconds:d} s")
def step_impl(context, seconds):
    gateways = context.fleet.gateways
    are_ready = wait_until(lambda: all(each.is_ready() for each in gateways), seconds)
    assert context.fleet.run(are_ready)


@given("the replica {name} says in its answers that it is leaving")
def step_impl(context, name):
    context.fleet.replica(name).is_leaving = True


@then("one of them was told that {name} leaves")
def step_impl(context, name):
    told = [
        response
        for _, _, response in context.sent
        if response.headers.get("Server-Leaving") == "1"
    ]
    assert told and all(name in each.body.decode() for each in told), told


@then(
    "of {count:d} more look requests to these {name} gets none, "
    "though no other replica is left"
)
def step_impl(context, count, name):
    fleet = context.fleet
    replica = fleet.replica(name)
    before = replica.received_count
    for gateway in context.cut_gateways:
        partitions = gateway.partitions
        assert fleet.run(wait_until(lambda: not partitions.unreachable_services()))
        for backend in gateway.backends.of_service(replica.service):
            backend.is_leaving = backend.is_leaving or backend.name != name

    async def send_all():
        for number in range(count):
            gateway = context.cut_gateways[number % len(context.cut_gateways)]
            await fleet.send(gateway, f"more{number}")
            await asyncio.sleep(PAUSE_S)

    fleet.run(send_all())
    assert replica.received_count == before, replica.received_count - before


@then("all are answered with {status:d} within {seconds:d} s each")
def step_impl(context, status, seconds):
    for _, took_ms, response in context.sent:
        assert response.status == status, response.status
        assert took_ms <= 1000 * seconds, took_ms


@when(
    "replicas take {delay:d} s for requests on {route}, "
    "which has a time limit of {limit:d} s"
)
def step_impl(context, delay, route, limit):
    deployment = context.fleet.deployment
    limits = {"timeout_ms": 1000 * limit}
    routes = [
        each | limits if each["name"] == route else each
        for each in deployment.config["routes"]
    ]
    revision = deployment.config["version"] + 1
    deployment.config = deployment.config | {"routes": routes, "version": revision}
    for replica in deployment.replicas_by_name.values():
        replica.delay_ms = 1000.0 * delay

    async def work():
        await deployment.store.put("op", "config", deployment.config)
        for gateway in deployment.gateways:
            routes_now = gateway.routes
            assert await wait_until(lambda: routes_now.table.revision == revision)

    context.fleet.run(work())


@when(
    "{which} are told to stop, with a grace period of {seconds:d} s, "
    "and {route} requests come"
)
def step_impl(context, which, seconds, route):
    is_cut = which == "these"
    gateways = context.fleet.deployment.gateways
    stopping = [each for each in gateways if (each in context.cut_gateways) == is_cut]
    context.late = []

    async def send(number):
        headers = request_headers(route, f"late-{number}")
        del headers["X-Stoatpath-Deadline-Ms"]
        gateway = context.cut_gateways[0]
        response = await send_request(gateway, route, headers=headers)
        context.late.append((headers["X-Stoatpath-Attempt-Id"], response))

    async def work():
        for gateway in stopping:
            gateway.boot.grace_ms = 1000 * seconds
        context.stopped_ms = Clock().now_ms()
        context.grace_ms = 1000 * seconds
        stops = [asyncio.create_task(each.stop()) for each in stopping]
        sends = []
        while not all(each.done() for each in stops):
            sends.append(asyncio.create_task(send(len(sends))))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*sends)
        await asyncio.gather(*stops)

    context.fleet.run(work())
    for gateway in stopping:
        gateways.remove(gateway)


@then("each is answered, and with 503 only if it never ran")
def step_impl(context):
    arrived_ids = {each for each, _ in late_arrivals(context)}
    statuses = [response.status for _, response in context.late]
    print(statuses)
    # A gateway that has ended refuses connections.
    refused = [
        (request_id, response.body)
        for request_id, response in context.late
        if response.status == 0 and b"ClientConnectorError" not in response.body
    ]
    assert not refused, refused
    for request_id, response in context.late:
        if response.status == 503:
            assert request_id not in arrived_ids, request_id
    assert 502 in statuses or 504 in statuses, statuses


def late_arrivals(context):
    """Return the requests that reached replicas since the stop, and when."""
    return [
        (request_id, arrived_ms)
        for replica in context.fleet.deployment.replicas_by_name.values()
        for arrived_ms, request_id in replica.arrivals
        if request_id.startswith("attempt-late-")
    ]


@then("no request ran twice, or began to run in the second half of a grace period")
def step_impl(context):
    arrivals = late_arrivals(context)
    assert arrivals and len(arrivals) == len(dict(arrivals)), arrivals
    half_ms = context.stopped_ms + context.grace_ms / 2
    late = [each for each in arrivals if each[1] > half_ms]
    assert not late, late


@then("replicas were given no time beyond the end of the gateways that stop")
def step_impl(context):
    arrived_ms_by_id = dict(late_arrivals(context))
    for replica in context.fleet.deployment.replicas_by_name.values():
        for run in replica.runs:
            if run.request_id not in arrived_ms_by_id:
                continue
            given_ms = int(run.headers["X-Stoatpath-Deadline-Ms"])
            end_ms = arrived_ms_by_id[run.request_id] + given_ms
            assert end_ms <= context.stopped_ms + context.grace_ms, run.request_id


@given("the replicas answer with the header bytes that they receive")
def step_impl(context):
    for replica in context.fleet.deployment.replicas_by_name.values():
        replica.faults.add(Fault("serve", "echo-bytes", count=None))


@when("a {route} request with the header bytes {values} comes to one of these")
def step_impl(context, route, values):
    send = send_bytes(
        context.cut_gateways[0], route, "attempt-odd", bytes.fromhex(values)
    )
    context.response = context.fleet.run(send)


@then(
    "it is answered with {status:d} and the header bytes {values}, "
    "which a replica received"
)
def step_impl(context, status, values):
    response = context.response
    assert response.status == status, response.body
    replicas = context.fleet.deployment.replicas_by_name.values()
    runs = [run for each in replicas for run in each.runs]
    (run,) = [run for run in runs if run.request_id == "attempt-odd"]
    received = run.headers["X-Bytes"].encode(errors="surrogateescape")
    assert received == bytes.fromhex(values), received
    assert response.headers["X-Bytes"] == bytes.fromhex(values), response.headers
