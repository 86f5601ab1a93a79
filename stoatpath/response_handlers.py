"""The protocol of client connections, with checks that aiohttp lacks."""

import asyncio
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

from stoatpath.response_heads import ResponseHeadError, ResponseHeadReader

# Bytes that may arrive without a part of a body among them: a head, interim answers or
# the extension of a chunk. aiohttp bounds a head, not the others.
MAX_OVERHEAD_BYTES = 262_144
# Bytes that are read at once; an event loop would read 256 KB.
RECEIVE_BYTES = 16 * 1024


class CheckedResponseHandler(ResponseHandler):
    """Checks heads; ends endless overhead; fails bodies cut by a reset or garbled.

    aiohttp treats the end of a connection as the end of a body of unknown length, even
    after a reset. Of bytes that it can't parse within a body it tells only those who
    wait for a head, so that a reader of the body waits on.
    """

    _body_bytes = 0
    _overhead_bytes = 0
    # None once the final head of the current response has been passed on.
    _head_reader = None

    def __init__(self, loop, receive_buffer):
        super().__init__(loop)
        self._receive_buffer = receive_buffer

    def connection_made(self, transport):
        """Let the transport read into a buffer of `RECEIVE_BYTES`."""
        super().connection_made(transport)
        transport.set_protocol(BoundedReads(self, self._receive_buffer))

    def set_response_params(self, **params):
        """Begin to read the response to the next request."""
        self._head_reader = ResponseHeadReader()
        super().set_response_params(**params)

    def data_received(self, data):
        """Parse bytes, and count those that are no part of a body."""
        earlier_error = self.exception()
        if self._head_reader is not None and self._parser is not None:
            self._read_head(data)
        else:
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

    def _read_head(self, data):
        """Parse the response once its head has arrived and is valid."""
        try:
            checked = self._head_reader.read(data)
        except ResponseHeadError as error:
            self._fail(str(error))
            return
        if not checked:
            self._reschedule_timeout()
            return
        self._head_reader = None
        super().data_received(checked)

    async def read_nothing_during(self, wait):
        """Await something while nothing is read from the connection."""
        self._pause_reading_for_buffer()
        try:
            return await wait
        finally:
            self._resume_reading_for_buffer()

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


class BoundedReads(asyncio.BufferedProtocol):
    """Passes the events of a transport on to a protocol, and what arrives in parts.

    The protocols of an event loop share `receive_buffer`: what was read into it is
    passed on before anything else is read.
    """

    __slots__ = ("_protocol", "_receive_buffer")

    def __init__(self, protocol, receive_buffer):
        self._protocol = protocol
        self._receive_buffer = receive_buffer

    def get_buffer(self, sizehint):
        """Return the buffer to read into."""
        return self._receive_buffer

    def buffer_updated(self, count):
        """Pass on the bytes that were read."""
        self._protocol.data_received(bytes(self._receive_buffer[:count]))

    def eof_received(self):
        """Pass on that the other side sends no more."""
        return self._protocol.eof_received()

    def pause_writing(self):
        """Pass on that the write buffer is full."""
        self._protocol.pause_writing()

    def resume_writing(self):
        """Pass on that the write buffer has room."""
        self._protocol.resume_writing()

    def connection_lost(self, exc):
        """Pass on that the connection has ended."""
        self._protocol.connection_lost(exc)


def build_connector(**options):
    """Return a `TCPConnector` whose connections are checked.

    The options are those of aiohttp, which has none for the protocol.
    """
    connector = aiohttp.TCPConnector(**options)
    connector._factory = functools.partial(
        CheckedResponseHandler,
        loop=connector._loop,
        receive_buffer=memoryview(bytearray(RECEIVE_BYTES)),
    )
    return connector
