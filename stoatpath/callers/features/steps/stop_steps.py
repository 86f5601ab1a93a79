"""Steps on connections that are accepted while a listener closes."""

import asyncio
import socket

from behave import given, then, when
from listeners import FakeRouter, RecordingPipeline

from stoatpath.callers.listeners import Listener

CLOSE_TIMEOUT_S = 5
REQUEST = b"GET /look HTTP/1.1\r\nHost: desk.example\r\n\r\n"


@given("a listener that has stopped")
def step_impl(context):
    context.listener = Listener(FakeRouter(), RecordingPipeline())


@when("a connection from its backlog is accepted, with a request")
def step_impl(context):
    async def work():
        listener = context.listener
        await listener.start("127.0.0.1:0")
        server = listener._server
        await listener.stop()
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        await loop.connect_accepted_socket(server, sock=theirs)
        reader, writer = await asyncio.open_connection(sock=ours)
        writer.write(REQUEST)
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                return await reader.read()
        except ConnectionError:
            return b""
        except TimeoutError:
            return None
        finally:
            writer.transport.abort()

    context.received = asyncio.run(work())


@then("the connection is closed without an answer")
def step_impl(context):
    assert context.received == b"", context.received
