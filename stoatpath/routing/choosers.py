"""Chooses among backend servers by expected time, two random ones at a time."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.messages import Candidate, Choice

SAMPLE_SIZE = 2
ZONE_DISTANCE_MS = 1.5
REPORT_HALF_LIFE_MS = 500.0
MAX_REPORT_AGE_MS = 5_000


class Chooser:
    """Power-of-two choice over the backend servers that may take the work."""

    __slots__ = ("_zone", "_random")

    def __init__(self, zone, random):
        self._zone = zone
        self._random = random

    def choose(self, query, backends, now_ms):
        """Return a choice, or a failure when nobody may take the work."""
        candidates = []
        usable = []
        for backend in backends:
            verdict = _verdict(backend, query, now_ms)
            if verdict == "usable":
                usable.append(backend)
            else:
                candidates.append(Candidate(backend.name, None, verdict))
        if not usable:
            return Failure(NO_BACKEND, f"no backend server for {query.version}")
        sample = usable
        if len(usable) > SAMPLE_SIZE:
            sample = self._random.sample(usable, SAMPLE_SIZE)
        best = None
        best_ms = float("inf")
        for backend in sample:
            expected_ms = self._expected_ms(backend, query, now_ms)
            candidates.append(Candidate(backend.name, expected_ms, "sampled"))
            if expected_ms < best_ms:
                best = backend
                best_ms = expected_ms
        return Choice(best, candidates, "least expected time of the sample")

    def _expected_ms(self, backend, query, now_ms):
        age_ms = now_ms - backend.reported_ms
        trust = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        others = max(0, backend.running - backend.in_flight) * trust
        load = (backend.in_flight + others + 1) / max(1, backend.slots)
        service_ms = query.expected_tokens * max(backend.token_ms, 0.01)
        distance_ms = 0 if backend.zone == self._zone else 2 * ZONE_DISTANCE_MS
        return service_ms * (1 + load) + distance_ms


def _verdict(backend, query, now_ms):
    if backend.is_leaving:
        return "leaving"
    if backend.name in query.excluded:
        return "tried before"
    if now_ms - backend.reported_ms > MAX_REPORT_AGE_MS:
        return "silent"
    return "usable"
