"""Chooses among backend servers by expected time, a few random ones at a time."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.messages import Candidate, Choice

SAMPLE_SIZE = 2
PROBES = 4 * SAMPLE_SIZE
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
        sample = self._sample(query, backends, now_ms, candidates)
        if not sample:
            return Failure(NO_BACKEND, f"no backend server for {query.version}")
        best = None
        best_ms = float("inf")
        for backend in sample:
            expected_ms = self._expected_ms(backend, query, now_ms)
            candidates.append(Candidate(backend.name, expected_ms, "sampled"))
            if expected_ms < best_ms:
                best = backend
                best_ms = expected_ms
        return Choice(best, candidates, "least expected time of the sample")

    def _sample(self, query, backends, now_ms, candidates):
        """Return a few usable backend servers; note why others are not.

        Random probes come first, so that the work does not grow with the number
        of backend servers; all are looked at only when the probes find none.
        """
        sample = []
        if len(backends) > PROBES:
            self._probe(query, backends, now_ms, sample, candidates)
            if sample:
                return sample
            candidates.clear()
        for backend in backends:
            self._judge(backend, query, now_ms, sample, candidates)
        if len(sample) > SAMPLE_SIZE:
            return self._random.sample(sample, SAMPLE_SIZE)
        return sample

    def _probe(self, query, backends, now_ms, sample, candidates):
        seen = set()
        for _ in range(PROBES):
            place = int(self._random.random() * len(backends))
            if place in seen:
                continue
            seen.add(place)
            self._judge(backends[place], query, now_ms, sample, candidates)
            if len(sample) == SAMPLE_SIZE:
                return

    @staticmethod
    def _judge(backend, query, now_ms, sample, candidates):
        verdict = _verdict(backend, query, now_ms)
        if verdict == "usable":
            sample.append(backend)
        else:
            candidates.append(Candidate(backend.name, None, verdict))

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
