"""The usual pace of answers, and which answers are far from it."""

from collections import deque
from statistics import median

# Beside each other a new release, which has less to do, is slow from twice the usual
# pace. After the move its load is another one than that of what is usual.
SLOW_FACTOR = 2.0
SLOW_FACTOR_MOVED = 4.0
MIN_SLOW_MS = 30.0
# A stream is crowded from this many times the pace of an idle backend server. A trial
# gives a new release so little to do that most of its streams run nearly alone.
CROWDED_FACTOR = 2.5
# Under the same load as the old release a new one may be as slow as most of that.
CROWDED_FACTOR_MEDIAN = 1.3
# Recent streams that are at least as quick as an idle backend server's: one in ten.
IDLE_PART = 0.1
MIN_PACED_EVENTS = 3
MIN_SAMPLES = 10
KEPT_SAMPLES = 30

# How the pace of an answer compares with recent ones.
UNPACED = "unpaced"
USUAL = "usual"
CROWDED = "crowded"
SLOW = "slow"


class AnswerPaces:
    """Recent paces by service for streams, by route for whole answers."""

    __slots__ = ("_recent_by_kind",)

    def __init__(self):
        self._recent_by_kind = {}

    def judge(self, service, result, learns, is_moved=False):
        """Return how the pace of an answer compares; learn from it if wanted.

        `result` is an `AttemptResult`. The new release of a roll-out teaches nothing;
        `is_moved` says that all work has moved to it.
        """
        pace_ms = _pace_ms(result)
        if pace_ms is None or result.reason is not None:
            return UNPACED
        kind = (service, None if result.events is not None else result.route)
        recent = self._recent_by_kind.get(kind)
        if recent is None:
            recent = self._recent_by_kind[kind] = deque(maxlen=KEPT_SAMPLES)
        verdict = UNPACED
        if len(recent) >= MIN_SAMPLES:
            has_idle = result.events is not None and not is_moved
            verdict = _compare(pace_ms, recent, is_moved, has_idle)
        if learns:
            recent.append(pace_ms)
        return verdict


def _compare(pace_ms, recent, is_moved, has_idle):
    """Return what a pace is beside recent ones."""
    factor = SLOW_FACTOR_MOVED if is_moved else SLOW_FACTOR
    median_ms = median(recent)
    if pace_ms > max(MIN_SLOW_MS, factor * median_ms):
        return SLOW
    idle_ms = sorted(recent)[int(IDLE_PART * len(recent))]
    crowded_ms = max(
        MIN_SLOW_MS, CROWDED_FACTOR * idle_ms, CROWDED_FACTOR_MEDIAN * median_ms
    )
    if has_idle and pace_ms > crowded_ms:
        return CROWDED
    return USUAL


def _pace_ms(result):
    """Return the time per event of a stream, or of a whole answer, or None."""
    if result.first_byte_ms is None:
        return None
    if result.events is None:
        return result.ended_ms - result.started_ms
    if result.events < MIN_PACED_EVENTS:
        return None
    return (result.ended_ms - result.first_byte_ms) / (result.events - 1)
