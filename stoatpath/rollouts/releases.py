"""Which release of a service new work may go to, by the stage of a roll-out.

Most of a roll-out's time is a trial with a fixed small share. All work moves so late
that even a release whose fault never shows gets no more than the allowed exposure by
the end of that time; a session changes its release once at the most.
"""

from xxhash import xxh3_64_intdigest

from stoatpath.rollouts.messages import COMPLETED, ROLLED_BACK, RUNNING

HASH_RANGE = 2**64
# Part of the exposure that a deployment allows which the share of a trial uses. The
# less it uses, the sooner work may move and what the old release runs may end; the
# more it uses, the more answers there are to judge a slow release by.
TRIAL_PART = 0.45
# Part of the allowed exposure that trial and move use together by the end.
EXPOSURE_PART = 0.97
# Part of a roll-out's time after which it is completed, in time for its end.
COMPLETE_AT = 0.95


class ReleaseChoice:
    """Which releases one request may run on.

    `release` is the new release of a roll-out or None for any. `prefers_new`
    says which side goes first; `is_strict` forbids the new release.
    """

    __slots__ = ("release", "prefers_new", "is_strict")

    def __init__(self, release, prefers_new=False, is_strict=False):
        self.release = release
        self.prefers_new = prefers_new
        self.is_strict = is_strict

    def select(self, backends):
        """Return the backend servers to choose from, the preferred side if any."""
        if self.release is None:
            return backends
        new = [each for each in backends if each.release == self.release]
        old = [each for each in backends if each.release != self.release]
        if self.is_strict:
            return old
        first, second = (new, old) if self.prefers_new else (old, new)
        return first or second


ANY_RELEASE = ReleaseChoice(None)


class ReleaseBook:
    """Orders, statuses and suspicions of all roll-outs, as known here."""

    __slots__ = (
        "orders_by_service",
        "statuses_by_service",
        "suspicions_by_service",
        "move_at",
        "_trial_share",
    )

    def __init__(self, exposure_share):
        self.orders_by_service = {}
        self.statuses_by_service = {}
        self.suspicions_by_service = {}
        self.set_exposure(exposure_share)

    def set_exposure(self, exposure_share):
        """Take the share of requests that a bad release may get.

        `move_at` is the part of a roll-out's time after which all work moves.
        """
        self._trial_share = TRIAL_PART * exposure_share
        allowed = EXPOSURE_PART * exposure_share
        self.move_at = min(COMPLETE_AT, (1.0 - allowed) / (1.0 - self._trial_share))

    def apply_order(self, order):
        """Take an order of the operator; a new one ends what an older one left."""
        known = self.orders_by_service.get(order.service)
        if known is not None and known.version >= order.version:
            return False
        self.orders_by_service[order.service] = order
        self.suspicions_by_service.pop(order.service, None)
        return True

    def apply_status(self, status):
        """Take a status row; return whether it is news."""
        known = self.statuses_by_service.get(status.service)
        if known is not None and known.version >= status.version:
            return False
        self.statuses_by_service[status.service] = status
        return True

    def suspect(self, service, reason):
        """Send the new release of a service no more work from here."""
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
        """Return the part of a running roll-out's time that has passed."""
        status = self.statuses_by_service[order.service]
        return (store_ms - status.started_ms) / max(1.0, order.duration_ms)

    def choose(self, service, key, earlier_release, store_ms):
        """Return the `ReleaseChoice` of a request.

        `key` names its session, or itself; `earlier_release` is the release that
        the session ran on before, or None.
        """
        order = self.orders_by_service.get(service)
        if order is None:
            return ANY_RELEASE
        state = self.state(order)
        if state is ROLLED_BACK or service in self.suspicions_by_service:
            return ReleaseChoice(order.release, is_strict=True)
        if state is COMPLETED:
            return ReleaseChoice(order.release, prefers_new=True)
        if state is None:
            return ReleaseChoice(order.release)
        if self.progress(order, store_ms) >= self.move_at:
            return ReleaseChoice(order.release, prefers_new=True)
        if earlier_release is not None:
            return ReleaseChoice(order.release, earlier_release == order.release)
        in_trial = key_fraction(order, key) < self._trial_share
        return ReleaseChoice(order.release, prefers_new=in_trial)


def key_fraction(order, key):
    """Return where a key stands between 0 and 1 for one roll-out."""
    text = f"{order.service}\0{order.version}\0{key}"
    return xxh3_64_intdigest(text.encode()) / HASH_RANGE
