"""Keeps the trailers of a request out of the head of the next one.

aiohttp's parser keeps the last trailer of a chunked body, and returns it as the first
header of the next request on the connection.
"""

# The last chunk and an empty section of trailers.
PLAIN_END = b"\r\n0\r\n\r\n"
EMPTY_LINE = b"\r\n\r\n"
STRADDLING_BYTES = len(PLAIN_END) - 1


class TrailerWatch:
    """Tells whether the parser of a connection may hold a trailer."""

    __slots__ = ("_chunked_bodies", "_plain_ends", "_last_bytes")

    def __init__(self):
        self._chunked_bodies = 0
        self._plain_ends = 0
        self._last_bytes = b""

    @property
    def may_hold_trailer(self):
        """Return whether a body ended with trailers, or has not ended yet."""
        return self._chunked_bodies > self._plain_ends

    @property
    def is_after_empty_line(self):
        """Return whether what has arrived ends as a whole request does."""
        return self._last_bytes.endswith(EMPTY_LINE)

    def record_bytes(self, data):
        """Record bytes that arrived."""
        self._plain_ends += data.count(PLAIN_END)
        straddling = self._last_bytes + data[:STRADDLING_BYTES]
        self._plain_ends += straddling.count(PLAIN_END)
        self._last_bytes = (self._last_bytes + data[-STRADDLING_BYTES:])[
            -STRADDLING_BYTES:
        ]

    def record_request(self, is_chunked):
        """Record a head, once the requests before it have been answered."""
        self._chunked_bodies += is_chunked

    def reset(self):
        """Forget the bodies that another parser has read."""
        self._chunked_bodies = 0
        self._plain_ends = 0
