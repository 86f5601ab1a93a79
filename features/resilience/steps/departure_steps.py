"""Steps about callers that leave before they are answered."""

import asyncio
import time

from behave import given, then, when
from malformed_steps import use_deployment
from stop_steps import open_connection, read_status
from task_steps import replace, wait_until

from stoatpath.dispatch.last_checks import CheckedRequest
from stoatpath.standins.deployments import CALLER_KEY, HOST

SETTLE_S = 2.5


def build_request(route, number):
    """Return the bytes of a sound request."""
    lines = [
        f"POST /{route}/{number} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Stoatpath-Attempt-Id: leave-{number}",
        "X-Stoatpath-Deadline-Ms: 4000",
        f"Authorization: Bearer {CALLER_KEY}",
        "Content-Length: 0",
        "Connection: close",
    ]
    if route in ("chat", "tell"):
        lines += [
            "Accept: text/event-stream",
            "X-Stoatpath-Model: *",
            "X-Stoatpath-Token-Counts: 100,50",
            f"X-Stoatpath-Prompt-Prefix: aa:60,b{number}:40",
        ]
    return "\r\n".join([*lines, "", ""]).encode()


class Departures:
    """Callers, when those that left did so, and the answers of the others."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.left_s_by_id = {}
        self.statuses = []

    async def send(self, route, number, leave_after_s=None):
        """Send a request; read its answer, or close the connection after a time."""
        address = self.deployment.gateways[0].listener.address
        reader, writer = await open_connection(address)
        writer.write(build_request(route, number))
        if leave_after_s is None:
            self.statuses.append(await read_status(reader))
        else:
            await asyncio.sleep(leave_after_s)
            writer.transport.abort()
            self.left_s_by_id[f"leave-{number}"] = time.monotonic()

    def replicas(self):
        return self.deployment.replicas_by_name.values()


def start(context, models, plain, **attributes):
    """Start a gateway with a time limit of 4 s, and replicas with some attributes."""
    use_deployment(context)
    deployment = context.deployment
    context.departures = Departures(deployment)

    async def work():
        deployment.config["routes"] = [
            route | {"timeout_ms": 4_000} for route in deployment.config["routes"]
        ]
        await deployment.start(models=models, plain=plain)
        for name, replica in deployment.replicas_by_name.items():
            for attribute, value in attributes.items():
                setattr(replica, attribute, value)
            if "room" in attributes:
                row = replica.server_row(slots=attributes["room"])
                await deployment.store.put("servers", name, row)
        if "room" in attributes:
            room = attributes["room"]
            backends = deployment.gateways[0].backends.by_name.values()
            await wait_until(lambda: all(each.slots == room for each in backends))

    context.loop.run_until_complete(work())


@given(
    "a gateway before one backend server that runs {room:d} requests at a time, "
    "{delay:d} ms each"
)
def step_impl(context, room, delay):
    start(context, models=1, plain=1, room=room, delay_ms=float(delay))


@given("a gateway before one backend server whose connections open after {delay:d} ms")
def step_impl(context, delay):
    start(context, models=0, plain=1)
    original = CheckedRequest.send

    async def send(request, connection):
        await asyncio.sleep(delay / 1000)
        return await original(request, connection)

    replace(context, CheckedRequest, "send", send)


@given("a gateway before backend servers whose events come every {pause:d} ms")
def step_impl(context, pause):
    start(context, models=2, plain=0, event_ms=float(pause))


@when(
    "{count:d} callers send {route} requests, "
    "and those after the {last} leave after {delay:d} ms"
)
def step_impl(context, count, route, last, delay):
    staying = {"first": 1, "second": 2}[last]
    departures = context.departures

    async def work():
        stay = [
            asyncio.create_task(departures.send(route, number))
            for number in range(staying)
        ]
        await wait_until(
            lambda: sum(len(each.runs) for each in departures.replicas()) >= staying
        )
        leave = (
            departures.send(route, number, delay / 1000)
            for number in range(staying, count)
        )
        await asyncio.gather(*stay, *leave)
        await asyncio.sleep(SETTLE_S)

    context.loop.run_until_complete(work())


@when("a caller sends a {route} request and leaves after {delay:d} ms")
def step_impl(context, route, delay):
    async def work():
        await context.departures.send(route, 1, delay / 1000)
        await asyncio.sleep(1.0)

    context.loop.run_until_complete(work())


@when("the caller of a {route} request leaves after {delay:d} ms")
def step_impl(context, route, delay):
    departures = context.departures

    async def work():
        await departures.send(route, 1, delay / 1000)
        left_s = time.monotonic()
        assert sum(len(each.runs) for each in departures.replicas()) == 1
        await wait_until(
            lambda: not any(each.open_connections() for each in departures.replicas())
        )
        context.cancelled_after_ms = 1000 * (time.monotonic() - left_s)

    context.loop.run_until_complete(work())


@then(
    "no request arrives at the backend server later than {limit:d} ms "
    "after its caller has left"
)
def step_impl(context, limit):
    departures = context.departures
    now_ms = context.deployment.gateways[0].clock.now_ms()
    now_s = time.monotonic()
    late = [
        request_id
        for replica in departures.replicas()
        for arrived_ms, request_id in replica.arrivals
        if request_id in departures.left_s_by_id
        and now_s - (now_ms - arrived_ms) / 1000
        > departures.left_s_by_id[request_id] + limit / 1000
    ]
    assert departures.left_s_by_id and not late, late


@then("the requests of the callers that stayed are answered with {status:d}")
def step_impl(context, status):
    assert set(context.departures.statuses) == {status}, context.departures.statuses


@then("no request arrives at the backend server")
def step_impl(context):
    arrivals = [each.arrivals for each in context.departures.replicas()]
    assert not any(arrivals), arrivals


@then("its run is cancelled within {limit:d} ms")
def step_impl(context, limit):
    assert context.cancelled_after_ms <= limit, context.cancelled_after_ms


@then("all {count:d} requests ran to their end")
def step_impl(context, count):
    runs = [run for each in context.departures.replicas() for run in each.runs]
    assert len(runs) == count, len(runs)
    assert not any(run.was_cancelled for run in runs)
