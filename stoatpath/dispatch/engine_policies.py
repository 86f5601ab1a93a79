"""Attempt rules for engines and plain services behind a router."""

from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.dispatch.latencies import FirstByteTimes
from stoatpath.dispatch.streams import CompletionRelay
from stoatpath.routing.messages import RoutingQuery

DEFAULT_EXPECTED_TOKENS = 64
EXPECTED_TIME_FACTOR = 4.0


class EnginePolicy:
    """Routing, deadline, retry and hedge rules of routers.

    `router` is the router that owns the other components.
    """

    __slots__ = ("_router", "_clock", "_first_byte_times")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock
        self._first_byte_times = FirstByteTimes()

    def open_relay(self, request, stream):
        """Return the relay for the events of a streamed answer, or None."""
        if stream is None:
            return None
        outlives_caller = bool(request.idempotency_key) or not request.is_repeatable
        return CompletionRelay(stream, outlives_caller, bool(request.idempotency_key))

    def query(self, request, version, tried_names):
        """Return the `RoutingQuery` of one attempt."""
        return RoutingQuery(
            request.request_id,
            request.service.name,
            version.name,
            _expected_tokens(request),
            request.deadline_ms,
            tried_names,
        )

    def check_send(self, request, version):
        """Return the failure of an attempt that must not be sent, or None."""
        problem = self._router.guard.check_send(request, version)
        return problem or self._router.quarantine.check(request)

    def candidates(self, request, version, relay):
        """Return the backend servers that can run an attempt."""
        backends = self._router.backends
        if request.service.kind != MODEL_SERVICE:
            return backends.of_service(request.service.name)
        serving = backends.serving(version.name)
        if relay is not None and relay.has_begun:
            return [backend for backend in serving if backend.resumes]
        return serving

    def excluded(self, request):
        """Return no backend servers: routers exclude none by zone."""
        return []

    def exclusion_reason(self, request, backend):
        """Return None: routers exclude no backend server by zone."""
        return None

    def may_resume(self, request, version):
        """Return whether an interrupted stream can be resumed."""
        serving = self._router.backends.serving(version.name)
        return any(backend.resumes for backend in serving)

    def may_run_again(self, request):
        """Return whether another run is allowed; the runner limits the attempts."""
        return True

    def route_name(self, request):
        """Return the label by which answers are counted."""
        return request.service.name

    def repeatability_label(self, request):
        """Return the label of the request's repeatability for statistics."""
        return "repeatable" if request.is_repeatable else "at-most-once"

    def new_release_share(self, request):
        """Return 0: a roll-out of a version counts ratings, not answers."""
        return 0.0

    def first_byte_deadline_ms(self, request, backend):
        """Return the time by which the first byte must arrive."""
        limit_ms = self._router.settings.first_byte_timeout_ms
        if not request.is_stream:
            expected_ms = _expected_tokens(request) * backend.token_ms
            limit_ms += EXPECTED_TIME_FACTOR * expected_ms
        return self._clock.now_ms() + limit_ms

    def hedge_delay_ms(self, request, version, sent_count, min_confidence):
        """Return the delay before a hedged attempt, or None to send none."""
        if not request.is_repeatable or sent_count > 1:
            return None
        p95_ms = self._first_byte_times.p95_ms(
            (request.service.name, request.is_stream)
        )
        if p95_ms is None:
            return None
        return max(self._router.settings.hedge_min_ms, p95_ms)

    def try_spend_on_hedge(self, request, backend):
        """Spend a part of the retry budget on a hedge; return whether it is allowed."""
        return self._router.retry_budget.try_spend_on_hedge(request.service.name)

    def record_abandoned(self, request):
        """Do nothing: routers count no runs."""

    def record_hedge_win(self, request):
        """Do nothing: routers count no hedges."""

    def record_first_byte(self, request, version, elapsed_ms):
        """Record the time to the first byte of one attempt."""
        key = (request.service.name, request.is_stream)
        self._first_byte_times.record(key, elapsed_ms)


def _expected_tokens(request):
    if request.service.kind != MODEL_SERVICE:
        return 1
    return request.body.get("max_tokens") or DEFAULT_EXPECTED_TOKENS
