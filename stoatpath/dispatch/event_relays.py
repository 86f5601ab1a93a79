"""Relays the events of a streamed answer without parsing them, over all attempts."""

from stoatpath.callers.relay_messages import RelayedAnswer
from stoatpath.dispatch.checks import broken_answer
from stoatpath.dispatch.deadlines import ABANDONED_MS
from stoatpath.dispatch.event_splitters import EventSplitter
from stoatpath.outcomes import (
    CALLER_GONE,
    SUPERSEDED,
    Failure,
    Outcome,
    is_failure,
)

ENDS_BEFORE_MORE = "it ended where another attempt brought more"


class EventRelay:
    """Writes one streamed answer of unparsed events to the caller, over all attempts.

    The head (status and headers) is the first attempt's. The first attempt whose head
    is accepted claims the relay; `on_claimed` is called with it. Once `is_abandoned` is
    true, nothing more is written. `was_cut` is true once an attempt broke off that had
    begun to write.
    """

    __slots__ = (
        "_stream",
        "_owner",
        "_unproven_end",
        "_unproven_by",
        "_end_with_more",
        "on_claimed",
        "is_abandoned",
        "was_cut",
    )

    def __init__(self, stream, was_cut=False):
        self._stream = stream
        self._owner = None
        self._unproven_end = None
        self._unproven_by = None
        self._end_with_more = None
        self.on_claimed = None
        self.is_abandoned = False
        self.was_cut = was_cut

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

    def confirm_end(self, attempt):
        """Record an unproven end of the stream; return whether it is proven by now.

        It is if an attempt that resumed after an earlier unproven end brought no event.
        Two empty rests must be of two backend servers.
        """
        name = attempt.backend.name if attempt.is_empty_rest else None
        is_second = self._unproven_end == self.last_event_id
        if is_second and name is not None and name == self._unproven_by:
            return False
        self._unproven_end = self.last_event_id
        self._unproven_by = name
        return is_second

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
    relay = attempt.relay
    splitter = relay.open_splitter(attempt.request)
    is_whole = False
    try:
        answer = await _relay_split(
            attempt, head, content, deadlines, on_first_event, splitter
        )
        is_whole = not is_failure(answer)
        return answer
    finally:
        relay.was_cut = relay.was_cut or not is_whole
        if splitter.has_more:
            relay.record_more()


async def _relay_split(attempt, head, content, deadlines, on_first_event, splitter):
    relay = attempt.relay
    attempt.is_rest = relay.has_begun or bool(attempt.request.last_event_id)
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


async def _write_to_caller(write):
    """Return None, or CALLER_GONE if the caller disconnected."""
    try:
        await write
    except OSError:
        return Failure(CALLER_GONE, "the caller has left", Outcome.UNKNOWN)
    return None
