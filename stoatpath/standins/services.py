"""Stand-in of a plain service such as a booking application.

Faults of `serve`: `reset-before`, `reset-during` (while the request is sent),
`reset-after`, `not-run`, `hold-off` (not run, and none wanted for 30 s), `slow`,
`error-after`, `half-answer`,
`half-answer-unmarked`, `twice`, `wrong-id`.
"""

import asyncio

from aiohttp import web

from stoatpath.clock import Clock
from stoatpath.standins.connections import (
    SilentConnections,
    reset_during_request,
    send_half,
    send_half_without_length,
    send_twice,
)
from stoatpath.standins.faults import FaultTable
from stoatpath.standins.servers import StandinServer, drop_connection
from stoatpath.utils import cancel_and_wait, encode_json

HOLD_OFF_HEADERS = {"Retry-After": "30"}
REQUEST_ID_HEADER = "Stoatpath-Request-Id"


class ServiceStandin:
    """Answers any path and records each request that it ran.

    `echoes` is whether responses repeat the identifier of the request;
    `cache_control` is the value of the `Cache-Control` header, or "" for none.
    `ends_ms` are the clock readings at which a request ended it; see `end_on`.
    """

    __slots__ = (
        "name",
        "faults",
        "executions",
        "leaving",
        "delay_ms",
        "echoes",
        "cache_control",
        "connections",
        "ends_ms",
        "_poison_path",
        "_down_s",
        "_transports",
        "_restarts",
        "_server",
    )

    def __init__(self, name, delay_ms=1):
        self.name = name
        self.faults = FaultTable()
        self.executions = []
        self.leaving = False
        self.delay_ms = delay_ms
        self.echoes = True
        self.cache_control = ""
        self.connections = SilentConnections()
        self.ends_ms = []
        self._poison_path = None
        self._down_s = 0.0
        self._transports = set()
        self._restarts = set()
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
        await cancel_and_wait(list(self._restarts))
        await self._server.stop()

    def end_on(self, path, down_s):
        """End under each request for a path, and listen again after some seconds."""
        self._poison_path = path
        self._down_s = down_s

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
        if not await self.connections.admit_request(request):
            return web.Response(status=503)
        fault = self.faults.next_fault("serve")
        kind = fault.kind if fault is not None else ""
        if kind == "reset-before":
            drop_connection(request)
            return web.Response(status=503)
        if kind == "reset-during":
            return await reset_during_request(request)
        self._transports.add(request.transport)
        body = await request.text()
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if kind in ("not-run", "hold-off"):
            headers = {"Engine-Not-Run": "true", **self._echo_headers(request_id)}
            if kind == "hold-off":
                headers |= HOLD_OFF_HEADERS
            return web.Response(status=503, headers=headers)
        self.executions.append((request_id, request.method, request.path, body))
        if request.path == self._poison_path:
            self._end()
            return web.Response()
        await asyncio.sleep(
            (fault.delay_ms if kind == "slow" else self.delay_ms) / 1000
        )
        return await self._answer(request, request_id, kind)

    def _end(self):
        self.ends_ms.append(Clock().now_ms())
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        restart = asyncio.get_running_loop().create_task(self._restart())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self):
        host, _, port = self._server.address.rpartition(":")
        await self._server.stop()
        await asyncio.sleep(self._down_s)
        await self._server.start(host, int(port))

    async def _answer(self, request, request_id, kind):
        echoed = "foreign" if kind == "wrong-id" else request_id
        headers = self._echo_headers(echoed)
        if self.cache_control:
            headers["Cache-Control"] = self.cache_control
        answer = {"service": self.name, "path": request.path, "request_id": request_id}
        body = encode_json(answer)
        if kind == "reset-after":
            drop_connection(request)
        if kind == "error-after":
            return web.Response(status=500, headers=headers)
        if kind == "half-answer":
            return await send_half(request, body)
        if kind == "half-answer-unmarked":
            return await send_half_without_length(request, body)
        if kind == "twice":
            return await send_twice(request, body, headers)
        return web.Response(body=body, content_type="application/json", headers=headers)

    def _echo_headers(self, request_id):
        return {REQUEST_ID_HEADER: request_id} if self.echoes else {}
