"""The protocol of connections to backend servers, with checks that aiohttp lacks."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Bytes that may arrive without a part of a body among them: a head, interim answers or
# the extension of a chunk. aiohttp bounds a head, not the others.
MAX_OVERHEAD_BYTES = 262_144


class CheckedResponseHandler(ResponseHandler):
    """Ends connections with endless overhead; fails bodies cut by a reset or garbled.

    aiohttp treats the end of a connection as the end of a body of unknown length, even
    after a reset. Of bytes that it can't parse within a body it tells only those who
    wait for a head, so that a reader of the body waits on.
    """

    _body_bytes = 0
    _overhead_bytes = 0

    def data_received(self, data):
        """Parse bytes, and count those that are no part of a body."""
        earlier_error = self.exception()
        super().data_received(data)
        if self.exception() is not earlier_error:
            self._fail_body("bytes that are no part of a body")
            return
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
        if exc is not None:
            # Before aiohttp feeds the end of the body: a waiting reader gets only the
            # first of the two.
            self._fail_body("connection reset")
        super().connection_lost(exc)

    def _fail(self, detail):
        self._fail_body(detail)
        self.set_exception(aiohttp.ClientPayloadError(detail))
        if self.transport is not None:
            self.transport.abort()

    def _fail_body(self, detail):
        """Set an exception on the body that is open, if any."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(aiohttp.ClientPayloadError(detail))


def use_checked_handler(connector):
    """Let the connections of a connector be checked; aiohttp has no public option."""
    connector._factory = functools.partial(CheckedResponseHandler, loop=connector._loop)
