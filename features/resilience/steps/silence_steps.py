"""Steps about gateways and backend servers that are silent for a while."""

import asyncio
import socket
import threading
import time

import uvloop
from behave import given, then, when
from malformed_steps import use_deployment
from progress_steps import limit_silence, stream_request
from stop_steps import open_connection
from task_steps import replace, wait_until

LARGE_EVENTS = 1_200
STREAM_FIELDS = (
    b"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    b"Connection: close\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_stream(context, act):
    """Read a stream; `act()` is awaited after its second event."""
    gateway = context.deployment.gateways[0]
    reader, writer = await open_connection(gateway.listener.address)
    writer.write(stream_request("chat"))
    context.answer = b""
    has_acted = False
    try:
        async with asyncio.timeout(10):
            while data := await reader.read(65_536):
                context.answer += data
                if b"id: 2\n" in context.answer and not has_acted:
                    has_acted = True
                    await act()
    except (ConnectionError, TimeoutError):
        pass
    writer.transport.abort()


@given(
    "a gateway on {loop} whose backend servers may pause for {limit:d} ms "
    "within a stream"
)
def step_impl(context, loop, limit):
    use_deployment(context)
    limit_silence(context, float(limit))
    if loop == "uvloop":
        context.loop.close()
        context.loop = uvloop.new_event_loop()
    context.loop.run_until_complete(context.deployment.start(models=1, plain=0))


@given("a backend server in a thread of its own sends an event each {gap:d} ms")
def step_impl(context, gap):
    listening = socket.create_server(("127.0.0.1", 0))
    context.requests = 0

    def serve(connection):
        head = b""
        while b"\r\n\r\n" not in head:
            data = connection.recv(65_536)
            if not data:
                # A probe of the listener sends nothing.
                return
            head += data
        context.requests += 1
        prefix = b"X-Stoatpath-Attempt-Id"
        echo = [each for each in head.split(b"\r\n") if each.startswith(prefix)][0]
        start = b"HTTP/1.1 200 OK\r\nX-Stoatpath-Replica-Seal: s\r\n" + echo
        connection.sendall(start + STREAM_FIELDS)
        for number in range(1, 9):
            connection.sendall(encode_chunk(b"id: %d\ndata: %d\n\n" % (number, number)))
            time.sleep(gap / 1000)
        connection.sendall(LAST_CHUNK)

    def handle(connection):
        with connection:
            try:
                serve(connection)
            except OSError:
                pass

    def accept():
        while True:
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            threading.Thread(target=handle, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    context.add_cleanup(listening.close)

    async def work():
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        (replica,) = context.deployment.replicas_by_name.values()
        row = replica.server_row(address=address, sequence=2)
        await context.deployment.store.put("servers", replica.name, row)
        backends = context.deployment.gateways[0].backends
        await wait_until(lambda: backends.by_name[replica.name].address == address)

    context.loop.run_until_complete(work())


@when("the gateway is paused for {pause:d} ms while a caller reads a chat stream")
def step_impl(context, pause):
    async def act():
        # The event loop stands still, as that of a stopped process does.
        time.sleep(pause / 1000)

    context.loop.run_until_complete(read_stream(context, act))


@then("the answer is whole and the thread got one request")
def step_impl(context):
    assert context.answer.endswith(b"0\r\n\r\n"), context.answer
    ids = [each for each in context.answer.split(b"\n") if each.startswith(b"id: ")]
    assert len(ids) == 8, ids
    assert context.requests == 1, context.requests


@when("the entry and the listener of its backend server go away during a chat stream")
def step_impl(context):
    async def act():
        deployment = context.deployment
        (replica,) = [
            each for each in deployment.replicas_by_name.values() if each.runs
        ]
        await replica.stop_listening()
        await deployment.store.remove("servers", replica.name)
        backends = deployment.gateways[0].backends
        await wait_until(lambda: replica.name not in backends.by_name)

    context.loop.run_until_complete(read_stream(context, act))


@then("the answer is whole and one backend server got one request")
def step_impl(context):
    assert context.answer.endswith(b"0\r\n\r\n"), context.answer
    ids = [each for each in context.answer.split(b"\n") if each.startswith(b"id: ")]
    assert len(ids) == 5, ids
    replicas = context.deployment.replicas_by_name.values()
    assert sum(each.received_count for each in replicas) == 1


@given("a backend server with a large stream that stops listening as it is sent")
def step_impl(context):
    use_deployment(context)
    context.requests = 0

    async def serve(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            context.requests += 1
            context.server.close()
            prefix = b"X-Stoatpath-Attempt-Id"
            echo = [each for each in head.split(b"\r\n") if each.startswith(prefix)][0]
            start = b"HTTP/1.1 200 OK\r\nX-Stoatpath-Replica-Seal: s\r\n" + echo
            writer.write(start + STREAM_FIELDS)
            for number in range(1, LARGE_EVENTS + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 20_000)
                writer.write(encode_chunk(event))
                await writer.drain()
            writer.write(LAST_CHUNK)
        except (OSError, asyncio.IncompleteReadError, IndexError):
            pass
        finally:
            writer.close()

    async def work():
        await context.deployment.start(models=1, plain=0)
        context.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = context.server.sockets[0].getsockname()
        address = f"{host}:{port}"
        (replica,) = context.deployment.replicas_by_name.values()
        row = replica.server_row(address=address, sequence=2)
        await context.deployment.store.put("servers", replica.name, row)
        backends = context.deployment.gateways[0].backends
        await wait_until(lambda: backends.by_name[replica.name].address == address)

    context.loop.run_until_complete(work())


@when("its caller reads nothing for {pause:d} ms, and then everything")
def step_impl(context, pause):
    async def work():
        gateway = context.deployment.gateways[0]
        reader, writer = await open_connection(gateway.listener.address)
        writer.transport.pause_reading()
        # The route allows 5 s, most of which is for the 24 MB on a busy machine.
        writer.write(stream_request("chat").replace(b"Ms: 4000", b"Ms: 5000"))
        await asyncio.sleep(pause / 1000)
        writer.transport.resume_reading()
        # Bytes would be copied with each part: that took most of the time.
        context.answer = bytearray()
        try:
            async with asyncio.timeout(6):
                while data := await reader.read(1_000_000):
                    context.answer += data
        except (ConnectionError, TimeoutError):
            pass
        writer.transport.abort()

    context.loop.run_until_complete(work())


@then("the answer is whole and the backend server got one request")
def step_impl(context):
    assert context.answer.endswith(b"0\r\n\r\n"), context.answer[-200:]
    assert context.answer.count(b"\nid: ") + 0 >= LARGE_EVENTS - 1
    assert context.requests == 1, context.requests
