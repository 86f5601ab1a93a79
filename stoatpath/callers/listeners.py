"""The HTTP listener that callers reach."""

import asyncio

from aiohttp import web

from stoatpath.callers.authenticators import authenticate
from stoatpath.callers.parsers import RequestHead, parse_call, parse_completion
from stoatpath.outcomes import (
    BODY_TOO_LARGE,
    BODY_TOO_SLOW,
    NOT_FOUND,
    SHUTTING_DOWN,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.servers import HttpServer
from stoatpath.utils import encode_json

MIN_RETRY_AFTER_S = 1
EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"


class CallerStream:
    """Writes the events of one streamed answer to the caller."""

    __slots__ = ("_request", "_headers", "response", "has_begun")

    def __init__(self, request, headers):
        self._request = request
        self._headers = headers
        self.response = None
        self.has_begun = False

    async def write(self, event):
        """Send one event; the first one starts the response."""
        if self.response is None:
            self.response = web.StreamResponse(headers=self._headers)
            self.response.content_type = EVENT_STREAM
            self.has_begun = True
            await self.response.prepare(self._request)
        await self.response.write(event)

    async def finish(self):
        """Send the end marker."""
        await self.write(DONE_EVENT)
        await self.response.write_eof()

    def break_off(self):
        """Close the connection without the end marker."""
        if self._request.transport is not None:
            self._request.transport.abort()


class Listener:
    """Reads caller requests and writes what the pipeline returns."""

    __slots__ = ("_parts", "_pipeline", "_server", "_open", "address", "is_closing")

    def __init__(self, parts, pipeline):
        self._parts = parts
        self._pipeline = pipeline
        self._server = None
        self._open = 0
        self.address = ""
        self.is_closing = False

    async def start(self, address):
        """Listen on `host:port`; port 0 takes a free one."""
        settings = self._parts.settings
        routes = [
            web.post("/v1/chat/completions", self._complete),
            web.route("*", "/services/{service}/{path:.*}", self._call),
            web.get("/healthz", self._health),
            web.get("/readyz", self._ready),
            web.route("*", "/{path:.*}", self._unknown),
        ]
        self._server = HttpServer(
            routes,
            self._parts.node.tls.callers,
            settings.max_body_bytes,
            max_field_size=settings.max_header_bytes,
            max_line_size=settings.max_header_bytes,
        )
        await self._server.start(address)
        self.address = self._server.address

    async def stop(self):
        """Close the listener and its connections."""
        if self._server is not None:
            await self._server.stop()

    async def drain(self):
        """Return once no request is in flight."""
        while self._open:
            await asyncio.sleep(0.01)

    async def _health(self, request):
        return web.json_response({"status": "ok"})

    async def _ready(self, request):
        is_ready = not self.is_closing and self._parts.follower.snapshot.revision > 0
        status = 200 if is_ready else 503
        return web.json_response({"ready": is_ready}, status=status)

    async def _unknown(self, request):
        failure = Failure(NOT_FOUND, f"no path {request.path}", field="path")
        return self._fail(failure, "")

    async def _complete(self, request):
        return await self._handle(request, None)

    async def _call(self, request):
        return await self._handle(request, request.match_info["service"])

    async def _handle(self, request, service_name):
        self._open += 1
        try:
            parsed = await self._parse(request, service_name)
            if is_failure(parsed):
                return self._fail(parsed, "")
            if parsed.is_stream:
                return await self._serve_stream(request, parsed)
            return await self._serve(parsed)
        finally:
            self._open -= 1

    async def _parse(self, request, service_name):
        if self.is_closing:
            return Failure(SHUTTING_DOWN, "this instance is leaving")
        snapshot = self._parts.follower.snapshot
        authorization = request.headers.get("Authorization", "")
        organisation = authenticate(snapshot, authorization)
        if is_failure(organisation):
            return organisation
        arrived_ms = self._parts.clock.now_ms()
        data = await self._read_body(request)
        if is_failure(data):
            return data
        limit_ms = self._parts.settings.max_timeout_ms
        path = request.path
        if service_name is not None:
            path = "/" + request.match_info["path"]
            if request.query_string:
                path = f"{path}?{request.query_string}"
        head = RequestHead(request.method, path, request.headers, arrived_ms)
        if service_name is None:
            return parse_completion(snapshot, organisation, head, data, limit_ms)
        return parse_call(snapshot, organisation, head, service_name, data, limit_ms)

    async def _read_body(self, request):
        timeout_ms = self._parts.settings.body_timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await request.read()
        except TimeoutError:
            detail = f"the body took longer than {timeout_ms} ms"
            return Failure(BODY_TOO_SLOW, detail, field="body")
        except web.HTTPRequestEntityTooLarge:
            limit = self._parts.settings.max_body_bytes
            detail = f"the body is larger than {limit} bytes"
            return Failure(BODY_TOO_LARGE, detail, field="body")

    async def _serve(self, parsed):
        result = await self._pipeline.serve(parsed)
        if is_failure(result):
            return self._fail(result, parsed.request_id)
        return web.Response(
            status=result.status,
            body=result.body,
            headers=_headers(parsed.request_id, result),
        )

    async def _serve_stream(self, request, parsed):
        headers = {"Stoatpath-Request-Id": parsed.request_id}
        stream = CallerStream(request, headers)
        result = await self._pipeline.serve(parsed, stream)
        if not is_failure(result):
            if result.is_replay:
                await stream.write(result.body)
            await stream.finish()
            return stream.response
        if stream.has_begun:
            stream.break_off()
            return stream.response
        return self._fail(result, parsed.request_id)

    def _fail(self, failure, request_id):
        error = {
            "type": failure.reason.name,
            "message": failure.detail,
            "field": failure.field,
            "outcome": failure.outcome.value,
            "retryable": failure.reason.retryable,
            "request_id": request_id,
        }
        headers = {
            "Stoatpath-Request-Id": request_id,
            "Stoatpath-Outcome": failure.outcome.value,
        }
        if failure.reason.status in (429, 503):
            headers["Retry-After"] = str(self._retry_after_s(failure))
        return web.Response(
            status=failure.reason.status,
            body=encode_json({"error": error}),
            content_type="application/json",
            headers=headers,
        )

    def _retry_after_s(self, failure):
        if failure.retry_at_ms is None:
            return MIN_RETRY_AFTER_S
        wait_ms = failure.retry_at_ms - self._parts.clock.now_ms()
        return max(MIN_RETRY_AFTER_S, round(wait_ms / 1000))


def _headers(request_id, served):
    headers = {
        "Stoatpath-Request-Id": request_id,
        "Stoatpath-Outcome": Outcome.COMPLETED.value,
        "Stoatpath-Version": served.version,
        "Content-Type": served.content_type or "application/octet-stream",
    }
    if served.session:
        headers["Stoatpath-Session"] = served.session
    if served.session_moved:
        headers["Stoatpath-Session-Moved"] = served.session_moved
    if served.is_replay:
        headers["Stoatpath-Replay"] = "true"
    return headers
