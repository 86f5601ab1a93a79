"""Splits the bytes of streamed answers into events, and checks their sequence."""

import re

from stoatpath.dispatch.checks import broken_answer

# An event ends with an empty line; a line ends with CR LF, LF or CR (WHATWG HTML,
# section 9.2.6). A CR before a LF ends no line by itself.
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")
# The longest match: an end may begin that many bytes before the next chunk.
MAX_END_BYTES = 4
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
ID_FIELD = b"id:"
DATA_FIELD = b"data"
COMMENT = b":"
# Python converts no longer numbers.
MAX_ID_DIGITS = 4_300
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Splits the bytes of one attempt into events and checks their sequence.

    Event identifiers are increasing integers ("a series of events with increasing
    ids", PROTOCOL). They may rise by more than one within a run, whose bytes arrive in
    order. `is_rest` is true for a run that goes on after an event that an earlier one
    has sent: its first event must follow that by one, unless the identifiers of the
    stream have gaps (`has_gaps`). `whole_events` counts also events without an
    identifier, but no comments. `ends_unnumbered` is true if such an event came last:
    a run that is resumed would send it again.
    """

    __slots__ = (
        "events",
        "whole_events",
        "last_event_id",
        "problem",
        "has_gaps",
        "ends_unnumbered",
        "_is_rest",
        "_is_first",
        "_is_repeated",
        "_partial_event",
        "_searched",
    )

    def __init__(self, last_event_id, is_rest=False, has_gaps=False):
        self.events = 0
        self.whole_events = 0
        self.last_event_id = last_event_id
        self.problem = None
        self.has_gaps = has_gaps
        self.ends_unnumbered = False
        self._is_rest = is_rest
        self._is_first = True
        self._is_repeated = False
        self._partial_event = b""
        self._searched = 0

    @property
    def has_partial_event(self):
        """Return whether an incomplete event is buffered."""
        rest = self._partial_event
        if self._is_first:
            rest = rest.removeprefix(BYTE_ORDER_MARK)
        return any(line and not line.startswith(COMMENT) for line in rest.splitlines())

    @property
    def has_more(self):
        """Return whether a part of an event, or one out of sequence, came last.

        An event that was sent before is no such one.
        """
        if self.problem is not None:
            return not self._is_repeated
        return self.has_partial_event

    @property
    def position(self):
        """Return where the events so far end, as the arguments of `write`."""
        return self.last_event_id, self.has_gaps, self.ends_unnumbered

    @property
    def rest(self):
        """Return the bytes after the last event: part of one, or blank lines."""
        return self._partial_event

    def feed(self, chunk):
        """Return the bytes of the complete events that are in sequence."""
        if self.problem is not None:
            return b""
        data = self._partial_event + chunk
        begin = start = 0
        position = self._searched
        while (match := EVENT_END.search(data, position)) is not None:
            if not self._accept(data[start : match.end()]):
                break
            if self._is_first and self._is_rest and data.startswith(BYTE_ORDER_MARK):
                # It is allowed only where the caller's stream begins.
                begin = len(BYTE_ORDER_MARK)
            self._is_first = False
            position = start = match.end()
        self._partial_event = data[start:]
        self._searched = max(0, len(self._partial_event) - MAX_END_BYTES)
        if len(self._partial_event) > MAX_EVENT_BYTES and self.problem is None:
            self.problem = broken_answer(
                f"an event is larger than {MAX_EVENT_BYTES} bytes"
            )
        return data[begin:start]

    def _accept(self, event):
        """Return whether an event is next in sequence or has no identifier."""
        if self._is_first:
            event = event.removeprefix(BYTE_ORDER_MARK)
        event_id = _read_id(event)
        if event_id is None:
            return self._accept_unnumbered(event)
        text = event_id.decode("latin-1")
        number, last = _parse_id(text), _parse_id(self.last_event_id or "0")
        if number is None:
            self.problem = broken_answer(f"an event is numbered {text[:20]!r}")
            return False
        is_lower = last is None or number <= last
        if is_lower and self.last_event_id or self._skips(number, last):
            self._is_repeated = is_lower
            self.problem = broken_answer(
                f"event {text[:20]} came after {self.last_event_id[:20]}"
            )
            return False
        self.has_gaps = self.has_gaps or number > last + 1
        self.last_event_id = text
        self.ends_unnumbered = False
        self.events += 1
        self.whole_events += 1
        return True

    def _accept_unnumbered(self, event):
        if not _has_data(event):
            return True
        if self._is_rest and not self.events:
            self.problem = broken_answer("a resumed stream begins without a number")
            return False
        self.ends_unnumbered = True
        self.whole_events += 1
        return True

    def _skips(self, number, last):
        """Return whether an event is missing between two runs of one stream."""
        is_joined = self._is_rest and not self.events
        return is_joined and not self.has_gaps and number != last + 1


def _has_data(event):
    """Return whether an event is more than comments and empty lines."""
    return any(line.startswith(DATA_FIELD) for line in event.splitlines())


def _read_id(event):
    """Return the identifier of an event, None if absent; its last line counts."""
    event_id = None
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            event_id = line[len(ID_FIELD) :].strip()
    return event_id


def _parse_id(text):
    """Return the number that an identifier is, or None."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ID_DIGITS
    return int(text) if is_number else None
