"""Serves the platform's readiness probe."""

from aiohttp import web

from stoatpath.platform import names
from stoatpath.servers import HttpServer

MAX_REQUEST_BYTES = 1_024


class ReadyServer:
    """Answers 200 if the callable `is_ready` returns true, else 503.

    It listens on an address of its own.
    """

    __slots__ = ("_is_ready", "_server", "address")

    def __init__(self, is_ready):
        self._is_ready = is_ready
        self._server = None
        self.address = ""

    async def start(self, address):
        """Listen on `host:port`; port 0 picks a free one."""
        routes = [web.get(names.READY_PATH, self._handle_probe)]
        self._server = HttpServer(routes, None, MAX_REQUEST_BYTES)
        await self._server.start(address)
        self.address = self._server.address

    async def stop(self):
        """Close the listener."""
        if self._server is not None:
            await self._server.stop()

    async def _handle_probe(self, request):
        return web.Response(status=200 if self._is_ready() else 503)
