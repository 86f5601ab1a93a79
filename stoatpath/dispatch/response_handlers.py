"""The protocol of connections to backend servers, with checks that aiohttp lacks."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Bytes that may arrive without a part of a body among them: a head, interim answers or
# the extension of a chunk. aiohttp bounds a head, not the others.
MAX_OVERHEAD_BYTES = 262_144


class CheckedResponseHandler(ResponseHandler):
    """Ends connections with endless overhead; fails bodies cut off by a reset.

    aiohttp treats the end of a connection as the end of a body of unknown length, even
    after a reset.
    """

    _body_bytes = 0
    _overhead_bytes = 0

    def data_received(self, data):
        """Parse bytes, and count those that are no part of a body."""
        super().data_received(data)
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        if body_bytes != self._body_bytes:
            self._body_bytes = body_bytes
            self._overhead_bytes = 0
            return
        self._overhead_bytes += len(data)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail("an answer without end")

    def connection_lost(self, exc):
        """Set an exception on the open body unless the connection closed cleanly."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            # Before aiohttp feeds the end of the body: a waiting reader gets only the
            # first of the two.
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)

    def _fail(self, detail):
        error = aiohttp.ClientPayloadError(detail)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def use_checked_handler(connector):
    """Let the connections of a connector be checked; aiohttp has no public option."""
    connector._factory = functools.partial(CheckedResponseHandler, loop=connector._loop)
