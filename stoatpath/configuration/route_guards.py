"""Decides whether a relayed request may start under the routes in force."""

from stoatpath.outcomes import STALE_CONFIGURATION, Failure

# Share of the revocation bound after which a belief is too old: what is left covers
# the way to the backend server and timers that fire late.
FRESH_PART = 0.9
RETRY_AFTER_MS = 500.0


class RouteGuard:
    """Says no to requests whose key may have been revoked unseen.

    `routes` holds the table in force and when it was last confirmed, a clock
    reading that also counts suspension of the process.
    """

    __slots__ = ("_routes", "_fails_closed", "_limit_ms", "_clock")

    def __init__(self, routes, fails_closed, revoke_ms, clock):
        self._routes = routes
        self._clock = clock
        self.set_bounds(fails_closed, revoke_ms)

    def set_bounds(self, fails_closed, revoke_ms):
        """Take whether and how long after its revocation no key may run."""
        self._fails_closed = fails_closed
        self._limit_ms = FRESH_PART * revoke_ms

    @property
    def is_fresh(self):
        """Return whether the routes were confirmed in time."""
        return self._routes.age_ms(self._clock.now_ms()) <= self._limit_ms

    def check_work(self, request):
        """Return None if new work may start, or a failure. Call before queueing."""
        if not request.key or not self._fails_closed or self.is_fresh:
            return None
        return self.stale_failure("its key may have been revoked unseen")

    def check_send(self, request, version):
        """Return None if a request may be sent, or a failure.

        Call it in the step before the first byte leaves, with no wait between.
        """
        problem = self.check_work(request)
        if problem is not None:
            return problem
        table = self._routes.table
        if request.key and request.key not in table.organisations_by_key:
            return self.stale_failure("its key was revoked after it had arrived")
        return None

    def stale_failure(self, why):
        """Return the failure of a request that can't be judged by these routes."""
        now_ms = self._clock.now_ms()
        age_ms = self._routes.age_ms(now_ms)
        detail = f"{why}; the routes were confirmed {age_ms:.0f} ms ago"
        return Failure(STALE_CONFIGURATION, detail, retry_at_ms=now_ms + RETRY_AFTER_MS)
