"""Messages between the pipeline and the senders."""


class Attempt:
    """One sending of a request to one backend server.

    `stream` receives the events of a streamed answer, or is None.
    """

    __slots__ = ("request", "version", "backend", "deadline_ms", "stream")

    def __init__(self, request, version, backend, deadline_ms, stream):
        self.request = request
        self.version = version
        self.backend = backend
        self.deadline_ms = deadline_ms
        self.stream = stream


class Answer:
    """A whole answer of a backend server, checked to be the request's own.

    `text` is what the rating service reads; `tokens` counts prompt and answer.
    """

    __slots__ = ("status", "content_type", "body", "text", "tokens")

    def __init__(self, status, content_type, body, text, tokens):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.text = text
        self.tokens = tokens
