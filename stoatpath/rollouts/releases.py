"""Selects the release of a service for new work during a roll-out.

Most of a roll-out's duration is a canary phase with a small fixed share of new
sessions. The cutover, at which all work moves, is so late that even a bad release that
is never detected serves no more than the allowed share of requests over the whole
duration. Unless a release is rolled back or has no backend server left, a session
changes its release at most once, at the cutover.
"""

from xxhash import xxh3_64_intdigest

from stoatpath.rollouts.messages import COMPLETED, ROLLED_BACK, RUNNING

HASH_RANGE = 2**64
# Share of the canary phase as a fraction of the allowed exposure. A smaller one allows
# an earlier cutover, which leaves requests on the old release more time to end; a
# larger one yields more answers to detect a slow release by.
CANARY_EXPOSURE_FRACTION = 0.45
# Fraction of the allowed exposure that is planned for the whole roll-out.
TOTAL_EXPOSURE_FRACTION = 0.97
# Fraction of the number of requests that a bad release may serve besides that share.
# It is spent on requests without a session, of which a small service has few; chance
# makes the number vary.
SLACK_FRACTION = 0.25
MAX_CANARY_SHARE = 0.35
# New sessions stay on the old release for this time after a roll-out has started, until
# all instances know which sessions are older.
SESSIONS_KNOWN_AFTER_MS = 1_500.0
# Fraction of a roll-out's duration after which it is completed, so as to end in time.
COMPLETION_FRACTION = 0.95


class ReleaseChoice:
    """The releases that one request may run on.

    `release` is the new release of a roll-out, or None if any release will do.
    `prefers_new` prefers it, otherwise any other release is preferred;
    `excludes_new` rules it out. `new_share` is the chance that such a request prefers
    the new release.
    """

    __slots__ = ("release", "prefers_new", "excludes_new", "new_share")

    def __init__(self, release, prefers_new=False, excludes_new=False, new_share=None):
        self.release = release
        self.new_share = float(prefers_new) if new_share is None else new_share
        self.prefers_new = prefers_new
        self.excludes_new = excludes_new

    def select(self, backends):
        """Return the eligible backend servers, of the preferred release if any."""
        if self.release is None:
            return backends
        new = [each for each in backends if each.release == self.release]
        old = [each for each in backends if each.release != self.release]
        if self.excludes_new:
            return old
        first, second = (new, old) if self.prefers_new else (old, new)
        return first or second


ANY_RELEASE = ReleaseChoice(None)


