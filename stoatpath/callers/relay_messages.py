"""Messages of requests whose bodies are passed on unread."""

from stoatpath.rollouts.releases import ANY_RELEASE


class PromptPart:
    """A part of a prompt that other requests may share, and its size in tokens."""

    __slots__ = ("name", "tokens")

    def __init__(self, name, tokens):
        self.name = name
        self.tokens = tokens


class Prompt:
    """What a caller says of its prompt: sizes in tokens, and the parts in order.

    `model` is the one that it names, or a mark that any will do, or "". The last
    part belongs to the request or its session alone.
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
        """Return the name of the longest leading run of shared parts, or ""."""
        return self.parts[-2].name if len(self.parts) > 1 else ""

    @property
    def shared_tokens(self):
        """Return the size of the parts that other requests share."""
        return sum(part.tokens for part in self.parts[:-1])


NO_PROMPT = Prompt("", 0, 0, 0, ())


class RelayedRequest:
    """One request that a route allows, as it will be passed on.

    `headers` are the end-to-end headers of the caller as pairs, without those that
    the router sets. `arrived_ms` and `deadline_ms` are clock readings. `key` is the
    caller's, or "". `run_count` counts the runs that took place or may have. `releases`
    says which releases of the service it may run on, `release` which it last ran on.
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
        "was_sent",
        "run_count",
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
        self.was_sent = False
        self.run_count = 0
        self.releases = ANY_RELEASE
        self.release = None

    @property
    def idempotency_key(self):
        """Return "": routes say what may be repeated, keys are not used."""
        return ""

    @property
    def is_repeatable(self):
        """Return whether the request may run more than once."""
        return self.route.is_repeatable

    @property
    def is_stream(self):
        """Return whether its answer is a series of events."""
        return self.route.is_stream

    @property
    def priority(self):
        """Return its rank, 0 first; the organisation's goes before the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


class AnswerHead:
    """The head of a backend server's answer.

    `request_id` is the identifier that it echoes, or None; `is_sealed` says that
    the backend server vouches for the answer; `is_not_executed` that it ran
    nothing, `is_misdirected` that another one has its address. `confidence` is
    the model's own, from 0 to 100, or None. `headers` are its end-to-end headers as
    pairs.
    """

    __slots__ = (
        "status",
        "request_id",
        "is_sealed",
        "is_not_executed",
        "is_misdirected",
        "is_encoded",
        "is_event_stream",
        "confidence",
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
        is_event_stream,
        confidence,
        headers,
    ):
        self.status = status
        self.request_id = request_id
        self.is_sealed = is_sealed
        self.is_not_executed = is_not_executed
        self.is_misdirected = is_misdirected
        self.is_encoded = is_encoded
        self.is_event_stream = is_event_stream
        self.confidence = confidence
        self.headers = headers


class RelayedAnswer:
    """A whole answer; `body` is None when its events have been relayed already."""

    __slots__ = ("head", "body")

    def __init__(self, head, body):
        self.head = head
        self.body = body


class RelayedResult:
    """A whole answer as it goes to the caller, and what it took.

    `version` names the model that answered, `stages` lists those that ran.
    """

    __slots__ = ("answer", "version", "stages", "cost", "is_replay", "session_moved")

    def __init__(self, answer, version, stages, cost):
        self.answer = answer
        self.version = version
        self.stages = stages
        self.cost = cost
        self.is_replay = False
        self.session_moved = ""
