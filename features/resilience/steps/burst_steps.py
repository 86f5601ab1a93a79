"""Steps about bursts of callers with long answers, before a gateway process."""

import asyncio
import re
from collections import Counter

from behave import given, then, when
from malformed_steps import use_deployment
from memory_steps import LIMITS, head_of
from stop_steps import GatewayProcess, open_connection
from task_steps import wait_until

from stoatpath.backpressure.memory import HeldAnswer, MemoryAccount

SLICE_BYTES = 65_536
SAMPLE_S = 0.02
SLOTS = 400


OK_LINE = b"HTTP/1.1 200 OK\r\n"


async def read_request_id(reader):
    """Read the head of a request; return its identifier."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    return re.search("(?i)attempt-id: (.*?)\r\n", head)[1]


def sealed_fields(request_id):
    """Return the fields by which an answer belongs to a request."""
    fields = f"X-Stoatpath-Replica-Seal: s\r\nX-Stoatpath-Attempt-Id: {request_id}\r\n"
    return fields.encode()


class LongAnswers:
    """A backend server whose answers all have the same long body."""

    def __init__(self, size):
        self.size = size
        self.ran_ids = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            request_id = await read_request_id(reader)
            self.ran_ids.add(request_id)
            length = f"Content-Length: {self.size}\r\n\r\n".encode()
            writer.write(OK_LINE + sealed_fields(request_id) + length)
            for start in range(0, self.size, SLICE_BYTES):
                writer.write(bytes(min(SLICE_BYTES, self.size - start)))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


CHUNKED_LINE = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1\r\nx\r\n"
# What an answer begins with, and what it repeats.
ENDLESS_PARTS = {
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim fields": (b"HTTP/1.1 103 Early Hints\r\n", b"Link: </a>\r\n"),
    "fields": (OK_LINE, b"X-More: more\r\n"),
    "long fields": (OK_LINE + b"X-More: ", b"more"),
    "chunk extensions": (OK_LINE + CHUNKED_LINE + b"5;", b"more"),
    "trailers": (OK_LINE + CHUNKED_LINE + CHUNK + b"0\r\n", b"X-More: more\r\n"),
    "bytes of a body": (OK_LINE + b"\r\n", b"x"),
}


class EndlessAnswers:
    """A backend server whose answers have no end."""

    def __init__(self, part):
        self.start_bytes, part_bytes = ENDLESS_PARTS[part]
        self.block = part_bytes * (SLICE_BYTES // len(part_bytes))

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1_000)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            fields = sealed_fields(await read_request_id(reader))
            start_bytes = self.start_bytes
            if start_bytes.startswith(OK_LINE):
                rest = start_bytes.removeprefix(OK_LINE)
                start_bytes = OK_LINE + fields + rest
            writer.write(start_bytes)
            while True:
                writer.write(self.block)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


def anonymous_mb(process):
    """Return the memory of a process without files and shared libraries, in MB."""
    with open(f"/proc/{process.process.pid}/status", encoding="ascii") as file:
        (kilobytes,) = re.findall(r"RssAnon:\s+(\d+)", file.read())
    return int(kilobytes) * 1024 / 1e6


async def record_peak(context):
    """Record the most memory that the gateway process takes."""
    while True:
        context.peak_mb = max(context.peak_mb, anonymous_mb(context.process))
        await asyncio.sleep(SAMPLE_S)


@given(
    "a gateway process with {memory:d} MB, "
    "before backend servers with answers of {size:d} KB"
)
def step_impl(context, memory, size):
    context.size = 1_000 * size
    start_process(context, memory, lambda: LongAnswers(context.size))


@given(
    "a gateway process with {memory:d} MB, "
    "before backend servers that send {part} without end"
)
def step_impl(context, memory, part):
    start_process(context, memory, lambda: EndlessAnswers(part))


def start_process(context, memory_mb, build_server):
    """Start a gateway process before two backend servers, and record its memory."""
    use_deployment(context)
    context.process = GatewayProcess()
    context.add_cleanup(
        lambda: context.loop.run_until_complete(context.process.close())
    )
    context.peak_mb = 0.0

    async def work():
        deployment = context.deployment
        deployment.config["limits"] = LIMITS
        deployment.config["routes"] = [
            route | {"timeout_ms": 20_000} for route in deployment.config["routes"]
        ]
        await deployment.start(models=0, plain=2, gateways=0)
        context.servers = []
        for name, replica in deployment.replicas_by_name.items():
            server = build_server()
            context.servers.append(server)
            address = await server.start()
            row = replica.server_row(address=address, slots=SLOTS)
            await deployment.store.put("servers", name, row)
        await context.process.start(deployment.store_address, memory_mb=memory_mb)
        events = context.process.events
        await wait_until(lambda: events("program.listening"), 20)
        await wait_until(lambda: events("backends.listed"), 20)
        context.address = events("program.listening")[0]["callers"]
        context.sampler = asyncio.create_task(record_peak(context))

    context.loop.run_until_complete(work())


@when(
    "{count:d} callers at once read {rate:d} byte a second of their answers for {seconds:d} s"
)
def step_impl(context, count, rate, seconds):
    async def read_slowly(number):
        reader, writer = await open_connection(context.address)
        # The kernel takes what it has room for; the caller takes what it reads.
        writer.transport.pause_reading()
        writer.write(head_of("look", number, "Content-Length: 0"))
        connection = writer.transport.get_extra_info("socket").dup()
        try:
            for _ in range(seconds * rate):
                await asyncio.sleep(1 / rate)
                try:
                    connection.recv(1)
                except (BlockingIOError, ConnectionError):
                    pass
        finally:
            connection.close()
            writer.transport.abort()

    async def work():
        await asyncio.gather(*(read_slowly(number) for number in range(count)))

    context.loop.run_until_complete(work())


@when("{count:d} callers at once read their answers as they come")
def step_impl(context, count):
    async def read_whole(number):
        reader, writer = await open_connection(context.address)
        writer.write(head_of("look", number, "Content-Length: 0"))
        size = 0
        try:
            async with asyncio.timeout(25):
                head = await reader.readuntil(b"\r\n\r\n")
                while data := await reader.read(SLICE_BYTES):
                    size += len(data)
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            return 0, size
        finally:
            writer.transport.abort()
        return int(head.split()[1]), size

    async def work():
        reads = (read_whole(number) for number in range(count))
        context.answers = await asyncio.gather(*reads)

    context.loop.run_until_complete(work())


@when("{count:d} callers at once send a {route} request")
def step_impl(context, count, route):
    async def read_status_of(number):
        reader, writer = await open_connection(context.address)
        writer.write(head_of(route, number, "Content-Length: 0"))
        try:
            async with asyncio.timeout(25):
                head = await reader.readuntil(b"\r\n\r\n")
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            writer.transport.abort()
        return int(head.split()[1])

    async def work():
        reads = (read_status_of(number) for number in range(count))
        context.statuses = Counter(await asyncio.gather(*reads))

    context.loop.run_until_complete(work())


@then("each is answered with 502, 503 or 504")
def step_impl(context):
    print(context.statuses)
    assert set(context.statuses) <= {502, 503, 504}, context.statuses


@then(
    "each is answered with {good:d} and the whole answer, or with {refused:d} and never ran"
)
def step_impl(context, good, refused):
    ran_ids = set().union(*(server.ran_ids for server in context.servers))
    for number, (status, size) in enumerate(context.answers):
        was_run = f"held-{number}" in ran_ids
        expected = (good, context.size, True), (refused, size, False)
        assert (status, size, was_run) in expected, (number, status, size, was_run)


@then("at least {least:d} are answered with {status:d}")
def step_impl(context, least, status):
    count = sum(answer[0] == status for answer in context.answers)
    print(f"{count} of {len(context.answers)}")
    assert count >= least, count


@then("the process never took more than {limit:d} MB")
def step_impl(context, limit):
    print(f"peak {context.peak_mb:.0f} MB")
    context.sampler.cancel()
    assert 0 < context.peak_mb <= limit, context.peak_mb


@given("an account of {size:d} KB, full of two answers of which one was there first")
def step_impl(context, size):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    account = MemoryAccount(1_000 * size)
    context.first, context.second = HeldAnswer(account), HeldAnswer(account)

    async def read():
        context.first.hold(600 * size)
        context.second.hold(600 * size)
        return context.first.must_wait(), context.second.must_wait()

    context.must_wait = context.loop.run_until_complete(read())


@then("the first may be read on, and the second waits")
def step_impl(context):
    assert context.must_wait == (False, True), context.must_wait


@then("once the first has stalled for {seconds:d} s the second may be read on")
def step_impl(context, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            await context.second.wait_for_room()
        return context.second.must_wait(), context.first.must_wait()

    must_wait = context.loop.run_until_complete(wait())
    assert must_wait == (False, True), must_wait
