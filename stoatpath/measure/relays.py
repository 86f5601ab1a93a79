"""A bare relay that decides nothing, the baseline of the hot path."""

import aiohttp
from aiohttp import web


class Relay:
    """Passes requests on to one backend server and answers back."""

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
        app.add_routes([web.post("/{path:.*}", self._pass_on)])
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Close all connections."""
        await self._runner.cleanup()
        await self._session.close()

    async def _pass_on(self, request):
        body = await request.read()
        url = f"http://{self._target}{request.path}"
        async with self._session.post(url, data=body) as answer:
            if answer.content_type != "text/event-stream":
                data = await answer.read()
                return web.Response(body=data, content_type=answer.content_type)
            response = web.StreamResponse()
            response.content_type = answer.content_type
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response
