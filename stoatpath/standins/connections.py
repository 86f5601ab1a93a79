"""Connection faults: no response, a truncated response, or a repeated one."""

import asyncio
import weakref

from aiohttp import web

from stoatpath.standins.servers import drop_connection

SILENCE_S = 30.0
DUPLICATE_DELAY_MS = 30


class SilentConnections:
    """Simulates connections that a middlebox dropped without telling either end.

    `unanswered_count` counts the requests on such connections. Each is delayed by
    30 s and then rejected.
    """

    __slots__ = ("_open", "_silent", "unanswered_count")

    def __init__(self):
        self._open = weakref.WeakSet()
        self._silent = weakref.WeakSet()
        self.unanswered_count = 0

    def silence_open(self):
        """Silence all open connections that have carried a request."""
        self._silent.update(self._open)

    async def admit_request(self, request):
        """Return True, or False after a long wait if the connection is silent."""
        self._open.add(request.transport)
        if request.transport not in self._silent:
            return True
        self.unanswered_count += 1
        await asyncio.sleep(SILENCE_S)
        return False


async def reset_during_request(request):
    """Abort the connection after a first part of the request body was read."""
    await request.content.readany()
    drop_connection(request)
    return web.Response(status=503)


async def send_half(request, body):
    """Send half of a body under the `Content-Length` of the whole, then disconnect."""
    response = web.StreamResponse()
    response.content_type = "application/json"
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    drop_connection(request)
    return response


async def send_half_without_length(request, body):
    """Send half of a body that is delimited only by the close of the connection."""
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Connection: close\r\n\r\n"
    )
    request.transport.write(head + body[: len(body) // 2])
    request.transport.close()
    return web.Response()


async def send_twice(request, body, headers):
    """Send a response and, after 30 ms, an unsolicited copy of it."""
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{''.join(lines)}\r\n"
    )
    request.transport.write(head.encode() + body)
    await asyncio.sleep(DUPLICATE_DELAY_MS / 1000)
    return web.Response(body=body, content_type="application/json", headers=headers)
