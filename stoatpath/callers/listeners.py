"""The HTTP listener that callers reach."""

import asyncio
import logging

from aiohttp import web

from stoatpath.callers.answers import render_failure, render_served
from stoatpath.callers.bodies import BodyReader
from stoatpath.callers.connections import CallerServer, ConnectionLimits
from stoatpath.callers.requests import RequestReader
from stoatpath.callers.statistics import RequestStatistics
from stoatpath.callers.streams import CallerStream
from stoatpath.outcomes import BROKEN_ANSWER, Failure, Outcome, is_failure
from stoatpath.utils import new_id

logger = logging.getLogger(__name__)

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
# aiohttp takes 0 for no limit at all.
CUT_AFTER_S = 0.05


class Listener:
    """Reads caller requests and writes what the pipeline returns.

    `is_leaving` says that this instance asks callers to go elsewhere: it still
    serves, but closes each connection after its answer.
    """

    __slots__ = (
        "_parts",
        "_pipeline",
        "_requests",
        "_runner",
        "_server",
        "_idle",
        "open_by_id",
        "statistics",
        "address",
    )

    def __init__(self, parts, pipeline):
        self._parts = parts
        self._pipeline = pipeline
        bodies = BodyReader.from_settings(parts.settings)
        self._requests = RequestReader(parts, bodies)
        self._runner = None
        self._server = None
        self._idle = asyncio.Event()
        self._idle.set()
        self.open_by_id = {}
        self.statistics = RequestStatistics()
        self.address = ""

    @property
    def is_leaving(self):
        """Return whether callers are asked to go elsewhere."""
        return self._server is not None and self._server.is_leaving

    async def start(self, address):
        """Listen on `host:port`; port 0 takes a free one."""
        limits = ConnectionLimits.from_settings(self._parts.settings)
        self._server = CallerServer(self._serve, limits)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=CUT_AFTER_S)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        tls = self._parts.node.tls.callers
        site = web.TCPSite(self._runner, host.strip("[]"), int(port), ssl_context=tls)
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"
        logger.info("callers.listening", extra={"address": self.address})

    def leave(self):
        """Stop being ready; close each connection after its next answer."""
        self._server.is_leaving = True

    async def stop_accepting(self):
        """Take no more connections and close those that are idle."""
        for site in list(self._runner.sites):
            await site.stop()
        self._server.close_idle()

    async def drain(self):
        """Return once no request is in flight."""
        await self._idle.wait()

    async def stop(self):
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request):
        if request.path == HEALTH_PATH:
            return web.json_response({"status": "ok"})
        if request.path == READY_PATH:
            return self._answer_ready()
        request_id = new_id("req")
        self._open(request_id)
        try:
            response = await self._handle(request, request_id)
        finally:
            self._close(request_id)
        if self.is_leaving:
            response.force_close()
        return response

    def _answer_ready(self):
        is_ready = not self.is_leaving and self._parts.is_ready()
        status = 200 if is_ready else 503
        return web.json_response({"ready": is_ready}, status=status)

    def _open(self, request_id):
        self.open_by_id[request_id] = self._parts.clock.now_ms()
        self._idle.clear()

    def _close(self, request_id):
        del self.open_by_id[request_id]
        if not self.open_by_id:
            self._idle.set()

    async def _handle(self, request, request_id):
        parsed = await self._requests.read(request, request_id)
        if is_failure(parsed):
            self.statistics.refused(parsed)
            return self._fail(parsed, request_id)
        if parsed.is_stream:
            return await self._handle_stream(request, parsed)
        result = await self._serve_counted(parsed)
        if is_failure(result):
            return self._fail(result, request_id)
        return render_served(request_id, result)

    async def _handle_stream(self, request, parsed):
        timeout_ms = self._parts.settings.write_timeout_ms
        stream = CallerStream(request, parsed.request_id, timeout_ms)
        result = await self._serve_counted(parsed, stream)
        if is_failure(result) and not stream.has_begun:
            return self._fail(result, parsed.request_id)
        if is_failure(result):
            stream.break_off()
            return stream.response
        if result.is_replay:
            await stream.replay(result)
        await stream.finish()
        if stream.response is None:
            failure = Failure(BROKEN_ANSWER, "the stream was empty", Outcome.UNKNOWN)
            return self._fail(failure, parsed.request_id)
        return stream.response

    async def _serve_counted(self, parsed, stream=None):
        result = await self._pipeline.serve(parsed, stream)
        self.statistics.ended(parsed, result, self._parts.clock.now_ms())
        return result

    def _fail(self, failure, request_id):
        return render_failure(failure, request_id, self._parts.clock.now_ms())
