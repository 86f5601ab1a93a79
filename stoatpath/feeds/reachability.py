"""Tracks whether the store answers the calls of this process."""

import logging

from stoatpath.feeds.copies import NEVER_MS

logger = logging.getLogger(__name__)

# A bound is used for up to two periods, in which a clock drift of some 50 ppm adds an
# error of 3 ms.
BOUND_PERIOD_MS = 30_000.0
# Entries expire in a store outage that outlasts the heartbeats of backend servers.
MIN_LAPSE_OUTAGE_MS = 500.0
# What was lost by an era change counts like entries that expired in such an outage.
ERA_CHANGE_OUTAGE_MS = 1_000.0


class Reachability:
    """Records outages of the store; shared by the followers of all tables.

    `outage_start_ms` is the clock reading of the first failure, or None while the
    store answers. `outage_end_ms` is the reading of the first answer after the last
    outage in which entries may have expired, `outage_duration_ms` the duration of that
    outage.
    """

    __slots__ = (
        "outage_start_ms",
        "outage_end_ms",
        "outage_duration_ms",
        "_clock_bound",
    )

    def __init__(self):
        self.outage_start_ms = None
        self.outage_end_ms = NEVER_MS
        self.outage_duration_ms = 0.0
        self._clock_bound = ClockBound()

    def record_answer(self, sent_ms, now_ms, store_ms):
        """Record an answer; return a clock reading no later than its production.

        `store_ms` is the store's clock when it produced the answer, `sent_ms` the
        reading when the call was sent.
        """
        self._clock_bound.update_bound(sent_ms, store_ms)
        self._record_return(now_ms)
        return self.local_ms(store_ms, now_ms)

    def _record_return(self, now_ms):
        if self.outage_start_ms is None:
            return
        duration_ms = now_ms - self.outage_start_ms
        self.outage_start_ms = None
        self._record_outage(now_ms, duration_ms)
        logger.info("store.regained", extra={"absent_ms": round(duration_ms)})

    def _record_outage(self, end_ms, duration_ms):
        """Record an outage that has ended, unless it was too short to lapse an entry.

        A short one doesn't bring back what expired in a longer one before it.
        """
        if duration_ms >= MIN_LAPSE_OUTAGE_MS and end_ms > self.outage_end_ms:
            self.outage_end_ms = end_ms
            self.outage_duration_ms = duration_ms

    def record_era_change(self, now_ms):
        """Record that the store came back from an older copy, as after an outage.

        Its clock may have started anew, and entries that it lost are written again.
        """
        self._clock_bound = ClockBound()
        self.outage_end_ms = now_ms
        self.outage_duration_ms = max(self.outage_duration_ms, ERA_CHANGE_OUTAGE_MS)

    def record_failure(self, failure, now_ms):
        """Record a failed call."""
        if self.outage_start_ms is None:
            self.outage_start_ms = now_ms
            logger.warning("store.lost", extra={"why": failure.detail})

    def record_relayed_answer(self, sent_ms, answer):
        """Record what the `TablesAnswer` of another instance tells of the store."""
        if answer.store_ms is None:
            return
        self._clock_bound.update_bound(sent_ms, answer.store_ms)
        if answer.outage_end_store_ms is None:
            return
        end_ms = self._clock_bound.earliest_ms(answer.outage_end_store_ms)
        self._record_outage(end_ms, answer.outage_duration_ms or 0.0)

    def local_ms(self, store_ms, now_ms):
        """Return a clock reading no later than a reading of the store's clock."""
        return min(now_ms, self._clock_bound.earliest_ms(store_ms))

    def store_ms(self, now_ms):
        """Return the latest possible reading of the store's clock, or None."""
        return self._clock_bound.store_ms(now_ms)


class ClockBound:
    """A lower bound of the offset from the store's monotonic clock to the local one.

    An answer is produced after its call was sent, so each call gives a lower bound,
    and the fastest calls give the tightest. Bounds expire, since the clocks drift.
    """

    __slots__ = ("_current_bound_ms", "_previous_bound_ms", "_renewed_ms")

    def __init__(self):
        self._current_bound_ms = NEVER_MS
        self._previous_bound_ms = NEVER_MS
        self._renewed_ms = None

    def update_bound(self, sent_ms, store_ms):
        """Tighten the bound by a call and the store's reading in its answer."""
        if self._renewed_ms is None:
            self._renewed_ms = sent_ms
        elif sent_ms - self._renewed_ms > BOUND_PERIOD_MS:
            self._previous_bound_ms = self._current_bound_ms
            self._current_bound_ms = NEVER_MS
            self._renewed_ms = sent_ms
        self._current_bound_ms = max(self._current_bound_ms, sent_ms - store_ms)

    def earliest_ms(self, store_ms):
        """Return the earliest local reading at which the store read `store_ms`."""
        return store_ms + self._offset_bound_ms

    def store_ms(self, now_ms):
        """Return the latest possible reading of the store's clock, or None."""
        return None if self._renewed_ms is None else now_ms - self._offset_bound_ms

    @property
    def _offset_bound_ms(self):
        return max(self._current_bound_ms, self._previous_bound_ms)
