"""Decides whether a proxied request may start under the routes in force."""

from stoatpath.outcomes import STALE_CONFIGURATION, Failure

# The routes are stale after this share of the revocation bound; the rest of the bound
# covers the transfer to the backend server and late timers.
MAX_AGE_SHARE = 0.9
RETRY_AFTER_MS = 500.0  # delay before a retry, as suggested to the caller


class RouteGuard:
    """Refuses requests whose key may have been revoked without notice.

    `routes` holds the table in force and the clock reading of its last confirmation.
    The clock keeps running while the process is paused.
    """

    __slots__ = ("_routes", "_fails_closed", "_max_age_ms", "_has_keys", "_clock")

    def __init__(self, routes, fails_closed, revoke_ms, has_keys, clock):
        self._routes = routes
        self._clock = clock
        self.set_bounds(fails_closed, revoke_ms, has_keys)

    def set_bounds(self, fails_closed, revoke_ms, has_keys):
        """Set whether stale routes refuse keyed requests, and the revocation bound.

        `revoke_ms` is the time after which a revoked key must not be accepted.
        `has_keys` says that callers need keys whatever the configuration has.
        """
        self._fails_closed = fails_closed
        self._max_age_ms = MAX_AGE_SHARE * revoke_ms
        self._has_keys = has_keys

    def needs_key(self, route):
        """Return whether the callers of a route in force must send a key."""
        needs_keys = self._has_keys or self._routes.table.needs_keys
        return needs_keys and not route.is_public

    @property
    def is_fresh(self):
        """Return whether the routes were confirmed recently enough."""
        return self._routes.age_ms(self._clock.now_ms()) <= self._max_age_ms

    def check_work(self, request):
        """Return None if new work may start, or a failure. Call it before queueing."""
        if not request.key or not self._fails_closed or self.is_fresh:
            return None
        return self.stale_failure("its key may have been revoked unseen")

    def check_send(self, request, version):
        """Return None if a request may be sent, or a failure.

        Call it right before the first byte is sent, with no await in between.
        """
        problem = self.check_work(request)
        if problem is not None:
            return problem
        if not request.key:
            return None
        holder = self._routes.table.organisations_by_key.get(request.key)
        if holder is None or holder.name != request.organisation.name:
            return self.stale_failure("its key was revoked after it had arrived")
        return None

    def stale_failure(self, reason):
        """Return a `STALE_CONFIGURATION` failure that tells the age of the routes.

        It is used when the routes are stale or lack what the request needs.
        """
        now_ms = self._clock.now_ms()
        age_ms = self._routes.age_ms(now_ms)
        detail = f"{reason}; the routes were confirmed {age_ms:.0f} ms ago"
        return Failure(STALE_CONFIGURATION, detail, retry_at_ms=now_ms + RETRY_AFTER_MS)
