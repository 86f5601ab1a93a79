"""Memory of an open stream, an explained request and a log line's processor time."""

import asyncio
import io
import logging
import tracemalloc

from aiohttp import web

from stoatpath import log
from stoatpath.callers.connections import CallerServer, ConnectionLimits
from stoatpath.callers.streams import CallerStream
from stoatpath.clock import Clock, ManualClock
from stoatpath.explanations.rings import DecisionRing
from stoatpath.measure.decision_costs import time_each
from stoatpath.measure.reports import Figure, Report

STREAMS = 500
NOTES = 20_000
REQUESTS = 2_000
IDLE_TIMEOUT_MS = 60_000
EVENT = b'data: {"choices":[{"delta":{"content":"tide "}}]}\n\n'
CANDIDATES = [
    {"name": f"engine-{index}", "expected_ms": 12.5, "verdict": "sampled"}
    for index in range(2)
]


def run(seed):
    """Return the slopes of connections, explanations and log lines."""
    stream_bytes = asyncio.run(_bytes_per_stream())
    with_line, without_line = _time_notes()
    figures = [
        Figure("callers.bytes_per_open_stream", round(stream_bytes), "B"),
        Figure("callers.decision_us", round(without_line, 2), "us"),
        Figure("callers.decision_logged_us", round(with_line, 2), "us"),
        Figure("callers.bytes_per_explained_request", round(_bytes_explained()), "B"),
    ]
    return Report("caller-costs", seed, figures, is_timed=True)


async def _bytes_per_stream():
    """Return traced memory per stream of the server's side, both ends here.

    The client's ends are bare transports; their share is counted too.
    """
    release = asyncio.Event()

    async def serve(request):
        stream = CallerStream(request, "req-measured", IDLE_TIMEOUT_MS)
        await stream.write(EVENT)
        await release.wait()
        await stream.finish()
        return stream.response

    limits = ConnectionLimits(2 * STREAMS, 16_384, IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS)
    runner = web.ServerRunner(CallerServer(serve, limits), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    opened = [await _open(host, port) for _ in range(STREAMS)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    release.set()
    for writer in opened:
        writer.transport.abort()
    await runner.cleanup()
    return (after - before) / STREAMS


async def _open(host, port):
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
    await reader.readuntil(EVENT)
    return writer


def _note(ring, index):
    ring.record_decision(
        f"req-{index:024d}",
        "route",
        "least expected time of the sample",
        backend="engine-1",
        candidates=CANDIDATES,
    )


def _time_notes():
    """Return the time of one decision with and without its log line."""
    logger = logging.getLogger("stoatpath")
    before = (logger.handlers, logger.level, logger.propagate)
    log.setup("measure", "local", stream=io.StringIO())
    ring = DecisionRing(Clock())
    with_line = time_each(lambda index: _note(ring, index), NOTES)
    logger.setLevel(logging.ERROR)
    without_line = time_each(lambda index: _note(ring, index), NOTES)
    logger.handlers, level, logger.propagate = before
    logger.setLevel(level)
    return with_line, without_line


def _bytes_explained():
    """Return the memory of a request with the six decisions of a usual one."""
    logging.disable()
    tracemalloc.start()
    ring = DecisionRing(ManualClock(), 1 << 30)
    for index in range(REQUESTS):
        for _ in range(6):
            _note(ring, index)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    logging.disable(logging.NOTSET)
    return size / REQUESTS
