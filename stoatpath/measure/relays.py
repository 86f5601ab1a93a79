"""A bare relay without any decisions, the baseline of the hot-path experiment."""

import aiohttp
from aiohttp import web


class Relay:
    """Forwards requests to one backend server, and its answers to the caller."""

    __slots__ = ("_target", "_session", "_runner", "address")

    def __init__(self, target):
        self._target = target
        self._session = None
        self._runner = None
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        app = web.Application()
        app.add_routes([web.post("/{path:.*}", self._forward)])
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Close all connections."""
        await self._runner.cleanup()
        await self._session.close()

    async def _forward(self, request):
        body = await request.read()
        url = f"http://{self._target}{request.path}"
        async with self._session.post(url, data=body) as upstream_response:
            if upstream_response.content_type != "text/event-stream":
                data = await upstream_response.read()
                return web.Response(
                    body=data, content_type=upstream_response.content_type
                )
            response = web.StreamResponse()
            response.content_type = upstream_response.content_type
            await response.prepare(request)
            async for chunk in upstream_response.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response
