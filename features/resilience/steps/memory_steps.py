"""Steps about the bytes that a gateway holds for callers and backend servers."""

import asyncio

from aiohttp import web
from behave import given, then, when
from malformed_steps import use_deployment
from stop_steps import open_connection, read_status
from task_steps import replace, wait_until

from stoatpath.backpressure.memory import MemoryAccount
from stoatpath.callers import connections
from stoatpath.standins.deployments import CALLER_KEY, HOST
from stoatpath.standins.replicas import ReplicaStandin

READ_BLOCK_BYTES = 65_536
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


def head_of(route, number, framing):
    lines = [
        f"POST /{route}/{number} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Stoatpath-Attempt-Id: held-{number}",
        "X-Stoatpath-Deadline-Ms: 20000",
        f"Authorization: Bearer {CALLER_KEY}",
        framing,
        "Connection: close",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def start(context, held_mb):
    """Start a gateway whose account has a bound, and record the most that it held."""
    use_deployment(context)
    deployment = context.deployment
    context.most_bytes = 0
    hold = MemoryAccount.hold

    def record(account, size):
        hold(account, size)
        context.most_bytes = max(context.most_bytes, account.held_bytes)

    replace(context, MemoryAccount, "hold", record)
    deployment.config["limits"] = LIMITS
    deployment.config["routes"] = [
        route | {"timeout_ms": 20_000} for route in deployment.config["routes"]
    ]
    context.loop.run_until_complete(deployment.start(models=0, plain=2))
    deployment.gateways[0].memory.max_bytes = held_mb * 1_000_000


@given(
    "a gateway that may hold {held:d} MB, "
    "before backend servers that read {rate:d} KB a second"
)
def step_impl(context, held, rate):
    start(context, held)

    async def work():
        for name, replica in context.deployment.replicas_by_name.items():
            server = SlowReader(replica, 1_000 * rate)
            address = await server.start()
            row = replica.server_row(address=address, slots=32)
            await context.deployment.store.put("servers", name, row)
            backends = context.deployment.gateways[0].backends
            await wait_until(
                lambda: backends.by_name[name].entry.address == address
            )
            context.readers = [*getattr(context, "readers", ()), server]

    context.loop.run_until_complete(work())


class SlowReader:
    """A backend server that reads the bodies of requests at a steady pace."""

    def __init__(self, replica, bytes_per_s):
        self.replica = replica
        self.bytes_per_s = bytes_per_s
        self.received_ids = set()

    async def start(self):
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_BLOCK_BYTES
        )
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
            )
            request_id = fields["x-stoatpath-attempt-id"]
            self.received_ids.add(request_id)
            left = int(fields["content-length"])
            while left:
                data = await reader.read(min(left, READ_BLOCK_BYTES))
                left -= len(data)
                await asyncio.sleep(len(data) / self.bytes_per_s)
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Stoatpath-Replica-Seal: s\r\n"
                + f"X-Stoatpath-Attempt-Id: {request_id}\r\n".encode()
                + b"Content-Length: 2\r\n\r\nok"
            )
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@given(
    "a gateway that may hold {held:d} MB, "
    "before backend servers with answers of {size:d} KB"
)
def step_impl(context, held, size):
    replace(context, connections, "WRITE_CHECK_S", 1.0)

    async def answer(replica, request, run, kind, headers):
        return web.Response(body=b"x" * (1_000 * size), headers=headers)

    replace(context, ReplicaStandin, "_answer", answer)
    start(context, held)


