"""Callers of the soak, and what each answer shows of broken promises."""

import asyncio
import os
import random
import time
import zlib

from soak_replicas import (
    STREAM_PREFIXES,
    encode_head,
    list_events,
    plain_body,
    read_head,
)

from stoatpath.standins.deployments import CALLER_KEY, HOST

CONNECT_TIMEOUT_S = 1.0
STREAM_DEADLINE_S = 12.0
PLAIN_DEADLINE_S = 4.0
MAX_ATTEMPTS = 6
DEFAULT_RETRY_S = 0.2
LATE_BODY_SHARE = 0.2
MAX_BODY_DELAY_S = 1.5
READ_BYTES = 65_536
# These statuses say that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
FINAL_STATUSES = (400, 401, 404, 413, 431)
CALLER_LEFT = "the caller left"
NOT_CONNECTED = "not connected"
CLEAN_CLOSE = "clean close without a length"


class Answer:
    """What a caller sent and got; `end` says how the answer ended.

    `due_s` is the end of the time that the caller gave, `sent_s` the time of the last
    byte, which came `body_delay_s` after the others.
    """

    def __init__(self, attempt, path, gateway, last_id):
        self.attempt = attempt
        self.path = path
        self.gateway = gateway
        self.last_id = last_id
        self.sent_s = 0.0
        self.due_s = 0.0
        self.body_delay_s = 0.0
        self.ended_s = 0.0
        self.status = 0
        self.headers = {}
        self.body = bytearray()
        self.is_complete = False
        self.end = NOT_CONNECTED

    async def read(self, reader):
        """Read an answer; raise IncompleteReadError if it ends too early."""
        while self.status < 200:
            line, self.headers = await read_head(reader)
            self.status = int(line.split(" ")[1])
        if "chunked" in self.headers.get("transfer-encoding", ""):
            self.end = "within chunks"
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                await self._read_bytes(reader, size)
                await reader.readexactly(2)
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            self.end = "terminal chunk"
        elif "content-length" in self.headers:
            self.end = "within its length"
            await self._read_bytes(reader, int(self.headers["content-length"]))
            self.end = "full length"
        else:
            self.end = "without a length"
            while block := await reader.read(READ_BYTES):
                self.body += block
            self.end = CLEAN_CLOSE
        self.is_complete = True

    async def _read_bytes(self, reader, size):
        while size:
            block = await reader.read(min(size, READ_BYTES))
            if not block:
                raise asyncio.IncompleteReadError(b"", size)
            self.body += block
            size -= len(block)

    def last_event(self):
        """Return the number of the last whole event that arrived."""
        return self.last_id + self.body.count(b"\n\n")

    def is_lost(self):
        """Tell whether the connection ended early, without an answer or within one."""
        has_left = self.end in (CALLER_LEFT, NOT_CONNECTED)
        return not self.is_complete and not has_left and self.ended_s < self.due_s

    def find_broken(self):
        """Return the rule that a success breaks and how, or None."""
        if not 200 <= self.status < 300:
            return None
        if "x-stoatpath-replica-seal" not in self.headers:
            return "MIXED", f"{self.status} without a seal"
        if self.headers.get("x-stoatpath-attempt-id") != self.attempt:
            return "MIXED", f"another attempt's answer: {self.headers}"
        body = bytes(self.body)
        if self.path.startswith(STREAM_PREFIXES):
            rule, whole = "ORDER", b"".join(list_events(self.path, self.last_id))
        else:
            rule, whole = "MIXED", plain_body(self.path, self.attempt)
        if not whole.startswith(body):
            same = len(os.path.commonprefix([body, whole]))
            return rule, f"{body[same:][:80]!r} where {whole[same:][:80]!r} was due"
        if not self.is_complete or body == whole:
            return None
        text = f"complete by {self.end} with {len(body)} of {len(whole)} bytes"
        if rule == "ORDER":
            count = self.last_id + whole.count(b"\n\n")
            text += f", after event {self.last_event()} of {count}"
        return rule, text


