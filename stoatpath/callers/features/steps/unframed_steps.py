"""Steps about responses whose body ends with the connection."""

import asyncio
import socket
from unittest import mock

from aiohttp import web
from behave import then, when

from stoatpath.callers import unframed

FIRST = "/first"
FIRST_BODY = bytes(200_000)
PAUSE_S = 0.002
READ_BYTES = 65_536
# The kernel holds little, as on a slow network.
BUFFER_BYTES = 8_192


async def read_response(size, is_slow):
    """Return the body that a caller got, and the settings with the bytes in wait.

    The request is the second one on its connection; the first response is large.
    """
    settings = []
    set_linger = unframed._set_linger

    def record(transport, linger):
        settings.append((linger, transport.get_write_buffer_size()))
        set_linger(transport, linger)

    async def answer(request):
        if request.path == FIRST:
            return web.Response(body=FIRST_BODY)
        return unframed.UnframedResponse(200, [], b"x" * size)

    server = web.Server(answer, access_log=None)
    bound = socket.create_server(("127.0.0.1", 0))
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    listener = await asyncio.get_running_loop().create_server(server, sock=bound)
    connection = socket.socket()
    if is_slow:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    connection.connect(listener.sockets[0].getsockname())
    connection.setblocking(False)
    data = b""
    with mock.patch.object(unframed, "_set_linger", record):
        reader, writer = await asyncio.open_connection(sock=connection)
        for path in (FIRST, "/"):
            writer.write(f"GET {path} HTTP/1.1\r\nHost: desk.example\r\n\r\n".encode())
        while chunk := await reader.read(READ_BYTES):
            data += chunk
            if is_slow:
                await asyncio.sleep(PAUSE_S)
    writer.close()
    listener.close()
    await server.shutdown()
    return data.rpartition(b"\r\n\r\n")[2], settings


@when("a caller reads a response without length of {size:d} bytes {speed}")
def step_impl(context, size, speed):
    context.size = size
    context.body, context.settings = asyncio.run(read_response(size, speed == "slowly"))


@then("the connection is to be reset on close until nothing waits to be sent")
def step_impl(context):
    (first, _), last = context.settings
    assert first == unframed.RESET_ON_CLOSE, context.settings
    assert last == (unframed.SEND_ON_CLOSE, 0), context.settings


@then("the caller gets all of it")
def step_impl(context):
    assert context.body == b"x" * context.size, len(context.body)
