"""The native interface of the router: chat completions and calls of plain services."""

from aiohttp import web

from stoatpath.callers.answers import render_failure, render_served
from stoatpath.callers.bodies import BodyReader
from stoatpath.callers.requests import RequestReader
from stoatpath.callers.streams import CallerStream
from stoatpath.outcomes import BROKEN_ANSWER, Failure, Outcome

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"


class CompletionInterface:
    """Reads requests of the native interface and renders their answers.

    `router` provides the settings, the clock and the components that requests use.
    """

    __slots__ = ("bodies", "_router", "_listener", "_requests")

    decompresses_bodies = True

    def __init__(self, router, listener):
        self._router = router
        self._listener = listener
        self.bodies = BodyReader.from_settings(router.settings)
        self._requests = RequestReader(router, self.bodies)

    @property
    def tls(self):
        """Return the TLS context for connections of callers, or None."""
        return self._router.node.tls.callers

    def answer_probe(self, request):
        """Return the response to a health or readiness check, else None."""
        if request.path == HEALTH_PATH:
            return web.json_response({"status": "ok"})
        if request.path != READY_PATH:
            return None
        is_ready = not self._listener.is_leaving and self._router.is_ready()
        status = 200 if is_ready else 503
        return web.json_response({"ready": is_ready}, status=status)

    def request_id(self, request):
        """Return None: the listener creates the identifier."""
        return None

    async def read(self, request, request_id):
        """Return a `CallerRequest`, or the failure of the check that refused it."""
        return await self._requests.read(request, request_id)

    def open_stream(self, request, parsed):
        """Return a writer for the events of a streamed answer."""
        timeout_ms = self._router.settings.write_timeout_ms
        return CallerStream(request, parsed.request_id, timeout_ms)

    async def render_served(self, request_id, served, stream):
        """Return the response of an answer that has not been written yet."""
        if stream is None:
            return render_served(request_id, served)
        if served.is_replay:
            await stream.replay(served)
            await stream.finish()
        if stream.response is None:
            detail = "the stream was empty"
            failure = Failure(BROKEN_ANSWER, detail, Outcome.UNKNOWN)
            return self.render_failure(failure, request_id)
        return stream.response

    def render_failure(self, failure, request_id):
        """Return the response of a failure."""
        return render_failure(failure, request_id, self._router.clock.now_ms())
