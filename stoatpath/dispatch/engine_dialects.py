"""How engines and plain services of the own interface are spoken to."""

from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.dispatch.latencies import SlowAnswerEstimates
from stoatpath.dispatch.streams import Relay
from stoatpath.routing.messages import RoutingQuery

DEFAULT_EXPECTED_TOKENS = 64
EXPECTED_TIME_SLACK = 4.0


class EngineDialect:
    """Answers what an attempt needs to know of requests as JSON documents.

    `parts` is the router that holds the slices.
    """

    __slots__ = ("_parts", "_clock", "_latencies")

    def __init__(self, parts):
        self._parts = parts
        self._clock = parts.clock
        self._latencies = SlowAnswerEstimates()

    def open_relay(self, request, stream):
        """Return what takes the events of a streamed answer, or None."""
        if stream is None:
            return None
        runs_on = bool(request.idempotency_key) or not request.is_repeatable
        return Relay(stream, runs_on, bool(request.idempotency_key))

    def query(self, request, version, tried):
        """Return the `RoutingQuery` of one attempt."""
        return RoutingQuery(
            request.request_id,
            request.service.name,
            version.name,
            _expected_tokens(request),
            request.deadline_ms,
            tried,
        )

    def candidates(self, request, version, relay):
        """Return the backend servers that could take an attempt."""
        backends = self._parts.backends
        if request.service.kind != MODEL_SERVICE:
            return backends.of_service(request.service.name)
        serving = backends.serving(version.name)
        if relay is not None and relay.has_begun:
            return [backend for backend in serving if backend.resumes]
        return serving

    def may_resume(self, request, version):
        """Return whether a stream that broke off can be carried on."""
        serving = self._parts.backends.serving(version.name)
        return any(backend.resumes for backend in serving)

    def may_run_again(self, request):
        """Return whether another run is allowed; the runner bounds them itself."""
        return True

    def route_name(self, request):
        """Return the kind of request by which answers are counted."""
        return request.service.name

    def kind_name(self, request):
        """Return what may be repeated of a request, for counts."""
        return "repeatable" if request.is_repeatable else "at-most-once"

    def first_byte_at_ms(self, request, backend):
        """Return the clock reading by which an answer must begin."""
        limit_ms = self._parts.settings.first_byte_timeout_ms
        if not request.is_stream:
            expected_ms = _expected_tokens(request) * backend.token_ms
            limit_ms += EXPECTED_TIME_SLACK * expected_ms
        return self._clock.now_ms() + limit_ms

    def hedge_after_ms(self, request, sent):
        """Return how long to wait before a second attempt, or None for none."""
        if not request.is_repeatable or sent > 1:
            return None
        slow_ms = self._latencies.slow_ms((request.service.name, request.is_stream))
        if slow_ms is None:
            return None
        return max(self._parts.settings.hedge_min_ms, slow_ms)

    def learn_first_byte(self, request, elapsed_ms):
        """Take the time to the first byte of one attempt."""
        kind = (request.service.name, request.is_stream)
        self._latencies.learn(kind, elapsed_ms)


def _expected_tokens(request):
    if request.service.kind != MODEL_SERVICE:
        return 1
    return request.body.get("max_tokens") or DEFAULT_EXPECTED_TOKENS
