"""Steps about streams that stall and callers that don't read."""

import asyncio
import time
from unittest import mock

from behave import given, then, when
from malformed_steps import use_deployment
from stop_steps import look_request, open_connection
from task_steps import replace, wait_until

from stoatpath.callers import connections
from stoatpath.clock import Clock
from stoatpath.dispatch import silences
from stoatpath.dispatch.deadlines import ExchangeDeadlines
from stoatpath.dispatch.streams import EventReader
from stoatpath.platform.documents import decode_route_table
from stoatpath.standins.deployments import sample_config
from stoatpath.standins.replicas import ReplicaStandin
from stoatpath.utils import encode_json

DRIP_S = 0.1
BODY_BYTES = 8 * 1024 * 1024 - 1_000
DRIPS = {"nothing": b"", "comments": b": still here\n\n", "bytes": b"x"}


def limit_silence(context, limit_ms):
    """Let callers give up streams so that resumable ones are left after `limit_ms`."""
    patience_ms = limit_ms / silences.RESUME_SHARE
    replace(context, silences, "MIN_PATIENCE_MS", patience_ms)
    config = context.deployment.config
    # Neither the objectives nor the pauses of the routes allow longer.
    shorter = {"target_latency_ms": patience_ms / 8, "gap_aim_ms": patience_ms / 16}
    config["routes"] = [route | shorter for route in config["routes"]]


@given("a gateway whose backend servers may pause for {limit:d} ms within a stream")
def step_impl(context, limit):
    use_deployment(context)
    limit_silence(context, float(limit))
    context.loop.run_until_complete(context.deployment.start(models=2, plain=0))


