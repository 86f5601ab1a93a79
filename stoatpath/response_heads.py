"""Checks the heads of HTTP/1 responses strictly, before they are parsed.

aiohttp parses responses leniently: it takes any status, and fields that HTTP forbids.
Some of them change where the body ends (RFC 9112, sections 4 to 6; RFC 9110,
sections 5 and 15).
"""

import re

MAX_HEAD_BYTES = 32 * 1024
MAX_INTERIM_RESPONSES = 100
SWITCHING_PROTOCOLS = 101
# A recipient may take a line feed alone as the end of a line (RFC 9112, section 2.2).
# That of the status line decides for all lines of the head.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[0-9] (?P<status>[1-5][0-9][0-9])(?: [\t -~\x80-\xff]*)?(?P<end>\r?\n)"
)
_STATUS_LINE_START = b"HTTP/1."
_FIELDS_BY_LINE_END = {
    line_end: re.compile(
        rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*" + line_end + rb")*"
    )
    for line_end in (b"\r\n", b"\n")
}
# What no unfinished line may have: a control character that is no tab, or a carriage
# return before anything but the line feed that is still to come.
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x0c\x0e-\x1f\x7f]|\r(?!\Z)")
_FRAMING_FIELD = re.compile(
    rb"^(content-length|transfer-encoding):[ \t]*(.*?)[ \t]*\r?$",
    re.IGNORECASE | re.MULTILINE,
)
_HTTP_1_0 = b"HTTP/1.0"


class ResponseHeadError(ValueError):
    """A head that is not as HTTP requires, or too large."""


class ResponseHeadReader:
    """Holds the bytes of a response back until its head has arrived and is valid.

    Interim responses are left out: nobody waits for one.
    """

    __slots__ = ("_held", "_line_end", "_checked_bytes", "_status", "_interim_count")

    def __init__(self):
        self._held = b""
        self._line_end = None
        self._checked_bytes = 0
        self._status = 0
        self._interim_count = 0

    def read(self, data):
        """Return what has arrived from the final head on, b"" while it is incomplete.

        Raise `ResponseHeadError` as soon as it can't become a valid head.
        """
        self._held += data
        while self._is_head_complete():
            end = self._checked_bytes + len(self._line_end)
            if self._status >= 200:
                _check_framing(self._held[:end])
                return self._held
            if self._status == SWITCHING_PROTOCOLS:
                raise ResponseHeadError("another protocol, which was not asked for")
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise ResponseHeadError("interim responses without end")
            self._held = self._held[end:]
            self._line_end = None
            self._checked_bytes = 0
        if len(self._held) > MAX_HEAD_BYTES:
            raise ResponseHeadError(f"a head beyond {MAX_HEAD_BYTES} bytes")
        return b""

    def _is_head_complete(self):
        """Check the lines that have arrived; return whether the empty one has."""
        held = self._held
        if self._line_end is None:
            line = _STATUS_LINE.match(held)
            if line is None:
                start = held[: len(_STATUS_LINE_START)]
                if not _STATUS_LINE_START.startswith(start) or _CONTROL.search(held):
                    raise ResponseHeadError("no status line")
                return False
            self._line_end = line["end"]
            self._status = int(line["status"])
            self._checked_bytes = line.end()
        fields = _FIELDS_BY_LINE_END[self._line_end].match(held, self._checked_bytes)
        self._checked_bytes = fields.end()
        if held.startswith(self._line_end, self._checked_bytes):
            return True
        if _CONTROL.search(held, self._checked_bytes):
            raise ResponseHeadError("a line that is no field")
        return False


def _check_framing(head):
    """Raise `ResponseHeadError` unless the length of the body is told in one way.

    Only chunks can be decoded; the body of any other coding would be passed on as if it
    had none (RFC 9112, section 6.1).
    """
    lengths = set()
    codings = []
    for name, value in _FRAMING_FIELD.findall(head):
        if name.lower() == b"content-length":
            lengths.add(value)
        else:
            codings.append(value.lower())
    if len(lengths) > 1 or not all(each.isdigit() for each in lengths):
        raise ResponseHeadError("no valid length of the body")
    if not codings:
        return
    if codings != [b"chunked"] or lengths or head.startswith(_HTTP_1_0):
        raise ResponseHeadError("no valid transfer coding")