async def send_body(context, number, size, is_chunked):
    """Send a book request with a long body; return the status of its answer."""
    address = context.deployment.gateways[0].listener.address
    reader, writer = await open_connection(address)
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
    writer.write(head_of("book", number, framing))
    answer = asyncio.create_task(read_late_status(reader))
    try:
        for _ in range(size // 100_000):
            block = b"x" * 100_000
            writer.write(b"%x\r\n%b\r\n" % (len(block), block) if is_chunked else block)
            await writer.drain()
        if is_chunked:
            writer.write(b"0\r\n\r\n")
    except ConnectionError:
        pass
    status = await answer
    writer.transport.abort()
    return status


async def read_late_status(reader):
    """Return the status of an answer, 0 without one."""
    try:
        async with asyncio.timeout(25):
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
    except (ConnectionError, TimeoutError):
        return 0


@when("{count:d} callers send {kind} bodies of {size:d} KB within {seconds:d} s")
def step_impl(context, count, kind, size, seconds):
    async def work():
        tasks = []
        for number in range(count):
            send = send_body(context, number, 1_000 * size, kind == "chunked")
            tasks.append(asyncio.create_task(send))
            await asyncio.sleep(seconds / count)
        context.statuses = await asyncio.gather(*tasks)
        await asyncio.sleep(0.3)

    context.loop.run_until_complete(work())


@then(
    "between {least:d} and {most:d} of them are answered with {good:d}, "
    "and the others with {refused:d} and never sent"
)
def step_impl(context, least, most, good, refused):
    statuses = context.statuses
    assert set(statuses) <= {good, refused}, statuses
    assert least <= statuses.count(good) <= most, statuses
    sent_ids = set().union(*(each.received_ids for each in context.readers))
    for number, status in enumerate(statuses):
        assert (f"held-{number}" in sent_ids) == (status == good), (number, status)


@then("it never held more than {limit:d} MB, and holds nothing in the end")
def step_impl(context, limit):
    assert 0 < context.most_bytes <= limit * 1_000_000, context.most_bytes
    held_bytes = context.deployment.gateways[0].memory.held_bytes
    assert held_bytes == 0, held_bytes


@when("{count:d} callers send a look request and read nothing for {seconds:d} s")
def step_impl(context, count, seconds):
    async def work():
        address = context.deployment.gateways[0].listener.address
        writers = []
        for number in range(count):
            # Read no more than what the stream reader takes at once.
            reader, writer = await open_connection(address)
            writer.transport.pause_reading()
            writer.write(head_of("look", number, "Content-Length: 0"))
            writers.append((reader, writer))
            await asyncio.sleep(0.01)
        await asyncio.sleep(seconds)
        for _, writer in writers:
            writer.transport.abort()
        memory = context.deployment.gateways[0].memory
        await wait_until(lambda: not memory.held_bytes)

    context.loop.run_until_complete(work())


@then("a caller that reads is answered with {status:d}")
def step_impl(context, status):
    async def work():
        address = context.deployment.gateways[0].listener.address
        reader, writer = await open_connection(address)
        writer.write(head_of("look", 99, "Content-Length: 0"))
        found = await read_status(reader)
        writer.transport.abort()
        return found

    context.status = context.loop.run_until_complete(work())
    assert context.status == status, context.status


@when("it holds {held:d} MB and a caller sends a look request")
def step_impl(context, held):
    context.deployment.gateways[0].memory.hold(held * 1_000_000)
    context.execute_steps("Then a caller that reads is answered with 503")


@then("the caller is answered with {status:d}, and the request never ran")
def step_impl(context, status):
    assert context.status == status, context.status
    replicas = context.deployment.replicas_by_name.values()
    assert not any(replica.runs for replica in replicas)


@when("{count:d} callers announce bodies of {size:d} KB and send nothing")
def step_impl(context, count, size):
    async def work():
        address = context.deployment.gateways[0].listener.address
        context.silent = [await open_connection(address) for _ in range(count)]
        for number, (_, writer) in enumerate(context.silent):
            framing = f"Content-Length: {1_000 * size}"
            writer.write(head_of("book", number, framing))
        await asyncio.sleep(0.3)

    context.loop.run_until_complete(work())


@then("a caller with a body of {size:d} KB is answered with {status:d}")
def step_impl(context, size, status):
    send = send_body(context, 98, 1_000 * size, is_chunked=False)
    found = context.loop.run_until_complete(send)
    for _, writer in context.silent:
        writer.transport.abort()
    assert found == status, found
