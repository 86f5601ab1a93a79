"""Classifies the latency of answers against a baseline of recent answers.

The latency of a stream is its time per event, that of another answer its duration.
"""

from collections import deque
from statistics import median

# An answer is slow above this multiple of the baseline's median. In the canary phase
# the new release has less load than the old one, so 2 is enough; after the cutover its
# load differs from that of the baseline, hence the larger factor.
SLOW_FACTOR = 2.0
SLOW_FACTOR_AFTER_CUTOVER = 4.0
# Answers without events vary more with their content and the network.
BUFFERED_SLOW_FACTOR = 2.5
# Time between events up to which a stream is neither slow nor crowded, and time up to
# which another answer is not slow: timers and the network vary by this much.
MIN_SLOW_MS = 30.0
MIN_BUFFERED_SLOW_MS = 8.0
# A stream is crowded (slowed down by load on its backend server) if its latency is
# above this multiple of that on an idle one. The canary phase sends a new release so
# few requests that most of its streams run nearly alone.
CROWDED_FACTOR = 2.5
# It must also be above this multiple of the median: both releases may be loaded alike.
CROWDED_FACTOR_MEDIAN = 1.3
# This quantile of recent streams estimates the latency on an idle backend server.
IDLE_QUANTILE = 0.1
# A stream of fewer events has no latency.
MIN_EVENTS = 3
MIN_SAMPLES = 10
MAX_SAMPLES = 30

# Latency classes. An answer is unclassified if it can't be compared.
UNCLASSIFIED = "unpaced"
USUAL = "usual"
CROWDED = "crowded"
SLOW = "slow"


class LatencyClassifier:
    """Baselines of recent latencies: streams by service, other answers by route."""

    __slots__ = ("_recent_by_kind",)

    def __init__(self):
        self._recent_by_kind = {}

    def classify(self, service, result, updates_baseline, is_after_cutover=False):
        """Return the latency class of an answer.

        `result` is an `AttemptResult`. `updates_baseline` is false for answers of
        the new release of a roll-out; `is_after_cutover` says that all work may
        have moved to that release.
        """
        latency_ms = _latency_ms(result)
        if latency_ms is None or result.reason is not None:
            return UNCLASSIFIED
        kind = (service, None if result.events is not None else result.route)
        recent = self._recent_by_kind.get(kind)
        if recent is None:
            recent = self._recent_by_kind[kind] = deque(maxlen=MAX_SAMPLES)
        latency_class = UNCLASSIFIED
        if len(recent) >= MIN_SAMPLES:
            if result.events is None:
                latency_class = _classify_buffered(latency_ms, recent, is_after_cutover)
            else:
                latency_class = _classify_stream(latency_ms, recent, is_after_cutover)
        if updates_baseline:
            recent.append(latency_ms)
        return latency_class


def _classify_buffered(latency_ms, recent, is_after_cutover):
    """Return the class of the time that an answer without events took."""
    factor = SLOW_FACTOR_AFTER_CUTOVER if is_after_cutover else BUFFERED_SLOW_FACTOR
    is_slow = latency_ms > max(MIN_BUFFERED_SLOW_MS, factor * median(recent))
    return SLOW if is_slow else USUAL


def _classify_stream(latency_ms, recent, is_after_cutover):
    """Return the class of the time between the events of a stream."""
    factor = SLOW_FACTOR_AFTER_CUTOVER if is_after_cutover else SLOW_FACTOR
    median_ms = median(recent)
    if latency_ms > max(MIN_SLOW_MS, factor * median_ms):
        return SLOW
    idle_ms = sorted(recent)[int(IDLE_QUANTILE * len(recent))]
    crowded_ms = max(
        MIN_SLOW_MS, CROWDED_FACTOR * idle_ms, CROWDED_FACTOR_MEDIAN * median_ms
    )
    if not is_after_cutover and latency_ms > crowded_ms:
        return CROWDED
    return USUAL


def _latency_ms(result):
    """Return the time per event of a stream, or of a whole answer, or None."""
    if result.first_byte_ms is None:
        return None
    if result.events is None:
        return result.ended_ms - result.started_ms
    if result.events < MIN_EVENTS:
        return None
    return (result.ended_ms - result.first_byte_ms) / (result.events - 1)
