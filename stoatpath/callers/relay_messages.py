"""Messages of requests whose bodies are relayed without being parsed."""

from xxhash import xxh3_128

from stoatpath.quarantine.messages import whole_request_name
from stoatpath.rollouts.releases import ANY_RELEASE


class PromptPart:
    """A segment of a prompt, which other requests may share, and its size in tokens."""

    __slots__ = ("name", "tokens")

    def __init__(self, name, tokens):
        self.name = name
        self.tokens = tokens


class Prompt:
    """A prompt as the caller described it in headers; sizes are in tokens.

    `model` is the requested model, a wildcard, or "" if the request is not for a
    model. `parts` lists the prompt parts in order; the last one is specific to the
    request or its session.
    """

    __slots__ = ("model", "tokens", "max_new_tokens", "expected_new_tokens", "parts")

    def __init__(self, model, tokens, max_new_tokens, expected_new_tokens, parts):
        self.model = model
        self.tokens = tokens
        self.max_new_tokens = max_new_tokens
        self.expected_new_tokens = expected_new_tokens
        self.parts = parts

    @property
    def shared_name(self):
        """Return the name of the longest shared prefix, or ""."""
        return self.parts[-2].name if len(self.parts) > 1 else ""

    @property
    def shared_part_names(self):
        """Return the names of the parts that other requests may share."""
        return tuple(part.name for part in self.parts[:-1])

    @property
    def shared_tokens(self):
        """Return the size of the parts that other requests may share, in tokens."""
        return sum(part.tokens for part in self.parts[:-1])


NO_PROMPT = Prompt("", 0, 0, 0, ())


class RelayedRequest:
    """One request that matched a route, as it will be relayed.

    `headers` are the end-to-end headers of the caller as pairs, without those that
    the router sets. `arrived_ms` and `deadline_ms` are clock readings. `key` is the
    API key of the caller, or "". `is_forwarded` says that another instance sent the
    request on, after `forwarded_runs` runs. `run_count` counts the runs that took place
    or may have, `lost_beginnings` the streams among them whose connection was lost
    between the head of the answer and its first event, `lost_runs` all whose connection
    was lost before a whole answer or an event, and `crashes` those under which the
    backend server is known to have ended. With `has_caller_left` it is not sent any
    more. `releases` selects the releases
    of the service that the request may run on; `release` is where it last ran.
    """

    __slots__ = (
        "request_id",
        "organisation",
        "key",
        "service",
        "route",
        "arrived_ms",
        "deadline_ms",
        "session",
        "method",
        "path",
        "headers",
        "body",
        "prompt",
        "last_event_id",
        "_content",
        "was_sent",
        "has_caller_left",
        "is_forwarded",
        "run_count",
        "lost_beginnings",
        "lost_runs",
        "crashes",
        "__weakref__",
        "releases",
        "release",
    )

    def __init__(
        self,
        request_id,
        organisation,
        key,
        service,
        route,
        arrived_ms,
        deadline_ms,
        session,
        method,
        path,
        headers,
        body,
        prompt=NO_PROMPT,
        last_event_id="",
        forwarded_runs=None,
    ):
        self.request_id = request_id
        self.organisation = organisation
        self.key = key
        self.service = service
        self.route = route
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.session = session
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.prompt = prompt
        self.last_event_id = last_event_id
        self._content = None
        self.was_sent = False
        self.has_caller_left = False
        self.is_forwarded = forwarded_runs is not None
        self.run_count = forwarded_runs or 0
        self.lost_beginnings = 0
        self.lost_runs = 0
        self.crashes = 0
        self.releases = ANY_RELEASE
        self.release = None

    @property
    def content(self):
        """Return a digest of what makes two requests the same to a backend server.

        That is the organisation, method, path and body, and the parts of the prompt.
        """
        if self._content is None:
            organisation = "" if self.organisation is None else self.organisation.name
            parts = ",".join(part.name for part in self.prompt.parts)
            head = "\n".join((organisation, self.method, self.path, parts, ""))
            digest = xxh3_128(head.encode())
            digest.update(self.body)
            self._content = digest.hexdigest()
        return self._content

    @property
    def shared_part_names(self):
        """Return the names of the prompt parts that other requests may share."""
        return self.prompt.shared_part_names

    @property
    def quarantine_names(self):
        """Return the names by which the request may be kept from backend servers."""
        return (*self.shared_part_names, whole_request_name(self.content))

    @property
    def idempotency_key(self):
        """Return "": the route determines whether the request may be repeated."""
        return ""

    @property
    def may_run_again(self):
        """Return whether the route allows another run."""
        return self.run_count < self.route.max_attempts

    @property
    def is_repeatable(self):
        """Return whether the request may run more than once."""
        return self.route.is_repeatable

    @property
    def outlives_caller(self):
        """Return whether a run is completed for a caller who has left.

        It may be of use even so, unless it is a stream or may be repeated.
        """
        return not self.is_repeatable and not self.is_stream

    @property
    def is_stream(self):
        """Return whether the answer is an event stream."""
        return self.route.is_stream

    @property
    def priority(self):
        """Return the priority, 0 first; the organisation's overrides the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


class AnswerHead:
    """The head of a backend server's answer.

    `request_id` is the identifier that the answer echoes, or None. `is_sealed` is true
    if the answer has the header that shows that the backend server itself answered,
    `is_not_executed` if the backend server did not run the request, and
    `is_misdirected` if another process answered at this address. `is_encoded` is true
    if the answer has a `Content-Encoding`, `is_unframed` if its body has neither a
    length nor chunks and ends with its connection. `confidence` is the model's
    confidence in its answer, from 0 to 100, or None. `signals` are `BackendSignals`.
    `answered_by` is the backend server that another instance names, or "". `headers`
    are the end-to-end headers as pairs.
    """

    __slots__ = (
        "status",
        "request_id",
        "is_sealed",
        "is_not_executed",
        "is_misdirected",
        "is_encoded",
        "is_unframed",
        "is_event_stream",
        "confidence",
        "signals",
        "answered_by",
        "headers",
    )

    def __init__(
        self,
        status,
        request_id,
        is_sealed,
        is_not_executed,
        is_misdirected,
        is_encoded,
        is_unframed,
        is_event_stream,
        confidence,
        signals,
        answered_by,
        headers,
    ):
        self.status = status
        self.request_id = request_id
        self.is_sealed = is_sealed
        self.is_not_executed = is_not_executed
        self.is_misdirected = is_misdirected
        self.is_encoded = is_encoded
        self.is_unframed = is_unframed
        self.is_event_stream = is_event_stream
        self.confidence = confidence
        self.signals = signals
        self.answered_by = answered_by
        self.headers = headers

    @property
    def is_success(self):
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class RelayedAnswer:
    """A complete answer; `body` is None if its events have been relayed already."""

    __slots__ = ("head", "body", "__weakref__")

    def __init__(self, head, body):
        self.head = head
        self.body = body


class RelayedResult:
    """A complete answer for the caller, with the models and the cost that it took.

    `version` is the model that answered; `stages` lists the models that ran.
    """

    __slots__ = ("answer", "version", "stages", "cost", "is_replay", "session_moved")

    def __init__(self, answer, version, stages, cost):
        self.answer = answer
        self.version = version
        self.stages = stages
        self.cost = cost
        self.is_replay = False
        self.session_moved = ""
