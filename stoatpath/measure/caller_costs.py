"""Memory of open streams and explained requests; processor time of a decision."""

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
from stoatpath.measure.decision_costs import cpu_us_per_call
from stoatpath.measure.reports import Figure, Report

STREAMS = 500
DECISIONS = 20_000
REQUESTS = 2_000
IDLE_TIMEOUT_MS = 60_000
EVENT = b'data: {"choices":[{"delta":{"content":"tide "}}]}\n\n'
CANDIDATES = [
    {"name": f"engine-{index}", "expected_ms": 12.5, "verdict": "sampled"}
    for index in range(2)
]


def run(seed):
    """Return the report of memory and processor time per stream and decision."""
    stream_bytes = asyncio.run(_measure_stream_bytes())
    logged_us, unlogged_us = _time_decisions()
    figures = [
        Figure("callers.bytes_per_open_stream", round(stream_bytes), "B"),
        Figure("callers.decision_us", round(unlogged_us, 2), "us"),
        Figure("callers.decision_logged_us", round(logged_us, 2), "us"),
        Figure(
            "callers.bytes_per_explained_request",
            round(_measure_explained_request_bytes()),
            "B",
        ),
    ]
    return Report("caller-costs", seed, figures, is_timed=True)


async def _measure_stream_bytes():
    """Return the traced memory of one open stream.

    The client side runs in this process too and is included; it is a bare transport.
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
    writers = [await _open_stream(host, port) for _ in range(STREAMS)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    release.set()
    for writer in writers:
        writer.transport.abort()
    await runner.cleanup()
    return (after - before) / STREAMS


async def _open_stream(host, port):
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
    await reader.readuntil(EVENT)
    return writer


def _record_decision(ring, index):
    ring.record_decision(
        f"req-{index:024d}",
        "route",
        "least expected time of the sample",
        backend="engine-1",
        candidates=CANDIDATES,
    )


def _time_decisions():
    """Return the time to record one decision, with and without its log line."""
    logger = logging.getLogger("stoatpath")
    before = (logger.handlers, logger.level, logger.propagate)
    log.setup("measure", "local", stream=io.StringIO())
    ring = DecisionRing(Clock())
    logged_us = cpu_us_per_call(lambda index: _record_decision(ring, index), DECISIONS)
    logger.setLevel(logging.ERROR)
    unlogged_us = cpu_us_per_call(
        lambda index: _record_decision(ring, index), DECISIONS
    )
    logger.handlers, level, logger.propagate = before
    logger.setLevel(level)
    return logged_us, unlogged_us


def _measure_explained_request_bytes():
    """Return the ring memory of one request with the usual six recorded decisions."""
    logging.disable()
    tracemalloc.start()
    ring = DecisionRing(ManualClock(), 1 << 30)
    for index in range(REQUESTS):
        for _ in range(6):
            _record_decision(ring, index)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    logging.disable(logging.NOTSET)
    return size / REQUESTS
