"""How backend servers are spoken to when bodies are passed on unread."""

from stoatpath.dispatch.event_relays import EventRelay
from stoatpath.dispatch.latencies import SlowAnswerEstimates
from stoatpath.routing.affinity import AffinityQuery

# From four times the objective on callers may leave before the first event. Until then
# a backend server that takes connections is only busy, and another reads it all again.
FIRST_BYTE_TARGETS = 4.0
MIN_FIRST_BYTE_MS = 2_000.0
HEDGE_MIN_MS = 25.0
HEDGE_SLOW_FACTOR = 1.5


class OpaqueDialect:
    """Answers what an attempt needs to know of relayed requests.

    `parts` is the router that holds the slices.
    """

    __slots__ = ("_parts", "_clock", "_latencies")

    def __init__(self, parts):
        self._parts = parts
        self._clock = parts.clock
        self._latencies = SlowAnswerEstimates()

    def open_relay(self, request, stream):
        """Return what takes the events of a streamed answer, or None."""
        return None if stream is None else EventRelay(stream)

    def query(self, request, version, tried):
        """Return the question for the backend server of one attempt."""
        return AffinityQuery(
            request.service.name,
            version.name,
            request.prompt.shared_name,
            version.work_for_tokens(request.prompt.shared_tokens),
            tried,
            version.prompt_work(request.prompt),
        )

    def candidates(self, request, version, relay):
        """Return the backend servers of the releases that it may run on."""
        backends = self._parts.backends.of_service(request.service.name)
        return request.releases.select(backends)

    def may_resume(self, request, version):
        """Return whether a stream that broke off can be carried on."""
        return request.is_repeatable

    def may_run_again(self, request):
        """Return whether its route allows another run."""
        return request.runs < request.route.max_attempts

    def route_name(self, request):
        """Return the kind of request by which answers are counted."""
        return request.route.name

    def kind_name(self, request):
        """Return what may be repeated of a request, for counts."""
        return request.route.repeats.name

    def first_byte_at_ms(self, request, backend):
        """Return the clock reading by which an answer must begin."""
        if not request.is_stream:
            return request.deadline_ms
        limit_ms = max(MIN_FIRST_BYTE_MS, FIRST_BYTE_TARGETS * request.route.target_ms)
        return self._clock.now_ms() + limit_ms

    def hedge_after_ms(self, request, sent):
        """Return how long to wait before a second attempt, or None for none."""
        if request.is_stream or not request.is_repeatable or sent > 1:
            return None
        if request.route.max_attempts - request.runs < 2:
            return None
        slow_ms = self._latencies.slow_ms(request.route.name)
        if slow_ms is None:
            return None
        return max(HEDGE_MIN_MS, HEDGE_SLOW_FACTOR * slow_ms)

    def learn_first_byte(self, request, elapsed_ms):
        """Take the time to the first byte of one attempt."""
        self._latencies.learn(request.route.name, elapsed_ms)
