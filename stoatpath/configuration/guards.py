"""Decides whether new work may start under the configuration in force."""

from stoatpath.outcomes import (
    NO_BACKEND,
    STALE_CONFIGURATION,
    Failure,
)

FRESH = "the configuration was confirmed in time"
STORE_OUTAGE = "the store is down for every member that could accept a change"
SERVING_STALE = "cut off, and set to serve on"


class FreshnessGuard:
    """Refuses work if its version may have been withdrawn without notice.

    `contacts` tells whether all members that can accept a configuration are
    reachable; see `membership.contacts`. The clock keeps running while the process
    is paused, so its configuration is stale when it resumes.
    """

    __slots__ = ("_follower", "_assigner", "_contacts", "_settings", "_clock")

    def __init__(self, follower, assigner, contacts, settings, clock):
        self._follower = follower
        self._assigner = assigner
        self._contacts = contacts
        self._settings = settings
        self._clock = clock

    def explain(self):
        """Return the reason why new work may start, or a failure with `not-run`."""
        now_ms = self._clock.now_ms()
        age_ms = now_ms - self._follower.fresh_as_of_ms
        if age_ms <= self._settings.staleness_limit_ms:
            return FRESH
        if self._settings.serve_when_cut_off:
            return SERVING_STALE
        problem = self._contacts.find_problem(now_ms)
        if self._follower.snapshot.revision > 0 and problem is None:
            return STORE_OUTAGE
        detail = "the configuration may have changed unseen: "
        return Failure(STALE_CONFIGURATION, detail + (problem or "none is known"))

    def check_work(self, request=None):
        """Return None if new work may start, or a failure. Call it before queueing."""
        result = self.explain()
        return result if isinstance(result, Failure) else None

    def check_send(self, request, version):
        """Return None if a request may be sent to a version, or a failure.

        Call it right before the first byte is sent, with no await in between.
        """
        problem = self.check_work()
        if problem is not None:
            return problem
        snapshot = self._follower.snapshot
        organisation = snapshot.organisations_by_name.get(request.organisation.name)
        if organisation is None:
            return Failure(NO_BACKEND, "the organisation was removed")
        service = request.service.name
        # A plain service has no versions; its own name stands for the version.
        if version.name == service:
            allowed = organisation.allowed_by_service
            return (
                None
                if service in allowed
                else _unavailable(version, "no longer allowed")
            )
        current = snapshot.versions_by_name.get(version.name)
        if current is None:
            return _unavailable(version, "removed")
        if not self._assigner.is_open(current):
            return _unavailable(version, "withdrawn or suspended")
        if not organisation.allows(service, current):
            return _unavailable(version, "no longer allowed")
        return None


def _unavailable(version, reason):
    return Failure(NO_BACKEND, f"{version.name} was {reason} after it was chosen")
