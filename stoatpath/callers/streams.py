"""Writes the events of a streamed answer to its caller."""

import asyncio

from aiohttp import web

from stoatpath.callers.answers import (
    REPLAY_HEADER,
    REQUEST_ID_HEADER,
    version_headers,
)

EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"


class CallerStream:
    """Writes the events of one streamed answer until the caller disconnects."""

    __slots__ = (
        "_request",
        "_headers",
        "_write_timeout_s",
        "response",
        "has_begun",
        "is_disconnected",
    )

    def __init__(self, request, request_id, write_timeout_ms):
        self._request = request
        self._headers = {REQUEST_ID_HEADER: request_id}
        self._write_timeout_s = write_timeout_ms / 1000
        self.response = None
        self.has_begun = False
        self.is_disconnected = False

    def set_version_headers(self, version, session, session_moved):
        """Set the response headers for the model version and the session."""
        self._headers.update(version_headers(version, session, session_moved))

    async def write(self, event):
        """Send one event; the first one starts the response."""
        if self.is_disconnected:
            return
        try:
            if self.response is None:
                await self._start_response()
            await self.response.write(event)
        except OSError:
            self.is_disconnected = True

    async def replay(self, served):
        """Send the stored events of an earlier answer."""
        self.set_version_headers(served.version, served.session, served.session_moved)
        self._headers[REPLAY_HEADER] = "true"
        await self.write(served.body)

    async def finish(self):
        """Send the end marker, or abort if the caller does not read it in time."""
        try:
            async with asyncio.timeout(self._write_timeout_s):
                await self.write(DONE_EVENT)
                if not self.is_disconnected:
                    await self.response.write_eof()
        except (TimeoutError, OSError):
            self.abort()

    def abort(self):
        """Abort the connection without an end marker."""
        self.is_disconnected = True
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _start_response(self):
        self.response = web.StreamResponse(headers=self._headers)
        self.response.content_type = EVENT_STREAM
        if self._request.protocol.is_last_answer:
            self.response.force_close()
        self.has_begun = True
        await self.response.prepare(self._request)
