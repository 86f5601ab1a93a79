"""Attempts, their results, and answers of backend servers."""


class Attempt:
    """One transmission of a request to one backend server.

    `number` is the attempt's position among those of the request and part of its
    identifier. `relay` writes the events of a streamed answer, or is None.
    `first_byte_deadline_ms` is the time by which the first byte must arrive.
    `connect_timeout_ms` limits the time for the connection, None for the usual time.
    `resume_from` is where a partly relayed stream is resumed: the index of an event
    (`CompletionRelay`) or the identifier of the last one (`EventRelay`).
    `needs_fresh_connection` asks for a new connection; `was_pooled` says that a
    possibly idle one was used. `min_confidence` is the confidence that the head of an
    answer must state, or None. `last_check` returns why it must no longer be sent, or
    None; it is called with the connection open, before its first byte leaves.
    `is_withheld` is true once a drained zone or a region has ruled it out. `events` is
    the number of events of a relayed stream that arrived; `RelaySender` counts those
    with an identifier. `send_by_ms` is the time by which the connection must be open:
    the permit to send expires then. `is_hedge` is true for an extra send beside another
    attempt, `is_abandoned` once nobody awaits its answer. `is_unframed` is true for an
    answer whose body ends with its connection, `is_rest` for a stream of which the
    caller has an earlier part.
    """

    __slots__ = (
        "request",
        "version",
        "backend",
        "number",
        "first_byte_deadline_ms",
        "relay",
        "resume_from",
        "needs_fresh_connection",
        "was_pooled",
        "deadlines",
        "min_confidence",
        "is_withheld",
        "events",
        "send_by_ms",
        "connect_timeout_ms",
        "is_hedge",
        "is_abandoned",
        "is_unframed",
        "is_rest",
        "last_check",
    )

    def __init__(
        self, request, version, backend, number, first_byte_deadline_ms, relay
    ):
        self.request = request
        self.version = version
        self.backend = backend
        self.number = number
        self.first_byte_deadline_ms = first_byte_deadline_ms
        self.relay = relay
        self.resume_from = relay.resume_from if relay is not None else 0
        self.needs_fresh_connection = False
        self.was_pooled = False
        self.deadlines = None
        self.min_confidence = None
        self.is_withheld = False
        self.events = 0
        self.send_by_ms = float("inf")
        self.connect_timeout_ms = None
        self.is_hedge = False
        self.is_abandoned = False
        self.is_unframed = False
        self.is_rest = False
        self.last_check = None

    @property
    def is_empty_rest(self):
        """Return whether the rest of a stream was asked for, and brought no event."""
        return self.is_rest and not self.events

    @property
    def has_begun(self):
        """Return whether the head of an answer has arrived."""
        return self.deadlines is not None and self.deadlines.first_byte_ms is not None

    @property
    def attempt_id(self):
        """Return the identifier of this attempt."""
        return f"{self.request.request_id}.{self.number}"

    def supersede(self):
        """End the attempt because another one answers."""
        if self.deadlines is not None:
            self.deadlines.supersede()


class AttemptResult:
    """The result of one attempt, for circuit breakers and statistics.

    `reason` is None after a complete answer, after one that was rejected for its low
    confidence, and after one whose end is unproven. `first_byte_ms` and `ended_ms` are
    clock readings; `first_byte_ms` is None when no byte arrived. `route` labels the
    request, `repeatability` how often it may run. `events` is `Attempt.events` for a
    stream, None for a buffered answer. `number` is that of the attempt. `new_share` is
    the chance that such a request goes to the new release of a roll-out, `request` is
    the request itself.
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
        "repeatability",
        "number",
        "new_share",
        "request",
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
        repeatability="",
        number=1,
        new_share=0.0,
        request=None,
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
        self.repeatability = repeatability
        self.number = number
        self.new_share = new_share
        self.request = request


class Answer:
    """A complete answer of a backend server that belongs to the request.

    `text` is the input of the rating service. `tokens` counts prompt and answer, or the
    relayed events of a stream that reported no usage.
    `cache_ttl_s` is for how many seconds the answer of a plain service may be cached.
    """

    __slots__ = ("status", "content_type", "body", "text", "tokens", "cache_ttl_s")

    def __init__(self, status, content_type, body, text, tokens, cache_ttl_s=0):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.text = text
        self.tokens = tokens
        self.cache_ttl_s = cache_ttl_s
