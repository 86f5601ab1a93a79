"""Steps about answers without length and chunks, which end with their connection."""

import asyncio
import logging
from unittest import mock

from behave import given, then, when
from callers import request_headers
from head_steps import record_request_log
from relaying_steps import event_ids, raw_request

from stoatpath.standins.faults import Fault, FaultTable

READ_TIMEOUT_S = 15
CHUNKED = b"transfer-encoding: chunked"
LENGTH = b"content-length:"
CALLS_LOGGER = logging.getLogger("stoatpath.platform.backend_calls")


class _Lines(logging.Handler):
    """Keeps the records of a logger."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


class ReceivedResponse:
    """What a caller received on one connection, until its end or its reset."""

    def __init__(self, data, was_reset):
        self.was_reset = was_reset
        self.head, _, rest = data.partition(b"\r\n\r\n")
        self.status = int(self.head.split()[1]) if self.head else 0
        fields = self.head.lower()
        self.has_chunks = CHUNKED in fields
        self.is_framed = self.has_chunks or LENGTH in fields
        self.body = rest
        self.has_last_chunk = False
        if self.has_chunks:
            self._join_chunks(rest)

    def _join_chunks(self, rest):
        self.body = b""
        while rest and not self.has_last_chunk:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, 16)
            self.has_last_chunk = length == 0
            self.body += rest[:length]
            rest = rest[length + 2 :]


async def receive_response(gateway, route):
    """Send a request on a connection of its own; return a `ReceivedResponse`."""
    host, _, port = gateway.listener.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = b"" if route == "look" else b"body"
    method = "GET" if route == "look" else "POST"
    headers = request_headers(route, 1) | {"Content-Length": str(len(body))}
    headers["Connection"] = "close"
    writer.write(raw_request(headers, f"{method} /{route}/1 HTTP/1.1", body))
    data = b""
    was_reset = False
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            while chunk := await reader.read(65_536):
                data += chunk
    except ConnectionError:
        was_reset = True
    finally:
        writer.transport.abort()
    return ReceivedResponse(data, was_reset)


@given("its retry budget is spent")
def step_impl(context):
    budget = type(context.fixture.gateway.retry_budget)
    patch = mock.patch.object(budget, "try_spend", lambda *args: False)
    patch.start()
    context.add_cleanup(patch.stop)


@given("backend servers tell who they are with fault {kind}")
def step_impl(context, kind):
    context.fixture.faults.add(Fault("identify", kind, count=None))


@when("a caller reads all bytes of the response to a {route} request")
def step_impl(context, route):
    fixture = context.fixture
    record_request_log(context)
    context.lines = _Lines()
    CALLS_LOGGER.addHandler(context.lines)
    context.add_cleanup(CALLS_LOGGER.removeHandler, context.lines)
    context.received = fixture.run(receive_response(fixture.gateway, route))


@when("one of these gets a {route} request whose executions have fault {kind}")
def step_impl(context, route, kind):
    faults = FaultTable()
    faults.add(Fault("serve", kind, count=None))
    for replica in context.fleet.deployment.replicas_by_name.values():
        replica.faults = faults
    gateway = context.cut_gateways[0]
    context.received = context.fleet.run(receive_response(gateway, route))


@then("the caller got a complete response with chunks and events {first:d} to {last:d}")
def step_impl(context, first, last):
    received = context.received
    assert received.status == 200, received.head
    assert received.has_last_chunk and not received.was_reset, received.body
    assert event_ids(received) == list(range(first, last + 1)), received.body


@then("the caller got an incomplete response with events {first:d} to {last:d}")
def step_impl(context, first, last):
    received = context.received
    assert received.status == 200, received.head
    assert received.has_chunks and not received.has_last_chunk, received.body
    assert event_ids(received) == list(range(first, last + 1)), received.body


@then("the caller got a response that ended with its connection")
def step_impl(context):
    received = context.received
    assert received.status == 200, received.head
    assert not received.is_framed and not received.was_reset, received.head
    assert received.body


@then("the caller got a whole response")
def step_impl(context):
    received = context.received
    assert received.status == 200 and received.is_framed, received.head
    assert received.body.endswith(b"answers attempt-1"), received.body


@then("the caller got a response with status {status:d}")
def step_impl(context, status):
    received = context.received
    assert received.status == status, received.head
    assert not received.was_reset and received.is_framed, received.head


@then("the log has the answer once, as {reason}")
def step_impl(context, reason):
    reasons = context.request_log.reasons("attempt-1", "answer")
    assert reasons == [reason], reasons


@then("the log says that its backend server is not running: {why}")
def step_impl(context, why):
    found = [
        (each.msg, each.why)
        for each in context.lines.records
        if each.msg == "backends.not-running"
    ]
    assert found == [("backends.not-running", why)], found
