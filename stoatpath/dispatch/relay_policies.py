"""Attempt rules for backend servers whose bodies a gateway relays without parsing."""

from stoatpath.dispatch.event_relays import EventRelay
from stoatpath.dispatch.extra_work import (
    LIMIT_SPENT,
    NO_ROOM,
    NOT_ALLOWED,
    RETRY_BUDGET_SPENT,
)
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
# With a limit on extra work, a request is sent a second time when half of the time to
# its latency objective has passed: the second attempt can then still begin in time.
EXTRA_SEND_TARGET_SHARE = 0.5
# Extra sends go only to backend servers with at least a quarter of their slots free.
EXTRA_SEND_MAX_LOAD_SHARE = 0.75


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
        if stream is None:
            return None
        # A run at the forwarding instance was interrupted.
        return EventRelay(stream, request.is_forwarded and request.run_count > 0)

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
        problem = problem or self._router.quarantine.check(request)
        return problem or self._check_stop(request)

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
        return request.may_run_again and self._check_stop(request) is None

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

    def hedge_delay_ms(self, request, version, sent_count, min_confidence):
        """Return the delay before a hedged attempt, or None to send none.

        A later stage of the cascade may need one more run than the two attempts.
        """
        is_extra_allowed = self._router.extra_work.is_set
        if not request.is_repeatable or sent_count > 1:
            return None
        if request.is_stream and not is_extra_allowed:
            return None
        runs = 2 if min_confidence is None else 3
        if request.route.max_attempts - request.run_count < runs:
            return None
        p95_ms = self._first_byte_times.p95_ms((request.route.name, version.name))
        if p95_ms is None:
            return None
        if not is_extra_allowed:
            return max(HEDGE_MIN_MS, HEDGE_P95_FACTOR * p95_ms)
        due_ms = request.arrived_ms + EXTRA_SEND_TARGET_SHARE * request.route.target_ms
        return max(HEDGE_MIN_MS, p95_ms, due_ms - self._clock.now_ms())

    def try_spend_on_hedge(self, request, backend):
        """Spend parts of the budgets on a hedge; return whether it is allowed."""
        retry_budget = self._router.retry_budget
        extra_work = self._router.extra_work
        if not extra_work.is_set:
            return retry_budget.try_spend_on_hedge(request.service.name)
        refusal = self._check_extra_send(request, backend)
        if refusal is None and not extra_work.try_spend(request):
            refusal = LIMIT_SPENT
        if refusal is None and not retry_budget.try_spend_on_hedge(
            request.service.name
        ):
            refusal = RETRY_BUDGET_SPENT
        if refusal is not None:
            extra_work.refuse(refusal)
        return refusal is None

    def record_abandoned(self, request):
        """Count an attempt whose answer nobody awaits: it may have run."""
        request.run_count += 1

    def record_hedge_win(self, request):
        """Count a hedge that answered first."""
        self._router.extra_work.record_win()

    def _check_extra_send(self, request, backend):
        """Return why a backend server gets no extra send, or None."""
        chooser = self._router.chooser
        if request.lost_runs or request.crashes:
            return NOT_ALLOWED
        is_limited = self._router.send_gate.limit_per_s(backend.name) is not None
        if is_limited or chooser.breakers.is_open(backend.name, self._clock.now_ms()):
            return NOT_ALLOWED
        in_flight = backend.in_flight
        if chooser.fleet_loads is not None:
            in_flight, _ = chooser.fleet_loads.load(backend)
        if in_flight > EXTRA_SEND_MAX_LOAD_SHARE * backend.slots:
            return NO_ROOM
        return None

    def _check_stop(self, request):
        return self._router.stop_times.check_send(self._clock.now_ms(), request)

    def record_first_byte(self, request, version, elapsed_ms):
        """Record the time to the first byte of one attempt."""
        self._first_byte_times.record((request.route.name, version.name), elapsed_ms)


def first_byte_deadline_ms(request, now_ms):
    """Return the time by which the first byte of an answer must arrive."""
    if not request.is_stream:
        return request.deadline_ms
    limit_ms = max(
        MIN_FIRST_BYTE_TIMEOUT_MS,
        FIRST_BYTE_TARGET_FACTOR * request.route.target_ms,
    )
    return now_ms + limit_ms
