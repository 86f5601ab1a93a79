"""A backend server of the soak: a program that answers and fails as a seed says.

It takes its settings as one JSON text and prints its address once it listens. What it
runs is appended to a file, so that a kill loses nothing. Events and bodies follow from
the path of a request alone: `/chat/LENGTH/NAME` asks for LENGTH events, and a path of
the plain service for a body of LENGTH bytes.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import time
import zlib
from types import SimpleNamespace

STREAM_PREFIXES = ("/chat/", "/tell/")
SLOTS = 16
# With a linger time of 0 s, a socket is closed by a TCP reset.
LINGER_0 = struct.pack("ii", 1, 0)
REFUSALS = {"shed-429": 429, "shed-503": 503}
FAILURES = {"error": 500, "conflict": 409}
CUTS = ("cut-within", "cut-between", "reset-within", "reset-between")
# In place of the rest of a stream: a whole answer without any event.
EMPTY_REST = "empty-rest"
FAULTS = (*REFUSALS, *FAILURES, *CUTS, "reset", "extra", EMPTY_REST)


def request_length(path):
    """Return the number of events, or of bytes, that a path asks for."""
    return int(path.split("/")[2])


def list_events(path, last_id):
    """Return the events after `last_id`; their texts differ for all paths."""
    texts = (f"{path} {number}" for number in range(request_length(path) + 1))
    events = [
        f"id: {number}\ndata: {text} {zlib.crc32(text.encode()):08x}\n\n".encode()
        for number, text in enumerate(texts)
    ]
    return events[last_id + 1 :]


def plain_body(path, attempt):
    """Return the body of the plain service's answer."""
    line = f"{path} {attempt}\n".encode()
    size = request_length(path)
    return (line * (size // len(line) + 1))[:size]


def reset(writer):
    """Close a connection by a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() != -1:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
    writer.transport.abort()


async def read_head(reader):
    """Return the first line and the headers, names in lowercase."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(reader):
    """Return the path and headers of a request, after its body has arrived."""
    line, headers = await read_head(reader)
    await reader.readexactly(int(headers.get("content-length", 0)))
    return line.split(" ")[1], headers


def encode_head(first_line, headers):
    """Return the bytes of a head."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def reply(writer, status, headers, body=b""):
    """Write an answer with a length; the connection stays open."""
    headers = headers | {"Content-Length": len(body)}
    writer.write(encode_head(f"HTTP/1.1 {status} Status", headers) + body)
    await writer.drain()
    return "kept"


class ReplicaProgram:
    """Answers requests; the setting `framing` is `chunks`, `length` or `unframed`."""

    def __init__(self, settings):
        self.settings = SimpleNamespace(**settings)
        self.is_leaving = False
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._record = os.open(self.settings.record, flags)
        self._running = 0
        self._seals = 0

    async def serve(self, reader, writer):
        """Serve the requests of a connection, one after another."""
        try:
            how = "kept"
            while how == "kept":
                path, headers = await read_request(reader)
                how = await self._handle(path, headers, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the other side has left
        finally:
            writer.close()

    async def _handle(self, path, headers, reader, writer):
        """Answer a request; return `kept` if the connection stays open."""
        settings = self.settings
        names = {"X-Stoatpath-Replica-Id": settings.name}
        if path == "/healthz":
            return await reply(writer, 503 if self.is_leaving else 200, names)
        if path.startswith("/-/"):
            body = json.dumps(self._report()).encode()
            kind = {"Content-Type": "application/json"}
            return await reply(writer, 200 if path == "/-/report" else 404, kind, body)
        attempt = headers.get("x-stoatpath-attempt-id", "")
        head = {"X-Stoatpath-Attempt-Id": attempt}
        refused_head = head | names | {"X-Stoatpath-Not-Executed": "1"}
        if headers.get("x-stoatpath-expect-replica", settings.name) != settings.name:
            return await reply(writer, 421, refused_head)
        rng = random.Random(f"{settings.seed} {settings.name} {attempt}")
        fault = rng.choice(FAULTS) if rng.random() < settings.fault_share else ""
        is_stream = path.startswith(STREAM_PREFIXES)
        if settings.framing == "unframed" and not settings.closes_cleanly:
            # Nobody could see that such an answer was closed too early.
            if fault == "cut-between" or (fault == "cut-within" and not is_stream):
                fault = "reset-between"
        if fault in REFUSALS or self._running >= SLOTS:
            return await reply(writer, REFUSALS.get(fault, 503), refused_head)
        last_id = int(headers.get("last-event-id", 0))
        if fault == EMPTY_REST and not last_id:
            fault = ""
        status = FAILURES.get(fault, 200)
        self._note("run", attempt, path=path, after=last_id, status=status, fault=fault)
        self._seals += 1
        self._running += 1
        head["X-Stoatpath-Replica-Seal"] = f"{settings.name}.{self._seals}"
        if is_stream:
            head["Content-Type"] = "text/event-stream"
            head["X-Stoatpath-Confidence"] = rng.randint(20, 100)
            pieces = list_events(path, last_id)
            if fault == EMPTY_REST:
                pieces = []
        else:
            body = plain_body(path, attempt)
            pieces = [body[: len(body) // 2], body[len(body) // 2 :]]
        how = "dropped"
        try:
            if fault == "reset":
                reset(writer)
                how = fault
            elif fault in FAILURES:
                how = await reply(writer, status, head, b"the request failed")
            else:
                how = await self._write(pieces, head, rng, fault, reader, writer)
        finally:
            self._running -= 1
            self._note("end", attempt, how=how)
        return how

    async def _write(self, pieces, head, rng, fault, reader, writer):
        """Write an answer piece by piece; return how it ended."""
        is_stream = "Content-Type" in head
        gap_ms = self.settings.event_gap_ms if is_stream else self.settings.work_ms
        framing = self.settings.framing
        framing_head = {"Connection": "close"}
        if framing == "chunks" or (framing == "length" and is_stream):
            framing = "chunks"
            framing_head = {"Transfer-Encoding": "chunked"}
        elif framing == "length":
            framing_head = {"Content-Length": sum(map(len, pieces))}
        cut_at = rng.randrange(len(pieces)) if fault in CUTS and pieces else -1
        writer.write(encode_head("HTTP/1.1 200 OK", head | framing_head))
        for index, piece in enumerate(pieces):
            await asyncio.sleep(rng.uniform(*gap_ms) / 1000)
            if reader.at_eof():
                return "dropped"
            if index == cut_at:
                piece = piece[: len(piece) // 2] if fault.endswith("within") else b""
            if framing == "chunks" and piece:
                piece = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
            writer.write(piece)
            await writer.drain()
            if index == cut_at:
                await asyncio.sleep(rng.uniform(*gap_ms) / 1000)
                if fault.startswith("reset"):
                    reset(writer)
                return fault
        if framing == "unframed":
            return "whole"
        writer.write(b"0\r\n\r\n" if framing == "chunks" else b"")
        await writer.drain()
        if fault == "extra":
            await reply(writer, 200, head, b"a second answer")
        return "kept"

    def _report(self):
        """Return the answer to `GET /-/report`."""
        report = dict.fromkeys(("sequence", "waiting", "kv_used", "handles"), 0)
        report |= {"stage": "prefill_decode", "models": self.settings.models}
        report |= {"busy": False, "running": self._running, "kv_total": 90_000}
        return report | {"born": self.settings.born}

    def _note(self, what, attempt, **details):
        entry = {"at": time.monotonic(), "replica": self.settings.name}
        entry |= {"what": what, "attempt": attempt, **details}
        os.write(self._record, json.dumps(entry).encode() + b"\n")


async def main():
    """Serve until a signal ends the process."""
    program = ReplicaProgram(json.loads(sys.argv[1]))

    def leave():
        program.is_leaving = True

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, leave)
    host, _, port = program.settings.address.rpartition(":")
    server = await asyncio.start_server(program.serve, host, int(port), backlog=256)
    print("{}:{}".format(*server.sockets[0].getsockname()), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
