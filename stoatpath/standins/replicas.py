"""Stand-in of a backend server of gateways, in the platform's protocol.

Faults of `serve` before the request runs: `shed`, `shed-twice` (the rejection is
written twice on a connection that stays open), `reset-before`, `silent` (a delay of
30 s). Of its answer: `error`, `reset-after`, `half`, `unframed`, `unframed-reset`,
`garbage`, `wrong-id`, `no-seal` (without the header that vouches for an answer),
`encoded`, `extra`, `slow`, `echo-bytes` (with the header `X-Bytes` of the request, byte
for byte), and bytes without end: `endless-body`, `endless-head`,
`endless-interim` (1xx answers), `endless-chunk` (the extension of a chunk). Of a
stream: `cut` (disconnected within an event, after some whole ones), `skip` (an event is
missing), `stall`, `endless-event`, `unframed` (it ends with its connection) and
`unframed-cut` (the same, within an event), `unframed-empty` (without any event),
`cut-N` (disconnected within the event after N whole ones, or after the last one) and
`break-N` (disconnected between events, after N whole ones).
Of both: `unframed-short` (closed after some whole events, or half of the body) and
`unframed-crash` (the same, and the replica ends as a killed process does) and
`unframed-restart` (the same, and another process is in its place at once).
A stream of other numbers: `late` (one is missing at the start), `again` (from the first
event, whatever was asked for), `repeat` (from the event that was named), `empty`,
`comment` (without events, but with a comment),
`sparse` and `sparse-cut` (they rise by 10), `unnumbered` (an event without identifier
comes first) and `unnumbered-cut` (such an event is the last before the disconnection).
In place of a stream: `status-N` (an answer with a body), `events-N` (a stream with this
status and an event without identifier) and `short` (a body shorter than its length).
Of the answer to who it is (`identify`): `split` (it comes in two parts), `text` (no
JSON), `list` (no JSON object), `endless`, `late` and `busy` (without its name).
Of any answer: `odd-NAME` (a head that HTTP forbids, see `odd_heads.py`),
`head-LAYOUT-END-N` (it stops N bytes before the end of its head, see
`write_cut_head`) and `garbled` (bytes that are no chunk follow a part of its body).
"""

import asyncio
import time

from aiohttp import web

from stoatpath.clock import Clock
from stoatpath.standins.cut_heads import write_cut_head
from stoatpath.standins.faults import FaultTable
from stoatpath.standins.odd_heads import ODD_PREFIX, write_odd_head
from stoatpath.standins.servers import StandinServer, drop_connection, reset_connection
from stoatpath.utils import encode_json

SILENCE_S = 30.0
CUT_AFTER_EVENTS = 3
ATTEMPT_ID_HEADER = "X-Stoatpath-Attempt-Id"
PROMPT_HEADER = "X-Stoatpath-Prompt-Prefix"
CRASH_AFTER_S = 0.02
GARBLED_AFTER_S = 0.02
PART_PAUSE_S = 0.02
GARBLED_BYTES = b"this is no chunk\r\n"
ENDLESS_BLOCK_BYTES = 65_536
RAW_KINDS = (
    "half",
    "unframed",
    "unframed-reset",
    "unframed-short",
    "unframed-crash",
    "unframed-restart",
    "garbage",
    "extra",
)
LATE_IDENTITY_S = 1.2
HEALTH_PATH = "/healthz"
IDENTITY_PATHS = (HEALTH_PATH, "/-/report")
ENDLESS_KINDS = ("endless-body", "endless-head", "endless-interim", "endless-chunk")
FAILED_BODY = b'{"error": "the request failed"}'
# In the numbers of a stream: an event without one, a comment, and a disconnection.
UNNUMBERED = "unnumbered"
COMMENT = "comment"
CUT = "cut"
SPARSE_STEP = 10
FAILED_EVENT = b"event: error\ndata: the request failed\n\n"
ENDLESS_EVENT = b"3e8\r\n" + 1000 * b"d" + b"\r\n"
SEAL_HEADER = "X-Stoatpath-Replica-Seal"
BYTES_HEADER = b"X-Bytes"


