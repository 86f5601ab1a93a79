"""Estimates how often the larger models of a cascade begin their answers late."""

# Time after which a recorded answer counts half.
LATENESS_HALF_LIFE_MS = 2_000.0
# Answers in time that are assumed before any is recorded.
PRIOR_ANSWER_COUNT = 2.0


class Lateness:
    """The share of late answers by service, with exponential decay."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service = {}

    def record_answer(self, service, is_late, now_ms):
        """Record an answer of a larger model."""
        late, answers = self._decayed(service, now_ms)
        self._by_service[service] = (late + is_late, answers + 1, now_ms)

    def late_share(self, service, now_ms):
        """Return the estimated probability that the next answer is late."""
        late, answers = self._decayed(service, now_ms)
        return late / (answers + PRIOR_ANSWER_COUNT)

    def _decayed(self, service, now_ms):
        entry = self._by_service.get(service)
        if entry is None:
            return 0.0, 0.0
        late, answers, recorded_ms = entry
        decay = 0.5 ** (max(0.0, now_ms - recorded_ms) / LATENESS_HALF_LIFE_MS)
        return decay * late, decay * answers