class ReleaseRegistry:
    """Release orders, their statuses and suspicions, as known to this instance."""

    __slots__ = (
        "orders_by_service",
        "statuses_by_service",
        "suspicions_by_service",
        "cutover_fraction",
        "_canary_share",
        "_extra_shares_by_service",
    )

    def __init__(self, exposure_share):
        self.orders_by_service = {}
        self.statuses_by_service = {}
        self.suspicions_by_service = {}
        self._extra_shares_by_service = {}
        self.set_exposure(exposure_share)

    def set_exposure(self, exposure_share):
        """Set the share of requests that a bad release may serve.

        `cutover_fraction` is the fraction of a roll-out's duration after which all
        work moves.
        """
        self._canary_share = CANARY_EXPOSURE_FRACTION * exposure_share
        allowed = TOTAL_EXPOSURE_FRACTION * exposure_share
        self.cutover_fraction = min(
            COMPLETION_FRACTION, (1.0 - allowed) / (1.0 - self._canary_share)
        )

    def apply_order(self, order):
        """Apply an order; return whether it is new. It clears an earlier suspicion."""
        known = self.orders_by_service.get(order.service)
        if known is not None and not self._is_new_order(known, order):
            return False
        self.orders_by_service[order.service] = order
        self.suspicions_by_service.pop(order.service, None)
        self._extra_shares_by_service.pop(order.service, None)
        return True

    def _is_new_order(self, known, order):
        """Return whether an order replaces a known one of the same service.

        In a later era of the store, an order that asks for the same is the known one:
        the operator has written it again, or its row has kept its number.
        """
        if order.era == known.era:
            return order.version > known.version
        if order.era < known.era:
            return False
        if not order.has_same_content(known):
            return True
        status = self.statuses_by_service.get(order.service)
        if status is not None and status.order_version == known.version:
            status.order_version = order.version
        known.version, known.era = order.version, order.era
        return False

    def set_extra_requests(self, service, extra_requests, expected_requests):
        """Set how many more requests this instance may send to the new release.

        `expected_requests` is the number that it will send to the service while the
        roll-out lasts.
        """
        extra_share = SLACK_FRACTION * extra_requests / max(1.0, expected_requests)
        self._extra_shares_by_service[service] = extra_share

    def apply_status(self, status):
        """Apply a status; return whether it is newer than the known one.

        An order that has ended stays so, whatever an older copy of the store says.
        """
        known = self.statuses_by_service.get(status.service)
        if known is not None and known.version >= status.version:
            return False
        if known is not None and self._has_ended_otherwise(known, status):
            return False
        self.statuses_by_service[status.service] = status
        return True

    def _has_ended_otherwise(self, known, status):
        order = self.orders_by_service.get(status.service)
        is_known = order is not None and known.order_version == order.version
        has_ended = is_known and known.state in (COMPLETED, ROLLED_BACK)
        is_older = status.order_version <= known.order_version
        return has_ended and is_older and status.state is not known.state

    def suspect(self, service, reason):
        """Stop this instance from sending work to the new release of a service."""
        self.suspicions_by_service.setdefault(service, reason)

    def open_orders(self):
        """Return the orders that are neither completed nor rolled back."""
        return [
            order
            for order in self.orders_by_service.values()
            if self.state(order) in (None, RUNNING)
        ]

    def state(self, order):
        """Return the state that the store holds for an order, or None."""
        status = self.statuses_by_service.get(order.service)
        if status is None or status.order_version != order.version:
            return None
        return status.state

    def progress(self, order, store_ms):
        """Return the elapsed fraction of a running roll-out's duration."""
        status = self.statuses_by_service[order.service]
        return (store_ms - status.started_ms) / max(1.0, order.duration_ms)

    def choose(self, service, key, earlier_release, store_ms, is_session=False):
        """Return the `ReleaseChoice` of a request.

        `key` identifies its session if `is_session`, else the request itself;
        `earlier_release` is the release that the session ran on before, or None.
        """
        order = self.orders_by_service.get(service)
        if order is None:
            return ANY_RELEASE
        state = self.state(order)
        if state is ROLLED_BACK or service in self.suspicions_by_service:
            return ReleaseChoice(order.release, excludes_new=True)
        if state is COMPLETED:
            return ReleaseChoice(order.release, prefers_new=True)
        if state is None:
            return ReleaseChoice(order.release)
        if self.progress(order, store_ms) >= self.cutover_fraction:
            return ReleaseChoice(order.release, prefers_new=True)
        if earlier_release is not None:
            return ReleaseChoice(order.release, earlier_release == order.release)
        elapsed_ms = self.progress(order, store_ms) * order.duration_ms
        is_early = is_session and elapsed_ms < SESSIONS_KNOWN_AFTER_MS
        if is_early:
            return ReleaseChoice(order.release)
        return ReleaseChoice(
            order.release,
            prefers_new=self.is_canary(order, key, is_session),
            new_share=self.canary_share(service, is_session),
        )

    def is_canary(self, order, key, is_session=True):
        """Return whether a new session or request is in the canary share."""
        return key_fraction(order, key) < self.canary_share(order.service, is_session)

    def canary_share(self, service, is_session):
        """Return the share of new sessions, or of requests without one.

        It is the same at all instances for sessions, which may move between them.
        """
        if is_session:
            return self._canary_share
        extra_share = self._extra_shares_by_service.get(service, 0.0)
        return max(
            self._canary_share, min(MAX_CANARY_SHARE, self._canary_share + extra_share)
        )


def key_fraction(order, key):
    """Return the hash of a key for one roll-out, scaled to 0..1."""
    text = f"{order.service}\0{order.version}\0{key}"
    return xxh3_64_intdigest(text.encode()) / HASH_RANGE
