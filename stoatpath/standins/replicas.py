"""Stand-in of a backend server that answers in the platform's protocol.

Faults of `serve` before a run: `shed`, `reset-before`, `silent`. After it: `error`,
`reset-after`, `half`, `unframed`, `unframed-reset`, `garbage`, `wrong-id`,
`no-seal`, `encoded`, `extra`, `slow`. Of a stream: `cut` (after some events, within
one), `skip` (an event is missing), `stall`.
"""

import asyncio
import socket
import struct

from aiohttp import web

from stoatpath.standins.faults import FaultTable
from stoatpath.standins.servers import StandinServer, drop_connection

SILENCE_S = 30.0
CUT_AFTER_EVENTS = 3
ATTEMPT_ID = "X-Stoatpath-Attempt-Id"
SEAL = "X-Stoatpath-Replica-Seal"


class Run:
    """One request that a replica ran: its headers and what it was asked."""

    __slots__ = ("request_id", "method", "path", "headers", "body", "was_cancelled")

    def __init__(self, request, body):
        self.request_id = request.headers.get(ATTEMPT_ID)
        self.method = request.method
        self.path = request.raw_path
        self.headers = request.headers.copy()
        self.body = body
        self.was_cancelled = False


class ReplicaStandin:
    """Answers any path and remembers every request that it ran.

    `confidence_by_model` sets what the heads of its answers show; `events` is the
    length of its streams, `event_ms` the pause between two events. `reached`
    counts requests, also those that did not run.
    """

    __slots__ = (
        "name",
        "service",
        "release",
        "zone",
        "address",
        "faults",
        "runs",
        "received_count",
        "confidence_by_model",
        "events",
        "event_ms",
        "delay_ms",
        "_server",
    )

    def __init__(self, name, service, release="v1", zone="zone-a"):
        self.name = name
        self.service = service
        self.release = release
        self.zone = zone
        self.address = ""
        self.faults = FaultTable()
        self.runs = []
        self.received_count = 0
        self.confidence_by_model = {}
        self.events = 5
        self.event_ms = 1.0
        self.delay_ms = 0.0
        self._server = StandinServer([web.route("*", "/{path:.*}", self._serve)])

    async def start(self):
        """Listen and return the address as `host:port`."""
        self.address = await self._server.start()
        return self.address

    async def stop_listening(self):
        """Take no more connections; those that are open stay."""
        await self._server.stop_listening()

    async def stop(self):
        """Stop listening and drop all connections."""
        await self._server.stop()

    def server_row(self, state="ready", **changes):
        """Return the row in which the replica lists itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.release,
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            **changes,
        }

    async def _serve(self, request):
        self.received_count += 1
        fault = self.faults.next_fault("serve")
        kind = "" if fault is None else fault.kind
        if kind == "silent":
            await asyncio.sleep(SILENCE_S)
        if kind == "reset-before":
            drop_connection(request)
            return web.Response(status=503)
        echo = {ATTEMPT_ID: request.headers.get(ATTEMPT_ID, "")}
        if request.headers.get("X-Stoatpath-Expect-Replica") != self.name:
            return web.Response(status=421, headers=echo)
        if kind == "shed":
            headers = echo | {"X-Stoatpath-Not-Executed": "1"}
            return web.Response(status=503, headers=headers)
        run = Run(request, await request.read())
        self.runs.append(run)
        try:
            await asyncio.sleep((self.delay_ms if kind != "slow" else 400) / 1000)
            return await self._answer(request, run, kind, echo | self._marks(run))
        except (asyncio.CancelledError, ConnectionError):
            run.was_cancelled = True
            raise

    def _marks(self, run):
        marks = {SEAL: f"{self.name}.{len(self.runs)}"}
        confidence = self.confidence_by_model.get(run.headers.get("X-Stoatpath-Model"))
        if confidence is not None:
            marks["X-Stoatpath-Confidence"] = str(confidence)
        return marks

    async def _answer(self, request, run, kind, headers):
        if kind == "reset-after":
            drop_connection(request)
            return web.Response()
        if kind == "error":
            return web.Response(status=500, headers=headers, body=b"failed")
        if kind == "wrong-id":
            headers[ATTEMPT_ID] = "another"
        if kind == "no-seal":
            del headers[SEAL]
        if kind == "encoded":
            headers["Content-Encoding"] = "gzip"
        if "text/event-stream" in request.headers.get("Accept", ""):
            return await self._stream(request, kind, headers)
        body = f"{self.name} answers {run.request_id}".encode()
        if kind in ("half", "unframed", "unframed-reset", "garbage", "extra"):
            return await _write_raw(request, kind, headers, body)
        return web.Response(body=body, headers=headers)

    async def _stream(self, request, kind, headers):
        start = int(request.headers.get("Last-Event-Id", 0))
        headers |= {"Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(start + 1, self.events + 1):
            if number > start + CUT_AFTER_EVENTS and kind == "cut":
                await response.write(f"id: {number}\nda".encode())
                drop_connection(request)
                return response
            if number > start + CUT_AFTER_EVENTS and kind == "stall":
                await asyncio.sleep(SILENCE_S)
            if number == start + CUT_AFTER_EVENTS and kind == "skip":
                continue
            await response.write(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(self.event_ms / 1000)
        await response.write_eof()
        return response


async def _write_raw(request, kind, headers, body):
    """Write an answer by hand, framed or ended as a fault has it."""
    if kind == "garbage":
        request.transport.write(b"\x00\x01 this is no answer\r\n\r\n")
        request.transport.close()
        return web.Response()
    lines = [f"{name}: {value}" for name, value in headers.items()]
    if not kind.startswith("unframed"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
    whole = kind in ("unframed", "extra")
    request.transport.write(head + (body if whole else body[: len(body) // 2]))
    if kind == "extra":
        request.transport.write(head + b"x" * len(body))
    await asyncio.sleep(0.01)
    if kind == "unframed-reset":
        reset = struct.pack("ii", 1, 0)
        made = request.transport.get_extra_info("socket")
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        request.transport.abort()
    else:
        request.transport.close()
    return web.Response()
