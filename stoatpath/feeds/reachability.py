"""Whether the store answers, as far as this process has seen."""

import logging

from stoatpath.feeds.copies import NEVER_MS

logger = logging.getLogger(__name__)

# Clocks of machines drift by some 50 parts in a million: 3 ms in two periods.
RENEW_PERIOD_MS = 30_000.0


class Reachability:
    """Notes losses of the store and returns to it; all tables share one.

    `lost_ms` is the clock reading of the first failure, or None while the store
    answers; `returned_ms` when it answered again after its last absence, and
    `absent_ms` how long that absence was.
    """

    __slots__ = ("lost_ms", "returned_ms", "absent_ms", "_clock_bound")

    def __init__(self):
        self.lost_ms = None
        self.returned_ms = NEVER_MS
        self.absent_ms = 0.0
        self._clock_bound = ClockBound()

    def record_answer(self, sent_ms, now_ms, store_ms):
        """Take an answer; return a reading that its making surely came after.

        `store_ms` is the store's own clock as the answer was made, `sent_ms` when
        the call was sent.
        """
        self._clock_bound.learn(sent_ms, store_ms)
        self._note_return(now_ms)
        return min(now_ms, self._clock_bound.earliest_ms(store_ms))

    def _note_return(self, now_ms):
        if self.lost_ms is None:
            return
        self.absent_ms = now_ms - self.lost_ms
        self.returned_ms = now_ms
        self.lost_ms = None
        logger.info("store.regained", extra={"absent_ms": round(self.absent_ms)})

    def record_failure(self, failure, now_ms):
        """Take a call that failed."""
        if self.lost_ms is None:
            self.lost_ms = now_ms
            logger.warning("store.lost", extra={"why": failure.detail})

    def store_ms(self, now_ms):
        """Return the store's clock as estimated here, or None before an answer."""
        return self._clock_bound.store_ms(now_ms)


class ClockBound:
    """Bounds how far the store's steady clock is behind the one of this process.

    No answer is made before its call was sent, so each call bounds the difference
    from below, the quick ones most closely. Bounds are renewed, since two clocks
    drift apart.
    """

    __slots__ = ("_current_ms", "_earlier_ms", "_renewed_ms")

    def __init__(self):
        self._current_ms = NEVER_MS
        self._earlier_ms = NEVER_MS
        self._renewed_ms = None

    def learn(self, sent_ms, store_ms):
        """Take a call and the store's reading in its answer."""
        if self._renewed_ms is None:
            self._renewed_ms = sent_ms
        elif sent_ms - self._renewed_ms > RENEW_PERIOD_MS:
            self._earlier_ms = self._current_ms
            self._current_ms = NEVER_MS
            self._renewed_ms = sent_ms
        self._current_ms = max(self._current_ms, sent_ms - store_ms)

    def earliest_ms(self, store_ms):
        """Return the earliest reading here at which the store read `store_ms`."""
        return store_ms + self._bound_ms

    def store_ms(self, now_ms):
        """Return the latest reading of the store now, or None before any call."""
        return None if self._renewed_ms is None else now_ms - self._bound_ms

    @property
    def _bound_ms(self):
        return max(self._current_ms, self._earlier_ms)
