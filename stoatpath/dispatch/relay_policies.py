"""Attempt rules for backend servers whose bodies a gateway relays without parsing."""

from stoatpath.dispatch.event_relays import EventRelay
from stoatpath.dispatch.latencies import FirstByteTimes
from stoatpath.outcomes import is_failure
from stoatpath.routing.affinity import AffinityQuery

# First byte timeout as a multiple of the route's latency objective; after that time
# callers may disconnect. Until then a backend server that accepts connections is only
# busy, and a retry elsewhere would process the whole prompt again.
FIRST_BYTE_TARGET_FACTOR = 4.0
MIN_FIRST_BYTE_TIMEOUT_MS = 2_000.0
HEDGE_MIN_MS = 25.0
HEDGE_P95_FACTOR = 1.5


class RelayPolicy:
    """Routing, deadline, retry and hedge rules of gateways.

    `router` is the gateway that owns the other components.
    """

    __slots__ = ("_router", "_clock", "_first_byte_times")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock
        self._first_byte_times = FirstByteTimes()

    def open_relay(self, request, stream):
        """Return the relay for the events of a streamed answer, or None."""
        return None if stream is None else EventRelay(stream)

    def query(self, request, version, tried_names):
        """Return the `AffinityQuery` of one attempt."""
        return AffinityQuery(
            request.service.name,
            version.name,
            request.prompt.shared_name,
            version.work_for_tokens(request.prompt.shared_tokens),
            tried_names,
            version.prompt_work(request.prompt),
        )

    def check_send(self, request, version):
        """Return the failure of an attempt that must not be sent, or None."""
        problem = self._router.guard.check_send(request, version)
        return problem or self._router.quarantine.check(request)

    def candidates(self, request, version, relay):
        """Return the backend servers with a release that may run the request.

        Return a failure if drained zones and regions exclude all. They are applied
        before the choice of a release, which may have servers in a drained zone only.
        The roll-out may have gone on since the request arrived, so a retry or a resumed
        stream chooses anew: a completed roll-out stops the servers of the old release.
        """
        if self._router.forwarder.is_needed(request):
            return []
        request.releases = self._router.releases.choose(request)
        backends = self._router.eligible.for_request(request)
        if is_failure(backends):
            return backends
        return request.releases.select(backends)

    def excluded(self, request):
        """Return pairs of an excluded backend server and the reason."""
        return self._router.eligible.excluded(request)

    def exclusion_reason(self, request, backend):
        """Return why a selected backend server must not be used any more, or None."""
        return self._router.eligible.exclusion_reason(request, backend)

    def may_resume(self, request, version):
        """Return whether an interrupted stream can be resumed."""
        return request.is_repeatable

    def may_run_again(self, request):
        """Return whether the route allows another run."""
        return request.may_run_again

    def route_name(self, request):
        """Return the label by which answers are counted."""
        return request.route.name

    def repeatability_label(self, request):
        """Return the label of the request's repeatability for statistics."""
        return request.route.repeats.name

    def new_release_share(self, request):
        """Return the chance that the request goes to the new release of a roll-out."""
        return request.releases.new_share

    def first_byte_deadline_ms(self, request, backend):
        """Return the time by which the first byte must arrive."""
        return first_byte_deadline_ms(request, self._clock.now_ms())

    def hedge_delay_ms(self, request, sent_count):
        """Return the delay before a hedged attempt, or None to send none."""
        if request.is_stream or not request.is_repeatable or sent_count > 1:
            return None
        if request.route.max_attempts - request.run_count < 2:
            return None
        p95_ms = self._first_byte_times.p95_ms(request.route.name)
        if p95_ms is None:
            return None
        return max(HEDGE_MIN_MS, HEDGE_P95_FACTOR * p95_ms)

    def record_first_byte(self, request, elapsed_ms):
        """Record the time to the first byte of one attempt."""
        self._first_byte_times.record(request.route.name, elapsed_ms)


def first_byte_deadline_ms(request, now_ms):
    """Return the time by which the first byte of an answer must arrive."""
    if not request.is_stream:
        return request.deadline_ms
    limit_ms = max(
        MIN_FIRST_BYTE_TIMEOUT_MS,
        FIRST_BYTE_TARGET_FACTOR * request.route.target_ms,
    )
    return now_ms + limit_ms
