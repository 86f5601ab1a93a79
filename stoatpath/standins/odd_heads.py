"""Answers with heads that HTTP forbids, for stand-ins of any server."""

from aiohttp import web

ODD_PREFIX = "odd-"
STATUS_LINE = b"HTTP/1.1 200 OK"
# Status lines in place of the usual one.
ODD_STATUS_LINES = {
    "status-000": b"HTTP/1.1 000 OK",
    "status-099": b"HTTP/1.1 099 OK",
    "status-101": b"HTTP/1.1 101 Switching Protocols",
    "status-600": b"HTTP/1.1 600 OK",
    "status-999": b"HTTP/1.1 999 OK",
    "status-short": b"HTTP/1.1 20 OK",
    "status-long": b"HTTP/1.1 2000 OK",
    "status-text": b"HTTP/1.1 2OO OK",
    "status-two-blanks": b"HTTP/1.1  200 OK",
    "reason-control": b"HTTP/1.1 200 O\x01K",
    "version-2": b"HTTP/2.0 200 OK",
    "version-text": b"HTTQ/1.1 200 OK",
    "version-blank": b" HTTP/1.1 200 OK",
}
# Lines that are added to a head with a length.
ODD_LINES = {
    "name-blank": b"X-Od d: 1",
    "name-blank-first": b" X-Odd: 1",
    "name-blank-last": b"X-Odd : 1",
    "name-tab-last": b"X-Odd\t: 1",
    "name-control": b"X-Od\x01d: 1",
    "name-null": b"X-Od\x00d: 1",
    "name-delete": b"X-Od\x7fd: 1",
    "name-umlaut": b"X-Od\xc3\xa4d: 1",
    "name-separator": b"X-Od(d: 1",
    "name-empty": b": 1",
    "no-colon": b"X-Odd",
    "value-control": b"X-Odd: a\x01b",
    "value-null": b"X-Odd: a\x00b",
    "value-delete": b"X-Odd: a\x7fb",
    "value-return": b"X-Odd: a\rb",
    "value-feed": b"X-Odd: a\nb",
    "value-feed-last": b"X-Odd: a\n",
    "folded": b"X-Odd: a\r\n b",
    "length-and-chunks": b"Transfer-Encoding: chunked",
    "length-and-coding": b"Transfer-Encoding: gzip",
    "two-lengths": b"Content-Length: 3",
}
# Lines in place of the length.
ODD_FRAMING = {
    "length-blank": b"Content-Length : 3",
    "length-tab": b"Content-Length\t: 3",
    "length-sign": b"Content-Length: +3",
    "length-text": b"Content-Length: 3x",
    "length-list": b"Content-Length: 3, 4",
    "length-empty": b"Content-Length:",
    "coding-blank": b"Transfer-Encoding : chunked",
    "coding-gzip": b"Transfer-Encoding: gzip",
    "coding-gzip-chunked": b"Transfer-Encoding: gzip, chunked",
    "coding-unknown": b"Transfer-Encoding: chonked",
}
ODD_NAMES = (*ODD_STATUS_LINES, *ODD_LINES, *ODD_FRAMING)
CHUNKED_BODY = b"3\r\nabc\r\n0\r\n\r\n"


def build_odd_head(name, lines, length):
    """Return a head of `lines` with one of `ODD_NAMES`; its body has `length` bytes."""
    framing = ODD_FRAMING.get(name, b"Content-Length: %d" % length)
    status_line = ODD_STATUS_LINES.get(name, STATUS_LINE)
    odd_lines = [ODD_LINES[name]] if name in ODD_LINES else []
    return b"\r\n".join([status_line, *lines, *odd_lines, framing, b"", b""])


async def write_odd_head(request, kind, headers, body):
    """Write an answer with the head `odd-NAME`, and close the connection."""
    lines = [f"{name}: {value}".encode() for name, value in headers.items()]
    name = kind.removeprefix(ODD_PREFIX)
    if name.startswith("coding-"):
        body = CHUNKED_BODY
    request.transport.write(build_odd_head(name, lines, len(body)) + body)
    request.transport.close()
    return web.Response()
