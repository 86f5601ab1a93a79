"""Stand-in of a plain service such as a booking application."""

import asyncio

from aiohttp import web

from stoatpath.standins.faults import FaultTable
from stoatpath.standins.servers import StandinServer, drop_connection


class ServiceStandin:
    """Answers any path and remembers every call that it ran."""

    __slots__ = ("name", "faults", "executions", "leaving", "delay_ms", "_server")

    def __init__(self, name, delay_ms=1):
        self.name = name
        self.faults = FaultTable()
        self.executions = []
        self.leaving = False
        self.delay_ms = delay_ms
        self._server = StandinServer(
            [
                web.get("/stoatpath/load", self._load),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )

    async def start(self):
        """Listen and return the address as `host:port`."""
        return await self._server.start()

    async def stop(self):
        """Stop listening and drop all connections."""
        await self._server.stop()

    async def _load(self, request):
        report = {
            "name": self.name,
            "versions": [],
            "running": 0,
            "slots": 64,
            "leaving": self.leaving,
            "token_ms": 0,
        }
        return web.json_response(report)

    async def _serve(self, request):
        fault = self.faults.take("serve")
        kind = fault.kind if fault is not None else ""
        if kind == "reset-before":
            drop_connection(request)
            return web.Response(status=503)
        body = await request.text()
        if kind == "not-run":
            return web.Response(status=503, headers={"Engine-Not-Run": "true"})
        request_id = request.headers.get("Stoatpath-Request-Id", "")
        self.executions.append((request_id, request.method, request.path, body))
        await asyncio.sleep(
            (fault.delay_ms if kind == "slow" else self.delay_ms) / 1000
        )
        if kind == "reset-after":
            drop_connection(request)
        if kind == "error-after":
            return web.Response(
                status=500, headers={"Stoatpath-Request-Id": request_id}
            )
        answer = {"service": self.name, "path": request.path, "request_id": request_id}
        return web.json_response(answer, headers={"Stoatpath-Request-Id": request_id})