class Run:
    """A request that a replica ran."""

    __slots__ = ("request_id", "method", "path", "headers", "body", "was_cancelled")

    def __init__(self, request, body):
        self.request_id = request.headers.get(ATTEMPT_ID_HEADER)
        self.method = request.method
        self.path = request.raw_path
        self.headers = request.headers.copy()
        self.body = body
        self.was_cancelled = False


class ReplicaStandin:
    """Answers any path and records all requests that it ran.

    `confidence_by_model` sets the confidence header of its answers; `events` is the
    number of events of a stream, `event_ms` the delay after each. `received_count`
    counts all requests, including those that did not run, and `arrivals` holds the
    clock reading and the identifier of each. `endless_bytes` counts the bytes of
    answers without end. `limit_per_s` is the limit that it names in its answers, or
    None. `is_leaving` makes it say so in its answers. It turns requests away for
    `hold_off_s` seconds, if that is not None, with 503 and `Retry-After`. A stream
    whose prompt has the part `poison_part` ends the replica as it begins: all
    connections are dropped, and `on_crash` is called with the replica. So does any
    request for the path `poison_path`, before the head of its answer. It runs `room`
    requests at once and rejects others. `born` is the Unix time of its start in ms.
    With `max_rejections_per_s` it says that it is brittle, and `falls_ms` are the times
    at which more rejections would have ended it.
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
        "arrivals",
        "limit_per_s",
        "is_leaving",
        "hold_off_s",
        "poison_part",
        "poison_path",
        "on_crash",
        "room",
        "max_rejections_per_s",
        "rejections_ms",
        "falls_ms",
        "_running",
        "born",
        "endless_bytes",
        "confidence_by_model",
        "events",
        "event_ms",
        "delay_ms",
        "_server",
        "_transports",
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
        self.arrivals = []
        self.limit_per_s = None
        self.is_leaving = False
        self.hold_off_s = None
        self.poison_part = None
        self.poison_path = None
        self.on_crash = lambda replica: None
        self.room = float("inf")
        self.max_rejections_per_s = None
        self.rejections_ms = []
        self.falls_ms = []
        self._running = 0
        self.born = int(time.time() * 1_000)
        self.endless_bytes = 0
        self.confidence_by_model = {}
        self.events = 5
        self.event_ms = 1.0
        self.delay_ms = 0.0
        self._server = StandinServer(
            [web.route("*", "/{path:.*}", self._serve, expect_handler=_accept_any)]
        )
        self._transports = set()

    async def start(self):
        """Listen and return the address as `host:port`."""
        self.address = await self._server.start()
        return self.address

    async def stop_listening(self):
        """Accept no more connections; open connections stay open."""
        await self._server.stop_listening()

    async def stop(self):
        """Stop listening and drop all connections."""
        await self._server.stop()

    async def crash(self):
        """Drop all connections and stop listening."""
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        await self._server.stop()

    def open_connections(self):
        """Return the number of connections with a request that callers keep open."""
        return sum(not transport.is_closing() for transport in self._transports)

    def server_row(self, state="ready", **changes):
        """Return the row of the replica in the table `servers`."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.release,
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
            **changes,
        }

    async def _serve(self, request):
        self._transports.add(request.transport)
        if request.path in IDENTITY_PATHS:
            return await self._tell_identity(request)
        self.received_count += 1
        self.arrivals.append(
            (Clock().now_ms(), request.headers.get(ATTEMPT_ID_HEADER, ""))
        )
        fault = self.faults.next_fault("serve")
        kind = "" if fault is None else fault.kind
        if kind == "silent":
            await asyncio.sleep(SILENCE_S)
        if kind == "reset-before":
            drop_connection(request)
            return web.Response(status=503)
        echo = {ATTEMPT_ID_HEADER: request.headers.get(ATTEMPT_ID_HEADER, "")}
        if self.limit_per_s is not None:
            echo["Server-Limit"] = f"{self.limit_per_s:g}"
        if self.is_leaving:
            echo["Server-Leaving"] = "1"
        if self.max_rejections_per_s is not None:
            echo["Server-Brittle"] = f"{self.max_rejections_per_s:g}"
        if request.headers.get("X-Stoatpath-Expect-Replica") != self.name:
            return web.Response(status=421, headers=echo)
        if self.hold_off_s is not None:
            headers = {"X-Stoatpath-Not-Executed": "1", "Retry-After": self.hold_off_s}
            return web.Response(status=503, headers=echo | headers)
        if kind in ("shed", "shed-twice"):
            headers = echo | {"X-Stoatpath-Not-Executed": "1"}
            if kind == "shed-twice":
                lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
                head = ["HTTP/1.1 503 Busy\r\n", *lines, "Content-Length: 0\r\n\r\n"]
                request.transport.write("".join(head).encode())
            return web.Response(status=503, headers=headers)
        if self._running >= self.room:
            self._record_rejection()
            headers = echo | {"X-Stoatpath-Not-Executed": "1"}
            return web.Response(status=503, headers=headers)
        self._running += 1
        try:
            run = Run(request, await request.read())
            self.runs.append(run)
            return await self._run(request, run, kind, echo)
        finally:
            self._running -= 1

    async def _tell_identity(self, request):
        fault = self.faults.next_fault("identify")
        kind = "" if fault is None else fault.kind
        headers = {"X-Stoatpath-Replica-Id": self.name}
        if kind == "busy":
            return web.Response(status=503)
        if kind == "late":
            await asyncio.sleep(LATE_IDENTITY_S)
        if request.headers.get("X-Stoatpath-Expect-Replica", self.name) != self.name:
            return web.Response(status=421, headers=headers)
        if request.path == HEALTH_PATH:
            return web.Response(headers=headers)
        report = encode_json({"running": self._running, "born": self.born})
        if kind == "text":
            report = b"all is well"
        if kind == "list":
            report = b"[]"
        if kind == "endless":
            head = b"HTTP/1.1 200 OK\r\n\r\n"
            return await self._write_endlessly(request, head, b"x")
        if kind == "split":
            return await _write_in_parts(request, report)
        return web.Response(body=report, content_type="application/json")

    def _record_rejection(self):
        """Record a rejection, and a fall after too many of them in a second."""
        now_ms = Clock().now_ms()
        self.rejections_ms.append(now_ms)
        if self.max_rejections_per_s is None:
            return
        recent = [each for each in self.rejections_ms if each > now_ms - 1_000.0]
        if len(recent) > self.max_rejections_per_s:
            self.falls_ms.append(now_ms)
            self.rejections_ms.clear()

    async def _run(self, request, run, kind, echo):
        try:
            if run.path == self.poison_path:
                await self._end_under(request)
                return web.Response()
            await asyncio.sleep((self.delay_ms if kind != "slow" else 400) / 1000)
            return await self._answer(
                request, run, kind, echo | self._answer_headers(run)
            )
        except (asyncio.CancelledError, ConnectionError):
            run.was_cancelled = True
            raise

    def _answer_headers(self, run):
        headers = {SEAL_HEADER: f"{self.name}.{len(self.runs)}"}
        confidence = self.confidence_by_model.get(run.headers.get("X-Stoatpath-Model"))
        if confidence is not None:
            headers["X-Stoatpath-Confidence"] = str(confidence)
        return headers

    async def _answer(self, request, run, kind, headers):
        if kind == "reset-after":
            drop_connection(request)
            return web.Response()
        if kind == "error":
            return web.Response(status=500, headers=headers, body=b"failed")
        if kind == "wrong-id":
            headers[ATTEMPT_ID_HEADER] = "another"
        if kind == "no-seal":
            del headers[SEAL_HEADER]
        if kind == "encoded":
            headers["Content-Encoding"] = "gzip"
        if kind == "echo-bytes":
            return await self._echo_bytes(request, headers)
        if kind in ENDLESS_KINDS:
            return await self._write_endlessly(request, *_endless_parts(kind, headers))
        is_stream = "text/event-stream" in request.headers.get("Accept", "")
        if kind.startswith("head-"):
            if is_stream:
                headers["Content-Type"] = "text/event-stream"
            return await write_cut_head(request, kind, headers, len(FAILED_BODY))
        body = f"{self.name} answers {run.request_id}".encode()
        if kind.startswith(ODD_PREFIX):
            if is_stream:
                headers["Content-Type"] = "text/event-stream"
            return await write_odd_head(request, kind, headers, body)
        if kind == "garbled":
            return await _write_garbled(request, headers, is_stream, body)
        if is_stream:
            return await self._stream(request, kind, headers)
        if kind in RAW_KINDS:
            await self._end_before_close(kind)
            return await _write_raw(request, kind, headers, body)
        return web.Response(body=body, headers=headers)

    async def _stream(self, request, kind, headers):
        start = int(request.headers.get("Last-Event-Id", 0))
        name, _, number = kind.rpartition("-")
        if name == "status":
            return web.Response(status=int(number), headers=headers, body=FAILED_BODY)
        if name == "events":
            headers |= {"Content-Type": "text/event-stream"}
            return web.Response(status=int(number), headers=headers, body=FAILED_EVENT)
        if kind in ("short", "garbage"):
            raw_kind = "half" if kind == "short" else kind
            return await _write_raw(request, raw_kind, headers, FAILED_BODY)
        cut_after = int(number) if name in ("cut", "break") else CUT_AFTER_EVENTS
        headers |= {"Content-Type": "text/event-stream"}
        numbers = _other_numbers(kind, start, self.events)
        if numbers is not None:
            return await self._stream_numbers(request, numbers, headers)
        if kind.startswith("unframed"):
            return await self._stream_unframed(request, kind, headers, start)
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        if self._is_poison(request):
            await self._end_under(request)
            return response
        if kind == "endless-event":
            return await self._write_endlessly(request, b"", ENDLESS_EVENT)
        for number in range(start + 1, self.events + 1):
            if number > start + cut_after and name == "break":
                drop_connection(request)
                return response
            if number > start + cut_after and kind.startswith("cut"):
                await response.write(f"id: {number}\nda".encode())
                drop_connection(request)
                return response
            if number > start + CUT_AFTER_EVENTS and kind == "stall":
                await asyncio.sleep(SILENCE_S)
            if number == start + CUT_AFTER_EVENTS and kind == "skip":
                continue
            await response.write(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(self.event_ms / 1000)
        if kind.startswith("cut-"):
            drop_connection(request)
        else:
            await response.write_eof()
        return response

    async def _stream_numbers(self, request, numbers, headers):
        """Write the events with the given numbers."""
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in numbers:
            if number is CUT:
                drop_connection(request)
                return response
            if number is COMMENT:
                await response.write(b": nothing more\n\n")
                continue
            prefix = "" if number is UNNUMBERED else f"id: {number}\n"
            await response.write(f"{prefix}data: {number}\n\n".encode())
            await asyncio.sleep(self.event_ms / 1000)
        await response.write_eof()
        return response

    async def _stream_unframed(self, request, kind, headers, start):
        """Write events without length or chunks, then close the connection."""
        transport = request.transport
        lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
        transport.write("".join(["HTTP/1.1 200 OK\r\n", *lines, "\r\n"]).encode())
        events = 0 if kind == "unframed-empty" else self.events
        for number in range(start + 1, events + 1):
            if number > start + CUT_AFTER_EVENTS and kind != "unframed":
                if kind == "unframed-cut":
                    transport.write(f"id: {number}\nda".encode())
                break
            transport.write(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(self.event_ms / 1000)
        await self._end_before_close(kind)
        transport.close()
        return web.Response()

    async def _end_before_close(self, kind):
        if kind == "unframed-crash":
            await self.stop_listening()
        if kind == "unframed-restart":
            self.born += 1

    async def _echo_bytes(self, request, headers):
        """Answer with a header of raw bytes, and with all events if it is a stream."""
        given = dict(request.raw_headers)
        body = b"echoed"
        if "text/event-stream" in request.headers.get("Accept", ""):
            headers |= {"Content-Type": "text/event-stream"}
            numbers = range(1, self.events + 1)
            body = b"".join(b"id: %d\ndata: %d\n\n" % (each, each) for each in numbers)
        headers |= {"Content-Length": len(body)}
        lines = [f"{name}: {value}".encode() for name, value in headers.items()]
        lines.append(b"X-Bytes: " + given.get(BYTES_HEADER, b""))
        head = b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", b""])
        request.transport.write(head + body)
        request.transport.close()
        return web.Response()

    async def _write_endlessly(self, request, start, part):
        """Write `start`, then `part` until the other side closes the connection."""
        transport = request.transport
        transport.write(start)
        block = part * (ENDLESS_BLOCK_BYTES // len(part))
        while not transport.is_closing():
            if transport.get_write_buffer_size() < ENDLESS_BLOCK_BYTES:
                transport.write(block)
                self.endless_bytes += len(block)
            await asyncio.sleep(0.001)
        return web.Response()

    async def _end_under(self, request):
        """End as a crash would, soon after a request began to run."""
        await asyncio.sleep(CRASH_AFTER_S)
        self.on_crash(self)
        drop_connection(request)

    def _is_poison(self, request):
        prompt = request.headers.get(PROMPT_HEADER, "")
        names = [part.partition(":")[0] for part in prompt.split(",")]
        return self.poison_part in names[:-1]


def _other_numbers(kind, start, events):
    """Return the numbers of a stream that are not the usual ones, or None."""
    rest = list(range(start + 1, events + 1))
    sparse = [SPARSE_STEP * number for number in range(1, events + 1)]
    sparse = [number for number in sparse if number > start]
    return {
        "late": rest[1:],
        "again": list(range(1, events + 1)),
        "repeat": list(range(max(1, start), events + 1)),
        "empty": [],
        "comment": [COMMENT],
        "sparse": sparse,
        "sparse-cut": [*sparse[:CUT_AFTER_EVENTS], CUT],
        "unnumbered": [UNNUMBERED, *rest],
        "unnumbered-cut": [*rest[:CUT_AFTER_EVENTS], UNNUMBERED, CUT],
    }.get(kind)


async def _accept_any(request):
    """Serve a request whatever it expects."""


def _endless_parts(kind, headers):
    """Return the start of an answer without end, and what it repeats."""
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    head = "".join(["HTTP/1.1 200 OK\r\n", *lines]).encode()
    if kind == "endless-body":
        return head + b"\r\n", b"x"
    if kind == "endless-head":
        return head, b"X-More: more\r\n"
    if kind == "endless-chunk":
        return head + b"Transfer-Encoding: chunked\r\n\r\n5;", b"x"
    return b"", b"HTTP/1.1 100 Continue\r\n\r\n"


async def _write_in_parts(request, body):
    """Write a body in two parts, with a pause between them."""
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    response.content_length = len(body)
    await response.prepare(request)
    half = len(body) // 2
    await response.write(body[:half])
    await asyncio.sleep(PART_PAUSE_S)
    await response.write(body[half:])
    await response.write_eof()
    return response


async def _write_garbled(request, headers, is_stream, body):
    """Write a part of a body in a chunk, then bytes that are none; don't close."""
    part = body[: len(body) // 2]
    if is_stream:
        headers |= {"Content-Type": "text/event-stream"}
        start = int(request.headers.get("Last-Event-Id", 0))
        numbers = range(start + 1, start + CUT_AFTER_EVENTS + 1)
        part = b"".join(b"id: %d\ndata: %d\n\n" % (each, each) for each in numbers)
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(part)
    await asyncio.sleep(GARBLED_AFTER_S)
    request.transport.write(GARBLED_BYTES)
    await asyncio.sleep(SILENCE_S)
    return response


async def _write_raw(request, kind, headers, body):
    """Write a response to the transport, malformed or misframed as `kind` requires."""
    if kind == "garbage":
        request.transport.write(b"\x00\x01 this is no answer\r\n\r\n")
        request.transport.close()
        return web.Response()
    lines = [f"{name}: {value}" for name, value in headers.items()]
    if not kind.startswith("unframed"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
    is_whole = kind in ("unframed", "extra")
    request.transport.write(head + (body if is_whole else body[: len(body) // 2]))
    if kind == "extra":
        request.transport.write(head + b"x" * len(body))
    await asyncio.sleep(0.01)
    if kind == "unframed-reset":
        reset_connection(request)
    else:
        request.transport.close()
    return web.Response()
