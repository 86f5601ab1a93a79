"""Relays the events of a streamed answer without parsing them, over all attempts."""

import re

from stoatpath.callers.relay_messages import RelayedAnswer
from stoatpath.dispatch.checks import broken_answer
from stoatpath.dispatch.deadlines import ABANDONED_MS
from stoatpath.outcomes import CALLER_GONE, SUPERSEDED, Failure, Outcome

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
ENDS_BEFORE_MORE = "it ended where another attempt brought more"


class EventRelay:
    """Writes one streamed answer of unparsed events to the caller, over all attempts.

    The head (status and headers) is the first attempt's. The first attempt whose head
    is accepted claims the relay; `on_claimed` is called with it. Once `is_abandoned` is
    true, nothing more is written.
    """

    __slots__ = (
        "_stream",
        "_owner",
        "_unproven_end",
        "_end_with_more",
        "on_claimed",
        "is_abandoned",
    )

    def __init__(self, stream):
        self._stream = stream
        self._owner = None
        self._unproven_end = None
        self._end_with_more = None
        self.on_claimed = None
        self.is_abandoned = False

    @property
    def has_begun(self):
        """Return whether a part of the answer has reached the caller."""
        return self._stream.has_begun

    @property
    def last_event_id(self):
        """Return the identifier of the last event written, "" before the first."""
        return self._stream.last_event_id

    @property
    def resume_from(self):
        """Return the identifier of the event after which to resume."""
        return self.last_event_id

    def is_end_confirmed(self):
        """Return whether an attempt that resumed after an end brought no more events.

        Call it at each end that may as well have been a cut.
        """
        is_confirmed = self._unproven_end == self.last_event_id
        self._unproven_end = self.last_event_id
        return is_confirmed

    def record_more(self):
        """Record that more follows what was written, though no whole event came."""
        self._end_with_more = self.last_event_id

    @property
    def has_more(self):
        """Return whether an attempt brought a part of what follows."""
        return self._end_with_more == self.last_event_id

    @property
    def is_resumable(self):
        """Return whether another attempt can go on after what was written."""
        return not self._stream.ends_unnumbered

    def open_splitter(self, request):
        """Return the `EventSplitter` of an attempt that writes next."""
        last_event_id = self.last_event_id
        if not last_event_id:
            return EventSplitter(request.last_event_id)
        return EventSplitter(last_event_id, True, self._stream.has_gaps)

    def abandon(self):
        """Write nothing more: the caller has left."""
        self.is_abandoned = True

    def claim(self, attempt):
        """Return whether an attempt may write; the first one becomes the owner.

        The loser of a hedge may not: other attempts have gone on without it.
        """
        if attempt.is_abandoned and not self.is_abandoned:
            return False
        if self._owner is None:
            self._owner = attempt
            if self.on_claimed is not None:
                self.on_claimed(attempt)
        return self._owner is attempt

    def release(self, attempt):
        """Let another attempt write after this one has ended."""
        if self._owner is attempt:
            self._owner = None

    async def begin(self, head):
        """Write the head unless an earlier attempt did; return a failure or None."""
        if self._stream.has_begun or self.is_abandoned:
            return None
        return await _write_to_caller(self._stream.begin(head))

    async def write(self, events, last_event_id, has_gaps=False, ends_unnumbered=False):
        """Write complete events; return a failure if the caller disconnected.

        The other arguments are those of the `EventSplitter` after them.
        """
        if self.is_abandoned:
            return Failure(CALLER_GONE, "the caller has left", Outcome.UNKNOWN)
        if self._owner is not None and self._owner.is_abandoned:
            return Failure(SUPERSEDED, "another attempt answers", Outcome.UNKNOWN)
        self._stream.last_event_id = last_event_id
        self._stream.has_gaps = has_gaps
        self._stream.ends_unnumbered = ends_unnumbered
        return await _write_to_caller(self._stream.write(events))


async def relay_events(attempt, head, content, deadlines, on_first_event=None):
    """Relay the events of one attempt; return a `RelayedAnswer` or a failure.

    `on_first_event` is called with the request when its first event has arrived.
    """
    relay = attempt.relay
    if not relay.claim(attempt):
        return Failure(SUPERSEDED, "another attempt answers", Outcome.UNKNOWN)
    try:
        return await _relay_events(attempt, head, content, deadlines, on_first_event)
    finally:
        relay.release(attempt)


async def _relay_events(attempt, head, content, deadlines, on_first_event):
    splitter = attempt.relay.open_splitter(attempt.request)
    try:
        return await _relay_split(
            attempt, head, content, deadlines, on_first_event, splitter
        )
    finally:
        if splitter.has_more:
            attempt.relay.record_more()


async def _relay_split(attempt, head, content, deadlines, on_first_event, splitter):
    relay = attempt.relay
    if await relay.begin(head) is not None:
        # Whether the backend server gets as far as an event is still worth knowing.
        relay.abandon()
        deadlines.end_within(ABANDONED_MS)
    while chunk := await content.readany():
        whole_before = splitter.whole_events
        events = splitter.feed(chunk)
        if splitter.whole_events > whole_before:
            deadlines.record_bytes()
        else:
            deadlines.record_partial()
        if events:
            if not attempt.events and on_first_event is not None:
                on_first_event(attempt.request)
            attempt.events = splitter.events
            write = relay.write(events, *splitter.position)
            caller_failure = await deadlines.write_to_caller(write)
            if caller_failure is not None:
                return caller_failure
        if splitter.problem is not None:
            return splitter.problem
    if splitter.has_partial_event:
        return broken_answer("the stream ended within an event")
    if relay.has_more:
        return broken_answer(ENDS_BEFORE_MORE)
    if splitter.rest:
        write = relay.write(splitter.rest, *splitter.position)
        caller_failure = await deadlines.write_to_caller(write)
        if caller_failure is not None:
            return caller_failure
    return RelayedAnswer(head, None)


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


async def _write_to_caller(write):
    """Return None, or CALLER_GONE if the caller disconnected."""
    try:
        await write
    except OSError:
        return Failure(CALLER_GONE, "the caller has left", Outcome.UNKNOWN)
    return None


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
