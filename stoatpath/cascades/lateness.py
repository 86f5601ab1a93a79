"""How often the larger models of a cascade begin their answers late."""

HALF_LIFE_MS = 2_000.0
# Answers that a time without any stands for.
PRIOR_ANSWERS = 2.0


class Lateness:
    """The share of late answers by service, older ones counting less."""

    __slots__ = ("_by_service",)

    def __init__(self):
        self._by_service = {}

    def record_answer(self, service, is_late, now_ms):
        """Take an answer of a larger model, late or in time."""
        late, answers = self._decayed(service, now_ms)
        self._by_service[service] = (late + is_late, answers + 1, now_ms)

    def late_share(self, service, now_ms):
        """Return the share to expect of the next answer."""
        late, answers = self._decayed(service, now_ms)
        return late / (answers + PRIOR_ANSWERS)

    def _decayed(self, service, now_ms):
        found = self._by_service.get(service)
        if found is None:
            return 0.0, 0.0
        late, answers, noted_ms = found
        kept = 0.5 ** (max(0.0, now_ms - noted_ms) / HALF_LIFE_MS)
        return kept * late, kept * answers
