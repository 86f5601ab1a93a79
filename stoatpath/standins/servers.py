"""The HTTP server that all stand-ins use."""

import socket
import struct

from aiohttp import web

# With a linger time of 0 s, a socket is closed by a TCP reset.
NO_LINGER = struct.pack("ii", 1, 0)
MAX_BODY_BYTES = 64 * 1024 * 1024


class StandinServer:
    """Serves the routes of one stand-in on a loopback port.

    `on_prepare` is a coroutine function that may add headers to each response.
    """

    __slots__ = ("_app", "_runner", "address")

    def __init__(self, routes, on_prepare=None):
        self._app = web.Application(client_max_size=MAX_BODY_BYTES)
        if on_prepare is not None:
            self._app.on_response_prepare.append(on_prepare)
        self._app.add_routes(routes)
        self._runner = None
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        """Listen and return the address as `host:port`."""
        self._runner = web.AppRunner(self._app, access_log=None, auto_decompress=False)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, shutdown_timeout=0.1)
        await site.start()
        bound = site._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    async def stop_listening(self):
        """Accept no more connections; open connections stay open."""
        for site in list(self._runner.sites):
            await site.stop()

    async def stop(self):
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


def drop_connection(request):
    """Close the TCP connection of a request at once, without a response."""
    if request.transport is not None:
        request.transport.abort()


def reset_connection(request):
    """Close the TCP connection of a request with a reset, whatever was written."""
    if request.transport is None or request.transport.is_closing():
        return
    connection = request.transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    request.transport.abort()
