"""Faults of single connections: silence, and answers that are broken or doubled."""

import asyncio
import weakref

from aiohttp import web

from stoatpath.standins.servers import drop_connection

SILENCE_S = 30.0
DUPLICATE_DELAY_MS = 30


class SilentConnections:
    """Connections that something between the two ends has lost track of."""

    __slots__ = ("_open", "_silent", "unanswered_count")

    def __init__(self):
        self._open = weakref.WeakSet()
        self._silent = weakref.WeakSet()
        self.unanswered_count = 0

    def silence_open(self):
        """Let every connection that is open now go silent for good."""
        self._silent.update(self._open)

    async def pass_on(self, request):
        """Return at once, or after a long silence that swallows the request."""
        self._open.add(request.transport)
        if request.transport not in self._silent:
            return True
        self.unanswered_count += 1
        await asyncio.sleep(SILENCE_S)
        return False


async def reset_while_sending(request):
    """Reset the connection when a part of the request has been read."""
    await request.content.readany()
    drop_connection(request)
    return web.Response(status=503)


async def send_half(request, body):
    """Send half of an answer with the length of the whole."""
    response = web.StreamResponse()
    response.content_type = "application/json"
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    drop_connection(request)
    return response


async def send_half_unmarked(request, body):
    """Send half of an answer that ends where the connection closes."""
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Connection: close\r\n\r\n"
    )
    request.transport.write(head + body[: len(body) // 2])
    request.transport.close()
    return web.Response()


async def send_twice(request, body, headers):
    """Send an answer, and the same one again when nobody asked any more."""
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n{''.join(lines)}\r\n"
    )
    request.transport.write(head.encode() + body)
    await asyncio.sleep(DUPLICATE_DELAY_MS / 1000)
    return web.Response(body=body, content_type="application/json", headers=headers)