@given("the next stream of a backend server stalls after two events and drips {what}")
def step_impl(context, what):
    original = ReplicaStandin._stream
    context.stalled = 0

    async def stream(replica, request, kind, headers):
        if context.stalled:
            return await original(replica, request, kind, headers)
        context.stalled += 1
        transport = request.transport
        lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
        lines.append("Content-Type: text/event-stream\r\n")
        transport.write("".join(["HTTP/1.1 200 OK\r\n", *lines, "\r\n"]).encode())
        transport.write(b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
        while not transport.is_closing():
            await asyncio.sleep(DRIP_S)
            transport.write(DRIPS[what])

    replace(context, ReplicaStandin, "_stream", stream)


@given("streams with {gap:d} ms between events")
def step_impl(context, gap):
    for replica in context.deployment.replicas_by_name.values():
        replica.event_ms = float(gap)


def stream_request(route):
    return (
        look_request(9, is_kept=False)
        .replace(b"GET /look", f"POST /{route}".encode())
        .replace(
            b"Connection: close",
            b"Accept: text/event-stream\r\nX-Stoatpath-Model: *\r\n"
            b"X-Stoatpath-Token-Counts: 100,50\r\n"
            b"X-Stoatpath-Prompt-Prefix: aa:60,bb:40\r\n"
            b"Content-Length: 0\r\nConnection: close",
        )
    )


@when("a caller reads a {route} stream")
def step_impl(context, route):
    async def work():
        gateway = context.deployment.gateways[0]
        reader, writer = await open_connection(gateway.listener.address)
        writer.write(stream_request(route))
        began_s = time.monotonic()
        context.answer = b""
        try:
            async with asyncio.timeout(7):
                while data := await reader.read(4096):
                    context.answer += data
        except (ConnectionError, TimeoutError):
            pass
        context.took_ms = 1000 * (time.monotonic() - began_s)
        writer.transport.abort()

    context.loop.run_until_complete(work())


@then("the answer ends {how} between {low:d} and {high:d} ms after its start")
def step_impl(context, how, low, high):
    is_whole = context.answer.endswith(b"0\r\n\r\n")
    assert is_whole == (how == "whole"), context.answer[-400:]
    ids = [line for line in context.answer.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [b"id: %d" % number for number in range(1, len(ids) + 1)], ids
    assert len(ids) == (5 if is_whole else 2), ids
    assert low <= context.took_ms <= high, context.took_ms


@given("the exchange of a router with a limit of {limit:d} ms between events")
def step_impl(context, limit):
    context.limit_ms = float(limit)


class LenientReader(EventReader):
    """Takes any event: whether it fits is checked elsewhere."""

    def _handle_event(self, data):
        return False


@when("its stream drips {what} every 50 ms")
def step_impl(context, what):
    drip = DRIPS.get(what, b'data: {"id": "r", "model": "v", "choices": []}\n\n')

    class Content:
        async def readany(self):
            await asyncio.sleep(0.05)
            return drip

    class Part:
        def __init__(self, **fields):
            self.__dict__.update(fields)

    class Relay:
        contents = []
        closing = set()

        def release(self, attempt):
            pass

    async def work():
        attempt = Part(
            request=Part(request_id="r"),
            version=Part(name="v"),
            relay=Relay(),
            resume_from=0,
            events=0,
        )
        reader = LenientReader(attempt)
        deadlines = ExchangeDeadlines(
            Clock(), Clock().now_ms() + 600, Clock().now_ms() + 500, context.limit_ms
        )
        try:
            async with deadlines:
                await reader.read(Content(), deadlines)
        except TimeoutError:
            pass
        context.is_silent = deadlines.is_silent

    asyncio.run(work())


@then("the exchange has {end} after 600 ms")
def step_impl(context, end):
    assert context.is_silent == (end == "ended")


@given("a backend server that answers with {answer}")
def step_impl(context, answer):
    replace(context, connections, "WRITE_CHECK_S", 0.5)
    use_deployment(context)
    context.sent_bytes = 0
    context.requests = 0
    context.is_body = answer.startswith("a body")

    async def serve(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            context.requests += 1
            prefix = b"X-Stoatpath-Attempt-Id"
            echo = [each for each in head.split(b"\r\n") if each.startswith(prefix)][0]
            start = (
                b"HTTP/1.1 200 OK\r\nX-Stoatpath-Replica-Seal: s\r\n" + echo + b"\r\n"
            )
            if context.is_body:
                writer.write(start + b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
                writer.write(b"x" * BODY_BYTES)
                await writer.drain()
                context.sent_bytes += BODY_BYTES
                return
            writer.write(start + b"Content-Type: text/event-stream\r\n\r\n")
            for number in range(1, 10_000_000):
                event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 20_000)
                writer.write(event)
                await writer.drain()
                context.sent_bytes += len(event)
        except (OSError, asyncio.IncompleteReadError, IndexError):
            pass
        finally:
            writer.close()

    async def work():
        await context.deployment.start(models=1, plain=1)
        context.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = context.server.sockets[0].getsockname()
        address = f"{host}:{port}"
        for replica in context.deployment.replicas_by_name.values():
            row = replica.server_row(address=address, sequence=2)
            await context.deployment.store.put("servers", replica.name, row)
        backends = context.deployment.gateways[0].backends
        await wait_until(
            lambda: all(each.address == address for each in backends.by_name.values())
        )

    context.loop.run_until_complete(work())


@when("a caller reads {reading} of it")
def step_impl(context, reading):
    async def work():
        gateway = context.deployment.gateways[0]
        reader, writer = await open_connection(gateway.listener.address)
        connection = writer.get_extra_info("socket")
        writer.transport.pause_reading()
        if context.is_body:
            writer.write(look_request(9))
        else:
            writer.write(stream_request("chat"))
        began_s = time.monotonic()
        context.held_bytes = 0
        while time.monotonic() - began_s < 4.5:
            await asyncio.sleep(0.05)
            for each in gateway.listener._server.connections:
                if each.transport is not None:
                    size = each.transport.get_write_buffer_size()
                    context.held_bytes = max(context.held_bytes, size)
            if reading != "nothing":
                try:
                    connection._sock.recv(1)
                except BlockingIOError:
                    pass
                except ConnectionError:
                    break
            if context.requests and not gateway.listener._server.connections:
                break
        context.connections = len(gateway.listener._server.connections)
        context.open = len(gateway.listener.open_by_id)
        context.took_s = time.monotonic() - began_s
        writer.transport.abort()
        await asyncio.sleep(0.1)
        context.breakers = gateway.chooser.breakers
        context.server.close()

    context.loop.run_until_complete(work())


@then("the gateway ends its connection, having held at most {limit:d} MB for it")
def step_impl(context, limit):
    assert (context.connections, context.open) == (0, 0), context.took_s
    print(context.sent_bytes, context.held_bytes, context.took_s)
    # Beside what the gateway holds, the kernel buffers megabytes on its behalf.
    assert context.held_bytes <= limit * 1_000_000, context.held_bytes


@then("no other backend server gets the request, and none is counted as failed")
def step_impl(context):
    assert context.requests == 1, context.requests
    gateway = context.deployment.gateways[0]
    results = gateway.attempt_statistics.counts_by_key
    reasons = {key[2] for key in results}
    assert reasons <= {"whole", "caller-gone"}, reasons


@when("a caller reads 200 KB each 50 ms")
def step_impl(context):
    async def work():
        gateway = context.deployment.gateways[0]
        reader, writer = await open_connection(gateway.listener.address)
        writer.write(look_request(9, is_kept=False))
        context.size, context.answer = 0, b""
        async with asyncio.timeout(8):
            while data := await reader.read(200_000):
                context.size += len(data)
                context.answer = context.answer or data[:600]
                await asyncio.sleep(0.05 * len(data) / 200_000)
        writer.transport.abort()
        context.server.close()

    context.loop.run_until_complete(work())


@then("it has read the whole answer")
def step_impl(context):
    assert context.size > BODY_BYTES, (context.size, context.answer)


@given("a {kind} route with an objective of {target:d} ms and pauses of {gap:d} ms")
def step_impl(context, kind, target, gap):
    config = sample_config()
    config["routes"][0] |= {
        "resumable": kind == "resumable",
        "target_latency_ms": target,
        "gap_aim_ms": gap,
    }
    context.decoded = decode_route_table(encode_json(config))


@then("its streams may be silent for {limit}")
def step_impl(context, limit):
    route = context.decoded.routes[0]
    request = mock.Mock(
        route=route, is_stream=route.is_stream, is_repeatable=route.is_repeatable
    )
    expected = float("inf") if limit == "any time" else float(limit.split()[0])
    assert silences.silence_limit_ms(request) == expected
