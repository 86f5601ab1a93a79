"""Steps about answers that come while their requests are written."""

import asyncio
import re

from behave import given, then, when
from burst_steps import OK_LINE, read_request_id, sealed_fields
from memory_steps import head_of, start
from stop_steps import open_connection
from task_steps import wait_until

FRAMING = {
    "a length": (b"Content-Length: 1000\r\n", b"x" * 500),
    "chunks": (b"Transfer-Encoding: chunked\r\n", b"3e8\r\n" + b"x" * 500),
    "neither": (b"", b"x" * 500),
}
HELD_MB = 50
# The answer reaches the gateway before the reset, which would overtake it.
RESET_AFTER_S = 0.05


class EarlyAnswers:
    """A backend server that answers the first bytes of a body, and resets."""

    def __init__(self):
        self.framing = ""
        self.answers = 0

    async def start(self):
        """Listen on loopback; return the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=65_536)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            fields = sealed_fields(await read_request_id(reader))
            await reader.read(1)
            field, part = FRAMING[self.framing]
            writer.write(OK_LINE + fields + field + b"\r\n" + part)
            self.answers += 1
            await asyncio.sleep(RESET_AFTER_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            # Bytes that were not read make it a reset.
            writer.transport.abort()


@given("a gateway before backend servers that answer uploads early and reset")
def step_impl(context):
    start(context, HELD_MB)
    deployment = context.deployment
    context.server = EarlyAnswers()

    async def work():
        backends = deployment.gateways[0].backends
        for name, replica in deployment.replicas_by_name.items():
            address = await context.server.start()
            row = replica.server_row(address=address)
            await deployment.store.put("servers", name, row)
            await wait_until(lambda: backends.by_name[name].entry.address == address)

    context.loop.run_until_complete(work())


@when("a caller uploads {size:d} KB in a {route} request, for answers with {framing}")
def step_impl(context, size, route, framing):
    context.server.framing = framing

    async def work():
        address = context.deployment.gateways[0].listener.address
        reader, writer = await open_connection(address)
        writer.write(head_of(route, 1, f"Content-Length: {1_000 * size}"))
        writer.write(bytes(1_000 * size))
        async with asyncio.timeout(25):
            answer = await reader.read()
        writer.close()
        return answer

    context.answer = context.loop.run_until_complete(work())


@then("the caller gets a whole {status:d}")
def step_impl(context, status):
    assert context.server.answers
    head, _, body = context.answer.partition(b"\r\n\r\n")
    assert int(head.split()[1]) == status, context.answer[:200]
    length = re.search(rb"(?i)content-length: (\d+)", head)[1]
    assert len(body) == int(length), (length, body)
