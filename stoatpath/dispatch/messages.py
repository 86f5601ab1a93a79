"""Messages between the pipeline and the senders."""


class Attempt:
    """One sending of a request to one backend server.

    `number` counts the attempts of the request; it names this one towards the
    engine. `relay` takes the events of a streamed answer, or is None.
    `first_byte_at_ms` is the clock reading by which an answer must begin.
    `resume_from` is the first event asked of a stream that has begun.
    `needs_fresh` asks for a new connection; `was_pooled` says that a connection
    was used that may have stood idle. `accept_at` is the confidence that the head
    of an answer must show, or None; `events` counts those that were relayed.
    """

    __slots__ = (
        "request",
        "version",
        "backend",
        "number",
        "first_byte_at_ms",
        "relay",
        "resume_from",
        "needs_fresh",
        "was_pooled",
        "deadlines",
        "accept_at",
        "events",
    )

    def __init__(self, request, version, backend, number, first_byte_at_ms, relay):
        self.request = request
        self.version = version
        self.backend = backend
        self.number = number
        self.first_byte_at_ms = first_byte_at_ms
        self.relay = relay
        self.resume_from = relay.resume_from if relay is not None else 0
        self.needs_fresh = False
        self.was_pooled = False
        self.deadlines = None
        self.accept_at = None
        self.events = 0

    @property
    def attempt_id(self):
        """Return the name of this attempt."""
        return f"{self.request.request_id}.{self.number}"

    def supersede(self):
        """End the attempt because another one answers."""
        if self.deadlines is not None:
            self.deadlines.supersede()


class AttemptResult:
    """How one attempt ended, for circuit breakers and load estimates.

    `reason` is None after a whole answer. `first_byte_ms` and `ended_ms` are
    clock readings; `first_byte_ms` is None when nothing came. `route` names the
    kind of request, `kind` what may be repeated of it; `events` counts those of a
    stream, None for a whole answer.
    """

    __slots__ = (
        "backend",
        "version",
        "reason",
        "outcome",
        "started_ms",
        "first_byte_ms",
        "ended_ms",
        "route",
        "events",
        "kind",
    )

    def __init__(
        self,
        backend,
        version,
        reason,
        outcome,
        started_ms,
        first_byte_ms,
        ended_ms,
        route="",
        events=None,
        kind="",
    ):
        self.backend = backend
        self.version = version
        self.reason = reason
        self.outcome = outcome
        self.started_ms = started_ms
        self.first_byte_ms = first_byte_ms
        self.ended_ms = ended_ms
        self.route = route
        self.events = events
        self.kind = kind


class Answer:
    """A whole answer of a backend server, checked to be the request's own.

    `text` is what the rating service reads; `tokens` counts prompt and answer.
    `cache_ttl_s` says for how many seconds a plain service lets it be used again.
    """

    __slots__ = ("status", "content_type", "body", "text", "tokens", "cache_ttl_s")

    def __init__(self, status, content_type, body, text, tokens, cache_ttl_s=0):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.text = text
        self.tokens = tokens
        self.cache_ttl_s = cache_ttl_s
