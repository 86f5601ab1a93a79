"""Answers that stop within their head, for stand-ins of any server."""

import asyncio

from aiohttp import web

from stoatpath.standins.servers import reset_connection

LENGTH_HEADER = "Content-Length"
CHUNKS_HEADER = "Transfer-Encoding"
INTERIM_ANSWERS = "HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nLink: </a>\n\n"
POLL_S = 0.01
# Bytes that a reset overtakes are lost.
BEFORE_RESET_S = 0.002


class HeadLayout:
    """How a head is written.

    `framing` is the header that tells where the body ends, None without one. The
    headers come in their order with the framing as the last, or, with `is_reversed`,
    the other way round. Interim answers come before, with `has_interim`.
    """

    __slots__ = ("framing", "is_reversed", "line_end", "has_interim")

    def __init__(self, framing, is_reversed=False, line_end="\r\n", has_interim=False):
        self.framing = framing
        self.is_reversed = is_reversed
        self.line_end = line_end
        self.has_interim = has_interim

    def encode(self, headers, length):
        """Return the bytes of a head with status 200; a body has `length` bytes."""
        values_by_name = dict(headers)
        if self.framing == LENGTH_HEADER:
            values_by_name[LENGTH_HEADER] = length
        elif self.framing == CHUNKS_HEADER:
            values_by_name[CHUNKS_HEADER] = "chunked"
        lines = [f"{name}: {value}" for name, value in values_by_name.items()]
        if self.is_reversed:
            lines.reverse()
        head = "\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        if self.has_interim:
            head = INTERIM_ANSWERS + head
        return head.replace("\n", self.line_end).encode()


LAYOUTS_BY_NAME = {
    "length": HeadLayout(LENGTH_HEADER),
    "lengthfirst": HeadLayout(LENGTH_HEADER, is_reversed=True),
    "chunks": HeadLayout(CHUNKS_HEADER),
    "chunksfirst": HeadLayout(CHUNKS_HEADER, is_reversed=True),
    "neither": HeadLayout(None),
    "neitherreversed": HeadLayout(None, is_reversed=True),
    "interim": HeadLayout(LENGTH_HEADER, has_interim=True),
    "bare": HeadLayout(LENGTH_HEADER, line_end="\n"),
    "bareinterim": HeadLayout(None, line_end="\n", has_interim=True),
}


async def write_cut_head(request, kind, headers, length):
    """Write a head without its last N bytes, then end as `head-LAYOUT-END-N` says.

    LAYOUT is a name of `LAYOUTS_BY_NAME`. END is `close`, `reset`, or `stall` (nothing
    happens until the other side closes the connection).
    """
    _, layout, end, missing_bytes = kind.split("-")
    head = LAYOUTS_BY_NAME[layout].encode(headers, length)
    request.transport.write(head[: max(0, len(head) - int(missing_bytes))])
    if end == "stall":
        while request.transport is not None:
            await asyncio.sleep(POLL_S)
    elif end == "reset":
        await asyncio.sleep(BEFORE_RESET_S)
        reset_connection(request)
    elif request.transport is not None:
        request.transport.close()
    return web.Response()
