"""A listener with a recording pipeline, and raw connections to it."""

import asyncio
import glob
import os

from stoatpath.callers.listeners import Listener
from stoatpath.callers.messages import ServedResult
from stoatpath.clock import Clock
from stoatpath.configuration.files import read_changes
from stoatpath.configuration.snapshots import Snapshot
from stoatpath.explanations.rings import DecisionRing
from stoatpath.settings import Settings
from stoatpath.standins.sites import SAMPLES
from stoatpath.utils import decode_json

from bad_requests import MAX_BODY_BYTES, MAX_HEAD_BYTES  # isort: skip

ANSWER = b'{"answer": "whole"}'
REPLY_TIMEOUT_S = 20


class RecordingPipeline:
    """Records and answers each request after `delay_s` seconds."""

    def __init__(self):
        self.served = []
        self.cancelled = []
        self.delay_s = 0.0

    async def serve(self, request, stream=None):
        self.served.append(request)
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.cancelled.append(request)
            raise
        if stream is not None:
            stream.set_version_headers("tern-small@1", "token", "")
            await stream.write(b"data: {}\n\n")
        body = request.body if isinstance(request.body, bytes) else ANSWER
        return ServedResult(200, "application/json", body, "tern-small@1", [], 0.0)


class _Node:
    class tls:
        callers = None


class FakeRouter:
    """The attributes of a router that a listener uses."""

    def __init__(self, **overrides):
        given = {
            "NAME": "router-1",
            "ZONE": "zone-a",
            "TABLE_URL": "http://127.0.0.1:9",
            "INSTANCE_LIST_URL": "http://127.0.0.1:9",
            "MAX_BODY_BYTES": MAX_BODY_BYTES,
            "MAX_BUFFERED_BODY_BYTES": 3 * MAX_BODY_BYTES,
            "MAX_HEADER_BYTES": MAX_HEAD_BYTES,
            "MAX_CONNECTIONS": 8,
            "HEADER_TIMEOUT_MS": 300,
            "BODY_TIMEOUT_MS": 300,
            **overrides,
        }
        self.settings, problems = Settings.from_mapping(given)
        assert not problems, problems
        self.clock = Clock()
        self.ring = DecisionRing(self.clock)
        self.node = _Node
        self.follower = self
        self.snapshot = sample_snapshot()


def sample_snapshot():
    """Return the configuration of both samples."""
    snapshot = Snapshot.empty()
    for path in sorted(glob.glob(os.path.join(SAMPLES, "*", "organisations.json5"))):
        changes, problems = read_changes(path)
        assert not problems
        snapshot = snapshot.with_changes(snapshot.revision + 1, changes)
    return snapshot


class Reply:
    """One parsed HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def error(self):
        return decode_json(self.body)["error"]


async def read_reply(reader):
    """Return the next response of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    status_line, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    length = int(headers.get("Content-Length", 0))
    body = await reader.readexactly(length)
    return Reply(int(status_line.split(" ")[1]), headers, body)


async def exchange(address, data):
    """Send bytes on a fresh connection; return the first response or None."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return await read_reply(reader)
    finally:
        writer.transport.abort()


async def with_listener(work, **overrides):
    """Run `work(listener, pipeline)` against a started listener."""
    pipeline = RecordingPipeline()
    listener = Listener(FakeRouter(**overrides), pipeline)
    await listener.start("127.0.0.1:0")
    try:
        return await work(listener, pipeline)
    finally:
        await listener.stop()