class Callers:
    """Send requests over kept and new connections; `answers` holds all results.

    `open_attempts` has the identifiers of the requests that are not answered yet.

    With `uses_all`, also to gateways that aren't ready, as the platform does while most
    of a zone aren't; the last byte of some bodies then comes late.
    """

    def __init__(self, seed, gateways, uses_all=False):
        self.answers = []
        self.open_attempts = {}
        self._uses_all = uses_all
        self._seed = seed
        self._gateways = gateways
        self._kept = {gateway.name: [] for gateway in gateways}

    async def call(self, path, is_repeatable, leaves_after_s=None):
        """Send a request and repeat it as a caller may, until it is answered."""
        is_stream = path.startswith(STREAM_PREFIXES)
        limit_s = STREAM_DEADLINE_S if is_stream else PLAIN_DEADLINE_S
        deadline_s = time.monotonic() + limit_s
        rng = random.Random(f"{self._seed} {path}")
        last_id = 0
        gateway = None
        for number in range(MAX_ATTEMPTS):
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return
            others = [each for each in self._gateways if each is not gateway]
            ready = [each for each in others if each.is_ready or self._uses_all]
            gateway = rng.choice(ready or others)
            attempt = f"{rng.getrandbits(64):016x}"
            answer = Answer(attempt, path, gateway.name, last_id)
            wait_s = left_s if leaves_after_s is None else min(left_s, leaves_after_s)
            is_new = number > 0 or rng.random() < 0.2
            if self._uses_all and rng.random() < LATE_BODY_SHARE:
                answer.body_delay_s = rng.uniform(0.0, MAX_BODY_DELAY_S)
            self.open_attempts[attempt] = answer
            await self._send(answer, gateway, left_s, wait_s, is_new)
            del self.open_attempts[attempt]
            answer.ended_s = time.monotonic()
            self.answers.append(answer)
            if answer.end == CALLER_LEFT or answer.status in FINAL_STATUSES:
                return
            if answer.end == NOT_CONNECTED:
                await asyncio.sleep(DEFAULT_RETRY_S)
            elif answer.status in PROMISES:
                retry_s = float(answer.headers.get("retry-after", DEFAULT_RETRY_S))
                await asyncio.sleep(min(retry_s, left_s / 3))
            elif not is_repeatable or (answer.is_complete and answer.status == 200):
                return
            elif is_stream and answer.status == 200:
                last_id = answer.last_event()

    def close(self):
        """Close all kept connections."""
        for _, writer, _ in sum(self._kept.values(), []):
            writer.close()

    async def _send(self, answer, gateway, left_s, wait_s, is_new):
        writer = None
        is_kept = False
        try:
            reader, writer, starts = await self._connect(gateway, is_new)
            answer.end = "no answer"
            answer.due_s = time.monotonic() + left_s
            request = self._encode_request(answer, left_s)
            if answer.body_delay_s:
                writer.write(request[:-1])
                request = request[-1:]
                await asyncio.sleep(answer.body_delay_s)
            answer.sent_s = time.monotonic()
            writer.write(request)
            async with asyncio.timeout(wait_s):
                await writer.drain()
                await answer.read(reader)
            is_kept = answer.headers.get("connection", "").lower() != "close"
            is_kept &= answer.end != CLEAN_CLOSE
            if is_kept:
                self._kept[gateway.name].append((reader, writer, starts))
        except TimeoutError:
            answer.end = NOT_CONNECTED if writer is None else CALLER_LEFT
        except (OSError, asyncio.IncompleteReadError) as error:
            if writer is not None:
                answer.end = f"{type(error).__name__}, {answer.end}"
        finally:
            if writer is not None and not is_kept:
                writer.close()

    async def _connect(self, gateway, is_new):
        """Return a kept connection to the same process, or a new one."""
        connections = self._kept[gateway.name]
        while connections and not is_new:
            reader, writer, starts = connections.pop()
            if starts == gateway.starts and not reader.at_eof():
                return reader, writer, starts
            writer.close()
        host, _, port = gateway.addresses["front"].rpartition(":")
        starts = gateway.starts
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return *await asyncio.open_connection(host, int(port)), starts

    def _encode_request(self, answer, left_s):
        method = "GET" if answer.path.startswith("/look/") else "POST"
        body = b"" if method == "GET" else f"body of {answer.path}".encode()
        headers = {
            "Host": HOST,
            "X-Stoatpath-Attempt-Id": answer.attempt,
            "X-Stoatpath-Deadline-Ms": int(left_s * 1000),
            "Authorization": f"Bearer {CALLER_KEY}",
            "Content-Length": len(body),
        }
        if answer.path.startswith(STREAM_PREFIXES):
            part = f"{zlib.crc32(answer.path.encode()):x}"
            headers["Accept"] = "text/event-stream"
            headers["X-Stoatpath-Model"] = "*"
            headers["X-Stoatpath-Token-Counts"] = "100,50"
            headers["X-Stoatpath-Prompt-Prefix"] = f"aa:60,{part}:40"
        if answer.last_id:
            headers["Last-Event-Id"] = answer.last_id
        return encode_head(f"{method} {answer.path} HTTP/1.1", headers) + body
