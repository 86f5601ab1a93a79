"""Steps about streams that are cut and resumed."""

import asyncio
from unittest import mock

from behave import given, then, when
from callers import request_headers
from relaying_steps import event_ids, raw_request

from stoatpath.dispatch.event_relays import EventRelay
from stoatpath.standins.faults import Fault, FaultTable

READ_TIMEOUT_S = 15


class RawResponse:
    """All bytes that a caller got, and whether the answer was complete."""

    def __init__(self, data):
        self.head, _, rest = data.partition(b"\r\n\r\n")
        self.status = int(self.head.split()[1]) if self.head else 0
        self.body = b""
        self.is_complete = False
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, 16)
            self.is_complete = length == 0
            if self.is_complete:
                break
            self.body += rest[:length]
            rest = rest[length + 2 :]


async def send_raw_stream(gateway, on_bytes=lambda data: None, **extra_headers):
    """Send a chat request on a connection of its own; return a `RawResponse`.

    `on_bytes` is called with all bytes so far whenever some arrive.
    """
    host, _, port = gateway.listener.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = request_headers("chat", 1, **extra_headers) | {"Content-Length": "4"}
    headers["Connection"] = "close"
    writer.write(raw_request(headers, "POST /chat/1 HTTP/1.1", b"body"))
    data = b""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            while chunk := await reader.read(65_536):
                data += chunk
                on_bytes(data)
    except ConnectionError:
        pass
    finally:
        writer.transport.abort()
    return RawResponse(data)


@given("all later executions have fault {kind}")
def step_impl(context, kind):
    context.fixture.faults.add(Fault("serve", kind, count=None))


@when("a caller reads the bytes of the response to a chat request")
def step_impl(context):
    fixture = context.fixture
    context.raw_response = fixture.run(send_raw_stream(fixture.gateway))


@when(
    "one of these gets a chat request whose executions "
    "have faults {first} and {later}"
)
def step_impl(context, first, later):
    faults = FaultTable()
    faults.add(Fault("serve", first))
    faults.add(Fault("serve", later, count=None))
    for replica in context.fleet.deployment.replicas_by_name.values():
        replica.faults = faults
    gateway = context.cut_gateways[0]
    context.raw_response = context.fleet.run(send_raw_stream(gateway))


@then("the caller got an incomplete response with events 1 to {last:d} only")
def step_impl(context, last):
    response = context.raw_response
    assert response.status == 200, response.head
    assert not response.is_complete, response.body
    assert event_ids(response) == list(range(1, last + 1)), response.body
    expected = [f"id: {number}\ndata: {number}\n\n" for number in range(1, last + 1)]
    assert response.body == "".join(expected).encode(), response.body


@given("its backend servers pause {pause:d} ms between events")
def step_impl(context, pause):
    for replica in context.fixture.replicas():
        replica.event_ms = float(pause)


@given("the gateway fails internally once a stream has begun")
def step_impl(context):
    write = EventRelay.write

    async def write_once(relay, *arguments):
        await write(relay, *arguments)
        raise RuntimeError("a fault of the gateway")

    patch = mock.patch.object(EventRelay, "write", write_once)
    patch.start()
    context.add_cleanup(patch.stop)


@when("a caller resumes a chat request after {last}")
def step_impl(context, last):
    fixture = context.fixture
    headers = {} if last == "nothing" else {"Last_Event_Id": last}
    work = send_raw_stream(fixture.gateway, **headers)
    context.raw_response = fixture.run(work)


@when("two callers send chat requests with the same identifier at once")
def step_impl(context):
    async def send_both():
        sends = [send_raw_stream(context.fixture.gateway) for _ in range(2)]
        return await asyncio.gather(*sends)

    context.raw_responses = context.fixture.run(send_both())


@then("each got a complete response with events 1 to {last:d}")
def step_impl(context, last):
    for response in context.raw_responses:
        assert response.is_complete, response.body
        assert event_ids(response) == list(range(1, last + 1)), response.body


@then("the caller got a complete response with the events {numbers}")
def step_impl(context, numbers):
    response = context.raw_response
    assert response.is_complete, response.body
    assert event_ids(response) == [int(each) for each in numbers.split()]


@then("the caller got a complete response without events")
@then("the caller got a complete response with the events ")
def step_impl(context):
    response = context.raw_response
    assert response.is_complete and response.body == b"", response.body


@then("the caller got an incomplete response, with the last event unnumbered once")
def step_impl(context):
    response = context.raw_response
    assert not response.is_complete, response.body
    assert event_ids(response) == [1, 2, 3], response.body
    assert response.body.endswith(b"data: 3\n\ndata: unnumbered\n\n"), response.body


@then("the requests ran {runs:d} times")
def step_impl(context, runs):
    assert len(context.fixture.runs()) == runs, len(context.fixture.runs())


def end_gateway(gateway, ended):
    """Return the coroutine that ends a gateway."""
    if ended == "killed":
        return gateway.kill()
    gateway.boot.grace_ms = 1000 * float(ended.split()[-2])
    return gateway.stop()


def is_in_order(response):
    """Return whether a response has whole events from the first one on."""
    ids = event_ids(response)
    expected = [f"id: {number}\ndata: {number}\n\n" for number in ids]
    body = "".join(expected).encode()
    return ids == list(range(1, len(ids) + 1)) and response.body == body


@when("a caller reads a stream, and after event {event:d} the gateway is {ended}")
def step_impl(context, event, ended):
    fixture = context.fixture

    async def work():
        seen = asyncio.Event()

        def look(data):
            if f"id: {event}\n".encode() in data:
                seen.set()

        stream = asyncio.create_task(send_raw_stream(fixture.gateway, look))
        await seen.wait()
        await end_gateway(fixture.gateway, ended)
        return await stream

    context.raw_response = fixture.run(work())


@when(
    "one of these gets a chat request, "
    "and the one that {part} it is {ended} meanwhile"
)
def step_impl(context, part, ended):
    fleet = context.fleet
    replicas = fleet.deployment.replicas_by_name.values()
    first = context.cut_gateways[0]
    others = [each for each in fleet.gateways if each not in context.cut_gateways]
    for replica in replicas:
        replica.event_ms = 400.0

    async def work():
        seen = asyncio.Event()

        def look(data):
            if b"id: 2\n" in data:
                seen.set()

        stream = asyncio.create_task(send_raw_stream(first, look))
        await seen.wait()
        serving = [each for each in others if each.listener.open_by_id]
        assert len(serving) == 1, serving
        await end_gateway(first if part == "forwards" else serving[0], ended)
        return await stream

    context.raw_response = fleet.run(work())


@then("the caller got an incomplete response with whole events in order")
def step_impl(context):
    response = context.raw_response
    assert not response.is_complete, response.body
    assert response.status == 200 and is_in_order(response), response.body


@then("the caller got whole events in order, and all of them in a complete response")
def step_impl(context):
    response = context.raw_response
    assert response.status == 200 and is_in_order(response), response.body
    assert event_ids(response)[:2] == [1, 2], response.body
    if response.is_complete:
        assert len(event_ids(response)) == 5, response.body
