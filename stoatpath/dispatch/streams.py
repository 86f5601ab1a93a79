"""Relays the events of a streamed chat completion and checks each one."""

from stoatpath.dispatch.checks import broken_answer, foreign_answer
from stoatpath.dispatch.messages import Answer
from stoatpath.outcomes import CALLER_GONE, Failure, Outcome
from stoatpath.utils import decode_json

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
COMMENT_PREFIX = b":"
END_MARKER = b"[DONE]"
EVENT_STREAM = "text/event-stream"
MAX_EVENT_BYTES = 1024 * 1024
RESUME_OVERLAP_EVENTS = 4


class CompletionRelay:
    """Writes one streamed chat completion to the caller, over all attempts.

    The first attempt with an event to write claims the relay; `on_claimed` is called
    with it, so that the other can be ended. With `outlives_caller` the answer is read
    to its end after the caller has left. `contents` holds the content of each
    relayed event, `closing` the kinds of closing events already relayed.
    """

    __slots__ = (
        "_stream",
        "_outlives_caller",
        "_is_disconnected",
        "_recorded",
        "contents",
        "closing",
        "owner",
        "on_claimed",
    )

    def __init__(self, stream, outlives_caller, records_events):
        self._stream = stream
        self._outlives_caller = outlives_caller
        self._is_disconnected = False
        self._recorded = [] if records_events else None
        self.contents = []
        self.closing = set()
        self.owner = None
        self.on_claimed = None

    @property
    def has_begun(self):
        """Return whether a part of the answer was written to the caller."""
        return bool(self.contents) or self._stream.has_begun

    @property
    def is_resumable(self):
        """Return True: events are told apart by their position."""
        return True

    @property
    def resume_from(self):
        """Return the index of the content event from which to resume."""
        return max(0, len(self.contents) - RESUME_OVERLAP_EVENTS)

    @property
    def is_abandoned(self):
        """Return whether the caller has left and nothing more is written."""
        return self._is_disconnected and not self._outlives_caller

    def abandon(self):
        """Write nothing more: the caller has left."""
        self._is_disconnected = True

    def claim(self, attempt):
        """Return whether an attempt may write; the first one becomes the owner.

        The loser of a hedge may not: other attempts have gone on without it.
        """
        if attempt.is_abandoned and not self._is_disconnected:
            return False
        if self.owner is None:
            self.owner = attempt
            if self.on_claimed is not None:
                self.on_claimed(attempt)
        return self.owner is attempt

    def release(self, attempt):
        """Let another attempt write after this one has ended."""
        if self.owner is attempt:
            self.owner = None

    async def write(self, events):
        """Write complete events; return a failure if the caller disconnected."""
        if self._recorded is not None:
            self._recorded.append(events)
        if not self._is_disconnected:
            try:
                await self._stream.write(events)
            except OSError:
                self._is_disconnected = True
        if self.is_abandoned:
            return Failure(CALLER_GONE, "the caller has left", Outcome.UNKNOWN)
        return None

    def recorded_events(self):
        """Return all written events, or nothing if they are not recorded for replay."""
        return b"".join(self._recorded or ())


class EventReader:
    """Reads the events of one attempt and relays the new ones.

    The end marker is not relayed: the listener writes it after the answer is billed.
    A resumed attempt first repeats the last relayed events, which must be identical.
    The position counts all events but those that only report usage or the finish.
    """

    __slots__ = (
        "_attempt",
        "_request_id",
        "_version",
        "_relay",
        "_position",
        "_tokens",
        "_is_finished",
        "_problem",
    )

    def __init__(self, attempt):
        self._attempt = attempt
        self._request_id = attempt.request.request_id
        self._version = attempt.version.name
        self._relay = attempt.relay
        self._position = attempt.resume_from
        self._tokens = 0
        self._is_finished = False
        self._problem = None

    async def read(self, content, deadlines):
        """Return the complete answer after its end marker, or a failure."""
        try:
            return await self._read(content, deadlines)
        finally:
            self._relay.release(self._attempt)

    async def _read(self, content, deadlines):
        partial_event = b""
        while chunk := await content.readany():
            *events, partial_event = (partial_event + chunk).split(EVENT_END)
            if all(not each or each.startswith(COMMENT_PREFIX) for each in events):
                deadlines.record_partial()
            else:
                deadlines.record_bytes()
            if len(partial_event) > MAX_EVENT_BYTES:
                return broken_answer(f"an event is larger than {MAX_EVENT_BYTES} bytes")
            new_events, has_ended = self._parse_events(events)
            if new_events:
                if not self._relay.claim(self._attempt):
                    return broken_answer("another attempt answers")
                write = self._relay.write(new_events)
                caller_failure = await deadlines.write_to_caller(write)
                if caller_failure is not None:
                    return caller_failure
            if self._problem is not None:
                return self._problem
            if has_ended:
                return self._finish()
        return broken_answer("the stream ended without its end marker")

    def _parse_events(self, events):
        """Return the bytes to relay, and whether the end marker was reached."""
        new_events = []
        for event in events:
            if event.startswith(COMMENT_PREFIX):
                continue
            payload = event.removeprefix(DATA_PREFIX)
            if payload == END_MARKER:
                return b"".join(new_events), True
            is_new = self._check_event(payload)
            if self._problem is not None:
                break
            if is_new:
                new_events.append(event + EVENT_END)
        return b"".join(new_events), False

    def _check_event(self, payload):
        """Return whether an event is to be relayed; store the failure if invalid."""
        data = decode_json(payload)
        if not isinstance(data, dict):
            self._problem = broken_answer("an event is not a JSON object")
            return False
        if data.get("id") != self._request_id or data.get("model") != self._version:
            self._problem = foreign_answer(data)
            return False
        try:
            return self._handle_event(data)
        except (AttributeError, IndexError, KeyError, TypeError):
            self._problem = broken_answer("an event has no choice of the expected form")
            return False

    def _handle_event(self, data):
        self._attempt.events += 1
        usage = data.get("usage")
        if usage is not None:
            self._tokens = usage["total_tokens"]
        if not data["choices"] and usage is not None:
            return self._handle_closing("usage")
        choice = data["choices"][0]
        content = choice["delta"].get("content") or ""
        if choice.get("finish_reason") is not None:
            self._is_finished = True
            if not content:
                return self._handle_closing("finish")
        return self._handle_content(content)

    def _handle_closing(self, kind):
        if self._position < len(self._relay.contents):
            self._problem = broken_answer(
                "the resumed answer ended before its first part"
            )
            return False
        is_new = kind not in self._relay.closing
        self._relay.closing.add(kind)
        return is_new

    def _handle_content(self, content):
        contents = self._relay.contents
        if self._position == len(contents):
            if not self._relay.claim(self._attempt):
                self._problem = broken_answer("another attempt answers")
                return False
            contents.append(content)
            self._position += 1
            return True
        if contents[self._position] != content:
            self._problem = broken_answer(
                "the resumed answer differs from its first part"
            )
        self._position += 1
        return False

    def _finish(self):
        if not self._is_finished:
            return broken_answer("the stream has no finish reason")
        contents = self._relay.contents
        tokens = self._tokens or len(contents)
        events = self._relay.recorded_events()
        return Answer(200, EVENT_STREAM, events, "".join(contents), tokens)
