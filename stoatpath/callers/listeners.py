"""The HTTP listener for callers."""

import asyncio
import logging
import os
import socket

from aiohttp import web

from stoatpath.callers.completions import CompletionInterface
from stoatpath.callers.connections import CallerServer, ConnectionLimits
from stoatpath.callers.statistics import RequestStatistics
from stoatpath.heads import use_exact_heads
from stoatpath.outcomes import (
    HEAD_UNCERTAIN,
    SHUTTING_DOWN,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.utils import new_id

logger = logging.getLogger(__name__)

# Must not be 0: aiohttp then waits for open requests without a limit.
FORCED_CLOSE_DELAY_S = 0.05
DRAIN_POLL_S = 0.02
# A stop doesn't wait longer for the TLS handshake of a connection from the backlog.
TAKE_OVER_TIMEOUT_S = 1.0


class OpenRequest:
    """A request in flight, as it arrived.

    `parsed` is what it was parsed to, None before, `stream` the writer of its events or
    None. `limit` is the time-out that ends it.
    """

    __slots__ = ("request", "parsed", "stream", "limit")

    def __init__(self, request):
        self.request = request
        self.parsed = None
        self.stream = None
        self.limit = asyncio.timeout(None)

    def end(self):
        """End it now; it isn't sent any more."""
        if self.parsed is not None:
            self.parsed.has_caller_left = True
        self.limit.reschedule(asyncio.get_running_loop().time())

    def build_failure(self):
        """Return the failure of a request that the stop of the instance ended."""
        detail = "the instance stopped before the request had ended"
        if self.parsed is not None and self.parsed.was_sent:
            return Failure(SHUTTING_DOWN, detail, Outcome.UNKNOWN)
        return Failure(SHUTTING_DOWN, detail)


class Listener:
    """Reads caller requests and writes the results of the pipeline.

    `interface` parses requests and renders results. `is_leaving` is true once this
    instance shuts down: it still serves, but closes each connection after a response,
    so that callers reconnect to another instance.
    """

    __slots__ = (
        "_router",
        "_pipeline",
        "_interface",
        "_runner",
        "_server",
        "_idle",
        "open_by_id",
        "limits",
        "statistics",
        "address",
    )

    def __init__(self, router, pipeline, interface=None, limits=None):
        self._router = router
        self._pipeline = pipeline
        self._interface = interface or CompletionInterface(router, self)
        self._runner = None
        self._server = None
        self._idle = asyncio.Event()
        self._idle.set()
        self.open_by_id = {}
        self.limits = limits or ConnectionLimits.from_settings(router.settings)
        self.statistics = RequestStatistics()
        self.address = ""

    @property
    def is_leaving(self):
        """Return whether the instance shuts down and callers should use another one."""
        return self._server is not None and self._server.is_leaving

    async def start(self, address):
        """Listen on `host:port`; port 0 selects a free port."""
        use_exact_heads()
        self._server = CallerServer(
            self._serve, self.limits, self._interface.decompresses_bodies
        )
        self._runner = web.ServerRunner(
            self._server, shutdown_timeout=FORCED_CLOSE_DELAY_S
        )
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        tls = self._interface.tls
        site = web.TCPSite(self._runner, host.strip("[]"), int(port), ssl_context=tls)
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"
        logger.info("callers.listening", extra={"address": self.address})

    def mark_leaving(self):
        """Close each connection after its next response from now on."""
        self._server.is_leaving = True

    async def stop_accepting(self):
        """Stop accepting connections and close the idle ones.

        Connections in the backlog are accepted: a caller may have sent a request, and
        the kernel resets them when the socket is closed.
        """
        sites = list(self._runner.sites)
        # aiohttp has no public access to the sockets of a site.
        listening = [
            socket.socket(fileno=os.dup(each.fileno()))
            for site in sites
            for each in site._server.sockets
        ]
        for site in sites:
            await site.stop()
        for each in listening:
            await self._accept_waiting(each)
        self._server.close_idle()

    async def _accept_waiting(self, listening):
        """Accept all connections in the backlog of a socket, then close it."""
        listening.setblocking(False)
        accepted = []
        with listening:
            while True:
                try:
                    accepted.append(listening.accept()[0])
                except (BlockingIOError, ConnectionAbortedError):
                    break
                except OSError as error:
                    logger.warning("callers.accept-failed", extra={"why": repr(error)})
                    break
        await asyncio.gather(*(self._take_over(each) for each in accepted))

    async def _take_over(self, connection):
        """Serve a connection that was accepted here, not by aiohttp."""
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(TAKE_OVER_TIMEOUT_S):
                await loop.connect_accepted_socket(
                    self._server, connection, ssl=self._interface.tls
                )
        except OSError as error:
            # A caller that has left, or whose TLS handshake failed or took too long.
            logger.info("callers.accept-failed", extra={"why": repr(error)})

    async def drain(self):
        """Return when no request is in flight and none has arrived unread.

        Call it after `stop_accepting`: the connections left are closed one by one.
        """
        await self._idle.wait()
        while self.has_unanswered():
            await asyncio.sleep(DRAIN_POLL_S)
            self._server.close_idle()
            await self._idle.wait()

    def has_unanswered(self):
        """Return whether a request is in flight or has arrived in part or unread."""
        return bool(self.open_by_id) or self._server.has_unanswered()

    async def stop(self):
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def waiting_bytes(self):
        """Return the bytes that are held for callers who read slowly."""
        return 0 if self._server is None else self._server.waiting_bytes()

    def close_idle(self):
        """Close the connections without an unanswered request."""
        self._server.close_idle()

    def end_requests(self):
        """Answer all requests in flight with a failure; nothing more is sent for them.

        Streams that have begun are cut, so that callers see that they are incomplete.
        """
        for registered_id, opened in list(self.open_by_id.items()):
            self._router.ring.record_decision(
                registered_id, "stop", "the grace period is over"
            )
            opened.end()

    def abort_requests(self):
        """Abort the connections of all requests in flight: callers see a failure."""
        for opened in list(self.open_by_id.values()):
            if opened.request.transport is not None:
                opened.request.transport.abort()

    async def _serve(self, request):
        probe = self._interface.answer_probe(request)
        if probe is not None:
            return probe
        request_id = self._interface.request_id(request) or new_id("req")
        # Two open requests may carry the same identifier; register the second one under
        # a new identifier.
        registered_id = (
            request_id if request_id not in self.open_by_id else new_id("req")
        )
        opened = OpenRequest(request)
        self._register_request(registered_id, opened)
        try:
            response = await self._handle_until_end(opened, request_id)
        finally:
            self._unregister_request(registered_id)
        if request.protocol.is_last_answer or request.protocol.has_uncertain_head:
            response.force_close()
        return response

    def _register_request(self, registered_id, opened):
        self.open_by_id[registered_id] = opened
        self._idle.clear()

    def _unregister_request(self, registered_id):
        del self.open_by_id[registered_id]
        if not self.open_by_id:
            self._idle.set()

    async def _handle_until_end(self, opened, request_id):
        """Return the response; that of a failure if `end_requests` is called."""
        try:
            async with opened.limit:
                return await self._handle(opened, request_id)
        except TimeoutError:
            if not opened.limit.expired():
                raise
        failure = opened.build_failure()
        if opened.parsed is None:
            self.statistics.record_refusal(failure)
            return self._interface.render_failure(failure, request_id)
        now_ms = self._router.clock.now_ms()
        self.statistics.record_result(opened.parsed, failure, now_ms)
        if opened.stream is not None and opened.stream.has_begun:
            return await self._end_stream(opened.stream, failure)
        return self._interface.render_failure(failure, request_id)

    async def _handle(self, opened, request_id):
        request = opened.request
        if request.protocol.has_uncertain_head:
            detail = "its head may begin with a trailer of the request before it"
            parsed = Failure(HEAD_UNCERTAIN, detail)
        else:
            parsed = await self._interface.read(request, request_id)
        if is_failure(parsed):
            self.statistics.record_refusal(parsed)
            return self._interface.render_failure(parsed, request_id)
        opened.parsed = parsed
        stream = None
        if parsed.is_stream:
            stream = self._interface.open_stream(request, parsed)
            opened.stream = stream
        result = await self._pipeline.serve(parsed, stream)
        self.statistics.record_result(parsed, result, self._router.clock.now_ms())
        if stream is not None and stream.has_begun:
            return await self._end_stream(stream, result)
        if is_failure(result):
            return self._interface.render_failure(result, request_id)
        return await self._interface.render_served(request_id, result, stream)

    async def _end_stream(self, stream, result):
        if is_failure(result):
            stream.abort()
        else:
            await stream.finish()
        return stream.response
