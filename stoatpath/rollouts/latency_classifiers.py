"""Classifies the pace of answers against a baseline of recent answers."""

from collections import deque
from statistics import median

# An answer is slow from this many times the median time of the baseline. During a
# trial the new release has less load than the old one, so 2 is enough; after the
# cutover its load differs from that of the baseline, hence the larger factor.
SLOW_FACTOR = 2.0
SLOW_FACTOR_AFTER_CUTOVER = 4.0
MIN_SLOW_MS = 30.0
# A stream is crowded from this many times the pace of an idle backend server. A trial
# sends a new release so few requests that most of its streams run nearly alone.
CROWDED_FACTOR = 2.5
# ... and from this many times the median, as both releases may be under equal load.
CROWDED_FACTOR_MEDIAN = 1.3
# This quantile of recent streams estimates the pace on an idle backend server.
IDLE_QUANTILE = 0.1
MIN_PACED_EVENTS = 3
MIN_SAMPLES = 10
MAX_SAMPLES = 30

# Classes of paces. An answer is unpaced if it can't be compared.
UNPACED = "unpaced"
USUAL = "usual"
CROWDED = "crowded"
SLOW = "slow"


class AnswerPaces:
    """Baselines of recent paces: of streams by service, of whole answers by route."""

    __slots__ = ("_recent_by_kind",)

    def __init__(self):
        self._recent_by_kind = {}

    def classify(self, service, result, updates_baseline, is_after_cutover=False):
        """Return the class of an answer's pace.

        `result` is an `AttemptResult`. `updates_baseline` is false for answers of
        the new release of a roll-out; `is_after_cutover` says that all work may
        have moved to that release.
        """
        pace_ms = _pace_ms(result)
        if pace_ms is None or result.reason is not None:
            return UNPACED
        kind = (service, None if result.events is not None else result.route)
        recent = self._recent_by_kind.get(kind)
        if recent is None:
            recent = self._recent_by_kind[kind] = deque(maxlen=MAX_SAMPLES)
        pace = UNPACED
        if len(recent) >= MIN_SAMPLES:
            detects_crowding = result.events is not None and not is_after_cutover
            pace = _classify_pace(pace_ms, recent, is_after_cutover, detects_crowding)
        if updates_baseline:
            recent.append(pace_ms)
        return pace


def _classify_pace(pace_ms, recent, is_after_cutover, detects_crowding):
    """Return the class of a pace; `detects_crowding` allows the class `CROWDED`."""
    factor = SLOW_FACTOR_AFTER_CUTOVER if is_after_cutover else SLOW_FACTOR
    median_ms = median(recent)
    if pace_ms > max(MIN_SLOW_MS, factor * median_ms):
        return SLOW
    idle_ms = sorted(recent)[int(IDLE_QUANTILE * len(recent))]
    crowded_ms = max(
        MIN_SLOW_MS, CROWDED_FACTOR * idle_ms, CROWDED_FACTOR_MEDIAN * median_ms
    )
    if detects_crowding and pace_ms > crowded_ms:
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
