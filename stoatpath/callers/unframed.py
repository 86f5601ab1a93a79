"""Responses whose body ends with the connection, as that of their backend server.

The end of such an answer can't be told from a cut, so the caller gets no length that
would vouch for it. Streams have chunks all the same: many clients take the reset of a
connection without chunks for the end, and then a stream could not be broken off.
"""

import socket
import struct

from aiohttp import web

# On close, the connection is reset and unsent data discarded.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SEND_ON_CLOSE = struct.pack("ii", 0, 0)


class UnframedResponse(web.StreamResponse):
    """A response without length and chunks; `body` is what `write_eof` sends.

    Until it is complete, anything that closes the connection resets it, the end of the
    process included.
    """

    # aiohttp has no public option for a body that ends with the connection.
    _length_check = False

    def __init__(self, status, headers, body=b""):
        super().__init__(status=status, headers=headers)
        self._unsent_body = body
        self._transport = None
        self.force_close()

    async def prepare(self, request):
        """Send the response head."""
        if self._transport is None:
            self._transport = request.transport
            _set_linger(self._transport, RESET_ON_CLOSE)
            if self._transport is not None:
                # The end of the process discards what waits here, so `write_eof` waits
                # until the kernel has all of it.
                self._transport.set_write_buffer_limits(high=0)
        return await super().prepare(request)

    async def write_eof(self, data=b""):
        """Send the rest of the body; the connection may close without a reset now."""
        body, self._unsent_body = self._unsent_body, b""
        await super().write_eof(body + data)
        _set_linger(self._transport, SEND_ON_CLOSE)


def _set_linger(transport, linger):
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None or transport.is_closing():
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
