"""Decides whether a backend server may get a request, by what its answers asked for."""

import logging

from stoatpath.backpressure.cold_starts import ColdStartTable
from stoatpath.backpressure.messages import MAX_HOLD_OFF_MS
from stoatpath.membership.directories import RESTARTED
from stoatpath.outcomes import CONNECT_FAILED, CONNECTION_REFUSED

logger = logging.getLogger(__name__)

LIMIT_REACHED = "limit reached"
SLOTS_TAKEN = "slots taken"
HELD_OFF = "held off"
# As long as the longest hold-off.
REMEMBERED_MS = MAX_HOLD_OFF_MS
# Beyond this time between two calls of `retain_backends`, which are frequent, the
# process stood still, and its rows may be out of date.
PAUSE_MS = 1_500.0


class SendGate:
    """What backend servers ask of this instance: limits, hold-offs, leaving, shares.

    `withheld_by_reason` counts the selections of a backend server that left one out.
    `on_leaving` is called with the name of a backend server that leaves,
    `on_hold_off` with the name of one that is held off, and until when. `cold` is the
    `ColdStartTable`. `on_restart` is called with the name of one whose process is new,
    and when that was known.
    """

    __slots__ = (
        "limits",
        "permits",
        "hold_offs",
        "shares",
        "withheld_by_reason",
        "on_leaving",
        "on_hold_off",
        "on_restart",
        "cold",
        "_unlisted_since_ms_by_name",
        "_retained_ms",
        "_clock",
    )

    def __init__(self, limits, permits, hold_offs, shares, clock, cold=None):
        self.limits = limits
        self.permits = permits
        self.hold_offs = hold_offs
        self.shares = shares
        self.withheld_by_reason = {LIMIT_REACHED: 0, HELD_OFF: 0, SLOTS_TAKEN: 0}
        self.on_leaving = lambda name: None
        self.on_hold_off = lambda name, until_ms: None
        self.on_restart = lambda name, now_ms: None
        self.cold = cold or ColdStartTable()
        self._unlisted_since_ms_by_name = {}
        self._retained_ms = None
        self._clock = clock

    def observe(self, name, signals, sent_ms):
        """Record the signals of an answer to a request sent at `sent_ms`."""
        now_ms = self._clock.now_ms()
        self.limits.observe(name, signals, sent_ms, now_ms)
        if self.hold_offs.observe(name, signals, now_ms, sent_ms):
            self.on_hold_off(name, self.hold_offs.until_ms(name))
        if signals.is_leaving:
            self.on_leaving(name)

    def observe_entry(self, entry, change, now_ms):
        """Record the entry of a backend server, and what it changed in the directory.

        Nothing that an earlier process of the name asked for holds for a new one.
        """
        if change is RESTARTED:
            self.limits.forget(entry.name, now_ms)
            self.hold_offs.forget(entry.name, now_ms)
            self.permits.forget(entry.name)
            self.on_restart(entry.name, now_ms)
        self.cold.observe_entry(entry, change, now_ms)

    def observe_result(self, result):
        """Record with an `AttemptResult` whether a backend server was reached."""
        if result.reason in (CONNECT_FAILED, CONNECTION_REFUSED):
            self.cold.observe_failure(result.backend, result.ended_ms)
        elif result.reason is None or result.first_byte_ms is not None:
            self.cold.observe_answer(result.backend, result.started_ms, result.ended_ms)

    def observe_service(self, service, signals, sent_ms):
        """Record what an answer tells about all backend servers of its service."""
        self.shares.observe(service, signals, sent_ms, self._clock.now_ms())

    def record_rejection(self, backend):
        """Record that a backend server turned a request away for want of room."""
        if not self.shares.limits_rejections(backend.service):
            return
        until_ms = self.hold_offs.extend(
            backend.name, self._clock.now_ms() + self.shares.pause_ms()
        )
        self.on_hold_off(backend.name, until_ms)

    def split_withheld(self, backends, only_permitted):
        """Return the backend servers that may get a request now, and the others.

        The latter are pairs of a backend server and the reason. With `only_permitted`,
        one with a limit needs a permit at hand.
        """
        self._check_pause()
        has_limits = (
            self.limits.by_name or self.hold_offs.has_any() or self.cold.has_any()
        )
        if not has_limits and not self.shares.has_any():
            return backends, []
        open_backends, withheld = [], []
        allowed = self.allowed_in_flight(backends)
        for backend in backends:
            reason = self._check(backend.name, only_permitted)
            if reason is None and backend.in_flight >= allowed[backend.name]:
                reason = SLOTS_TAKEN
            if reason is None:
                open_backends.append(backend)
            else:
                withheld.append((backend, reason))
                self.withheld_by_reason[reason] += 1
        return open_backends, withheld

    def allowed_in_flight(self, backends):
        """Return how many requests may be in flight from here, by backend server."""
        allowed = {backend.name: float("inf") for backend in backends}
        for service in {backend.service for backend in backends}:
            if self.shares.limits_rejections(service):
                of_service = [each for each in backends if each.service == service]
                allowed |= self.shares.allowed(of_service)
        return allowed

    def retry_at_ms(self, name):
        """Return when a backend server may take a request again."""
        return max(
            self._clock.now_ms(),
            self.hold_offs.until_ms(name),
            self.permits.retry_at_ms(name),
        )

    async def acquire(self, name):
        """Return whether a request may be sent now; ask for a permit if necessary."""
        is_granted = await self.permits.acquire(name)
        return is_granted and not self._is_held_off(name)

    def try_acquire(self, name):
        """Take a permit that is at hand; return whether a request may be sent now."""
        return not self._is_held_off(name) and self.permits.try_acquire(name)

    def record_send(self, name):
        """Count a request to a backend server."""
        self.limits.record_send(name)

    def limit_per_s(self, name):
        """Return the lowest limit of a backend server in force, or None."""
        limits = (
            self.limits.limit_per_s(name),
            self.cold.limit_per_s(name, self._clock.now_ms()),
        )
        return min((each for each in limits if each is not None), default=None)

    def is_cold(self, name):
        """Return whether a backend server has a bound because it is or was cold."""
        return self.cold.limit_per_s(name, self._clock.now_ms()) is not None

    def send_by_ms(self, name):
        """Return until when a request must be on its way, for which there is leave."""
        return self.permits.send_by_ms(name)

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones.

        An entry may lapse and return while its process runs, so what the process said
        is kept for `REMEMBERED_MS` without an entry.
        """
        self._check_pause()
        now_ms = self._retained_ms = self._clock.now_ms()
        self.cold.expire(now_ms)
        unlisted = {
            *self.limits.by_name,
            *self.hold_offs.names(),
            *self.cold.watched_names(),
        }.difference(names)
        self._unlisted_since_ms_by_name = {
            name: self._unlisted_since_ms_by_name.get(name, now_ms) for name in unlisted
        }
        remembered = {
            name
            for name, since_ms in self._unlisted_since_ms_by_name.items()
            if now_ms - since_ms < REMEMBERED_MS
        }
        kept = remembered.union(names) if remembered else names
        self.limits.retain_backends(kept)
        self.permits.retain_backends(kept)
        self.hold_offs.retain_backends(kept)
        self.cold.retain_backends(kept)

    async def close(self):
        """Cancel all tasks."""
        await self.permits.close()

    def _check_pause(self):
        """Notice that this process stood still, before the next request is sent."""
        now_ms = self._clock.now_ms()
        if self._retained_ms is None or now_ms < self._retained_ms + PAUSE_MS:
            return
        paused_ms = now_ms - self._retained_ms
        self._retained_ms = now_ms
        self.cold.observe_pause(now_ms)
        if self.cold.has_any():
            extra = {"for_ms": round(paused_ms)}
            logger.warning("backends.cold-after-pause", extra=extra)

    def _check(self, name, only_permitted):
        """Return why a backend server gets no request now, or None."""
        if self._is_held_off(name):
            return HELD_OFF
        if only_permitted:
            is_open = self.permits.has_permit(name)
        else:
            is_open = self.permits.retry_at_ms(name) <= self._clock.now_ms()
        return None if is_open else LIMIT_REACHED

    def _is_held_off(self, name):
        return self.hold_offs.until_ms(name) > self._clock.now_ms()
