"""Relays the events of a streamed chat completion, checking each one."""

from stoatpath.dispatch.checks import broken, foreign
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


class Relay:
    """What has reached the caller of one streamed answer, over all attempts.

    The first attempt that has something to write owns the relay; `on_owned` is
    called then, so that the others can be ended. `runs_on` keeps reading after
    the caller has left.
    """

    __slots__ = (
        "_stream",
        "_runs_on",
        "_is_gone",
        "_kept",
        "contents",
        "closing",
        "owner",
        "on_owned",
    )

    def __init__(self, stream, runs_on, keeps_events):
        self._stream = stream
        self._runs_on = runs_on
        self._is_gone = False
        self._kept = [] if keeps_events else None
        self.contents = []
        self.closing = set()
        self.owner = None
        self.on_owned = None

    @property
    def has_begun(self):
        """Return whether a part of the answer has reached the caller."""
        return bool(self.contents) or self._stream.has_begun

    @property
    def resume_from(self):
        """Return the event from which a resumed answer is asked for."""
        return max(0, len(self.contents) - RESUME_OVERLAP_EVENTS)

    def own(self, attempt):
        """Return whether an attempt may write, as the first one or the owner."""
        if self.owner is None:
            self.owner = attempt
            if self.on_owned is not None:
                self.on_owned(attempt)
        return self.owner is attempt

    def disown(self, attempt):
        """Let another attempt carry on after this one has ended."""
        if self.owner is attempt:
            self.owner = None

    async def write(self, events):
        """Write whole events; return a failure when the caller has left."""
        if self._kept is not None:
            self._kept.append(events)
        if not self._is_gone:
            try:
                await self._stream.write(events)
            except OSError:
                self._is_gone = True
        if self._is_gone and not self._runs_on:
            return Failure(CALLER_GONE, "the caller has left", Outcome.UNKNOWN)
        return None

    def kept_events(self):
        """Return all events written, when they are kept for a replay."""
        return b"".join(self._kept or ())


class EventReader:
    """Reads the events of one attempt and passes them on.

    The end marker is not passed on: the caller's listener writes it once the
    answer is billed. A resumed attempt first repeats events that were relayed
    before; they must be the same. An event counts by its place among those that
    carry content.
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
        """Return the whole answer after its end marker, or a failure."""
        try:
            return await self._read(content, deadlines)
        finally:
            self._relay.disown(self._attempt)

    async def _read(self, content, deadlines):
        rest = b""
        while chunk := await content.readany():
            deadlines.note_bytes()
            *events, rest = (rest + chunk).split(EVENT_END)
            if len(rest) > MAX_EVENT_BYTES:
                return broken(f"an event is larger than {MAX_EVENT_BYTES} bytes")
            own, has_ended = self._take(events)
            if own:
                if not self._relay.own(self._attempt):
                    return broken("another attempt answers")
                gone = await self._relay.write(own)
                if gone is not None:
                    return gone
            if self._problem is not None:
                return self._problem
            if has_ended:
                return self._finish()
        return broken("the stream ended without its end marker")

    def _take(self, events):
        """Return the bytes to pass on, and whether the end marker was there."""
        own = []
        for event in events:
            if event.startswith(COMMENT_PREFIX):
                continue
            payload = event.removeprefix(DATA_PREFIX)
            if payload == END_MARKER:
                return b"".join(own), True
            is_new = self._check(payload)
            if self._problem is not None:
                break
            if is_new:
                own.append(event + EVENT_END)
        return b"".join(own), False

    def _check(self, payload):
        """Return whether an event is new; store what is wrong with it."""
        data = decode_json(payload)
        if not isinstance(data, dict):
            self._problem = broken("an event is not a JSON object")
            return False
        if data.get("id") != self._request_id or data.get("model") != self._version:
            self._problem = foreign(data)
            return False
        try:
            return self._take_choice(data)
        except (AttributeError, IndexError, KeyError, TypeError):
            self._problem = broken("an event has no choice of the expected form")
            return False

    def _take_choice(self, data):
        usage = data.get("usage")
        if usage is not None:
            self._tokens = usage["total_tokens"]
        if not data["choices"] and usage is not None:
            return self._take_closing("usage")
        choice = data["choices"][0]
        content = choice["delta"].get("content") or ""
        if choice.get("finish_reason") is not None:
            self._is_finished = True
            if not content:
                return self._take_closing("finish")
        return self._take_content(content)

    def _take_closing(self, kind):
        if self._position < len(self._relay.contents):
            self._problem = broken("the resumed answer ended before its first part")
            return False
        is_new = kind not in self._relay.closing
        self._relay.closing.add(kind)
        return is_new

    def _take_content(self, content):
        contents = self._relay.contents
        if self._position == len(contents):
            if not self._relay.own(self._attempt):
                self._problem = broken("another attempt answers")
                return False
            contents.append(content)
            self._position += 1
            return True
        if contents[self._position] != content:
            self._problem = broken("the resumed answer differs from its first part")
        self._position += 1
        return False

    def _finish(self):
        if not self._is_finished:
            return broken("the stream has no finish reason")
        contents = self._relay.contents
        tokens = self._tokens or len(contents)
        events = self._relay.kept_events()
        return Answer(200, EVENT_STREAM, events, "".join(contents), tokens)
