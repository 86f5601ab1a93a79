"""Relays the events of a streamed chat completion, checking each one."""

from stoatpath.dispatch.checks import broken, foreign
from stoatpath.dispatch.messages import Answer
from stoatpath.utils import decode_json

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
END_MARKER = b"[DONE]"
EVENT_STREAM = "text/event-stream"


class EventReader:
    """Reads events of one request and passes them on.

    The end marker is not passed on: the caller's listener writes it once the
    answer is billed.
    """

    __slots__ = ("_request_id", "_version", "_text", "_tokens", "_is_finished")

    def __init__(self, request_id, version):
        self._request_id = request_id
        self._version = version
        self._text = []
        self._tokens = 0
        self._is_finished = False

    async def relay(self, content, stream):
        """Return the whole answer after its end marker, or a failure."""
        buffer = b""
        async for chunk in content.iter_any():
            buffer += chunk
            *events, buffer = buffer.split(EVENT_END)
            for event in events:
                payload = event.removeprefix(DATA_PREFIX)
                if payload == END_MARKER:
                    return self._finish()
                problem = self._check(payload)
                if problem is not None:
                    return problem
                await stream.write(event + EVENT_END)
        return broken("the stream ended without its end marker")

    def _check(self, payload):
        data = decode_json(payload)
        if not isinstance(data, dict):
            return broken("an event is not a JSON object")
        if data.get("id") != self._request_id or data.get("model") != self._version:
            return foreign(data)
        choice = data["choices"][0]
        self._text.append(choice["delta"].get("content") or "")
        if choice.get("finish_reason") is not None:
            self._is_finished = True
            self._tokens = data.get("usage", {}).get("total_tokens", len(self._text))
        return None

    def _finish(self):
        if not self._is_finished:
            return broken("the stream has no finish reason")
        return Answer(200, EVENT_STREAM, b"", "".join(self._text), self._tokens)
