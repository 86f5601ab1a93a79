"""Relays the events of a streamed answer without parsing them, over all attempts."""

from stoatpath.callers.relay_messages import RelayedAnswer
from stoatpath.dispatch.checks import broken_answer
from stoatpath.dispatch.deadlines import ABANDONED_MS
from stoatpath.outcomes import CALLER_GONE, SUPERSEDED, Failure, Outcome

# Ends of an event with the line endings that backend servers use.
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"
DATA_FIELD = b"data"
MAX_EVENT_BYTES = 1024 * 1024


class EventRelay:
    """Writes one streamed answer of unparsed events to the caller, over all attempts.

    The head (status and headers) is the first attempt's. The first attempt whose head
    is accepted claims the relay; `on_claimed` is called with it. Once `is_abandoned` is
    true, nothing more is written.
    """

    __slots__ = ("_stream", "_owner", "on_claimed", "is_abandoned")

    def __init__(self, stream):
        self._stream = stream
        self._owner = None
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

    async def write(self, events, last_event_id):
        """Write complete events; return a failure if the caller disconnected."""
        if self.is_abandoned:
            return Failure(CALLER_GONE, "the caller has left", Outcome.UNKNOWN)
        self._stream.last_event_id = last_event_id
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
    relay = attempt.relay
    start = relay.last_event_id or attempt.request.last_event_id
    splitter = EventSplitter(start)
    if await relay.begin(head) is not None:
        # Whether the backend server gets as far as an event is still worth knowing.
        if self._owner is not None and self._owner.is_abandoned:
            return Failure(SUPERSEDED, "another attempt answers", Outcome.UNKNOWN)
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
            write = relay.write(events, splitter.last_event_id)
            caller_failure = await deadlines.write_to_caller(write)
            if caller_failure is not None:
                return caller_failure
        if splitter.problem is not None:
            return splitter.problem
    if splitter.has_partial_event:
        return broken_answer("the stream ended within an event")
    return RelayedAnswer(head, None)


class EventSplitter:
    """Splits the bytes of one attempt into events and checks their sequence.

    Event identifiers are consecutive integers. The first must follow the event after
    which the attempt was asked to resume. `whole_events` counts also events without an
    identifier, but no comments.
    """

    __slots__ = (
        "events",
        "whole_events",
        "last_event_id",
        "problem",
        "_partial_event",
    )

    def __init__(self, last_event_id):
        self.events = 0
        self.whole_events = 0
        self.last_event_id = last_event_id
        self.problem = None
        self._partial_event = b""

    @property
    def has_partial_event(self):
        """Return whether an incomplete event is buffered."""
        return bool(self._partial_event)

    def feed(self, chunk):
        """Return the bytes of the complete events that are in sequence."""
        data = self._partial_event + chunk
        complete = b""
        start = 0
        while (end := _find_end(data, start)) is not None:
            if not self._accept(data[start:end]):
                break
            complete = data[:end]
            start = end
        self._partial_event = data[start:]
        if len(self._partial_event) > MAX_EVENT_BYTES and self.problem is None:
            self.problem = broken_answer(
                f"an event is larger than {MAX_EVENT_BYTES} bytes"
            )
        return complete

    def _accept(self, event):
        """Return whether an event is next in sequence or has no identifier."""
        event_id = _read_id(event)
        if event_id is None:
            self.whole_events += _has_data(event)
            return True
        expected = int(self.last_event_id or 0) + 1
        if event_id != expected:
            self.problem = broken_answer(
                f"event {event_id} came in place of {expected}"
            )
            return False
        self.last_event_id = str(event_id)
        self.events += 1
        self.whole_events += 1
        return True


async def _write_to_caller(write):
    """Return None, or CALLER_GONE if the caller disconnected."""
    try:
        await write
    except OSError:
        return Failure(CALLER_GONE, "the caller has left", Outcome.UNKNOWN)
    return None


def _find_end(data, start):
    ends = [
        index + len(terminator)
        for terminator in EVENT_TERMINATORS
        if (index := data.find(terminator, start)) >= 0
    ]
    return min(ends) if ends else None


def _has_data(event):
    """Return whether an event is more than comments and empty lines."""
    return any(line.startswith(DATA_FIELD) for line in event.splitlines())


def _read_id(event):
    """Return the identifier of an event, None if absent, -1 if not a number."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else -1
    return None
