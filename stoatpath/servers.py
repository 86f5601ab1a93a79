"""An HTTP server on one address, with or without TLS."""

from aiohttp import web


class HttpServer:
    """Serves aiohttp routes.

    `tls` is an SSL context or None. `limits` are options of the protocol, such as
    `max_field_size`.
    """

    __slots__ = ("_routes", "_tls", "_max_body_bytes", "_limits", "_runner", "address")

    def __init__(self, routes, tls, max_body_bytes, **limits):
        self._routes = routes
        self._tls = tls
        self._max_body_bytes = max_body_bytes
        self._limits = limits
        self._runner = None
        self.address = ""

    async def start(self, address, shutdown_timeout_ms=500):
        """Listen on `host:port`; port 0 picks a free one."""
        app = web.Application(client_max_size=self._max_body_bytes)
        app.add_routes(self._routes)
        self._runner = web.AppRunner(app, access_log=None, **self._limits)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        site = web.TCPSite(
            self._runner,
            host.strip("[]"),
            int(port),
            ssl_context=self._tls,
            shutdown_timeout=shutdown_timeout_ms / 1000,
        )
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self):
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
