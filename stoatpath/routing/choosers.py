"""Chooses among backend servers by expected time, a few random ones at a time."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.breakers import CircuitBreakers
from stoatpath.routing.estimates import LoadEstimator
from stoatpath.routing.messages import Candidate, Choice

SAMPLE_SIZE = 3
PROBES = 4 * SAMPLE_SIZE
ZONE_DISTANCE_MS = 1.5
MAX_REPORT_AGE_MS = 5_000
SLOW_START_MS = 10_000.0
SLOW_START_SHARE = 0.25
USABLE = "usable"
CIRCUIT_OPEN = "circuit open"


class Chooser:
    """Takes the least expected time of a random sample.

    The sample stays small, since whoever looks best by a stale report looks
    best to every router at once.
    """

    __slots__ = ("breakers", "_zone", "_random", "_estimator")

    def __init__(self, zone, random):
        self.breakers = CircuitBreakers(random)
        self._zone = zone
        self._random = random
        self._estimator = LoadEstimator()

    def choose(self, query, backends, now_ms):
        """Return a choice, or a failure when nobody may take the work."""
        candidates = []
        sample = self._sample(query, backends, now_ms, candidates)
        if not sample:
            return Failure(NO_BACKEND, f"no backend server for {query.version}")
        self._estimator.learn_tokens(query.expected_tokens)
        best = None
        best_ms = float("inf")
        for backend in sample:
            expected_ms = self._expected_ms(backend, query, now_ms)
            candidates.append(Candidate(backend.name, expected_ms, "sampled"))
            if expected_ms < best_ms:
                best = backend
                best_ms = expected_ms
        self.breakers.record_send(best.name, now_ms)
        return Choice(best, candidates, "least expected time of the sample")

    def _sample(self, query, backends, now_ms, candidates):
        """Return a few usable backend servers; note why others are not.

        Random probes come first, so that the work does not grow with the number
        of backend servers; all are looked at only when the probes find none.
        Open circuits count as usable when nothing else is left.
        """
        if len(backends) > PROBES:
            sample = self._probe(query, backends, now_ms, candidates)
            if sample:
                return sample
            candidates.clear()
        usable = []
        resting = []
        for backend in backends:
            verdict = self._verdict(backend, query, now_ms)
            if verdict == USABLE:
                usable.append(backend)
                continue
            candidates.append(Candidate(backend.name, None, verdict))
            if verdict == CIRCUIT_OPEN:
                resting.append(backend)
        usable = usable or resting
        if len(usable) > SAMPLE_SIZE:
            return self._random.sample(usable, SAMPLE_SIZE)
        return usable

    def _probe(self, query, backends, now_ms, candidates):
        sample = []
        seen = set()
        for _ in range(PROBES):
            place = int(self._random.random() * len(backends))
            if place in seen:
                continue
            seen.add(place)
            backend = backends[place]
            verdict = self._verdict(backend, query, now_ms)
            if verdict == USABLE:
                sample.append(backend)
            else:
                candidates.append(Candidate(backend.name, None, verdict))
            if len(sample) == SAMPLE_SIZE:
                break
        return sample

    def _expected_ms(self, backend, query, now_ms):
        self._estimator.learn_load(backend)
        tokens = query.expected_tokens
        expected_ms = self._estimator.expected_ms(backend, tokens, now_ms)
        distance_ms = 0 if backend.zone == self._zone else 2 * ZONE_DISTANCE_MS
        return expected_ms / self._warmth(backend, now_ms) + distance_ms

    def _warmth(self, backend, now_ms):
        """Return a share that rises to 1 while a backend server is new here."""
        new_ms = max(backend.joined_ms, self.breakers.closed_ms(backend.name))
        age_share = (now_ms - new_ms) / SLOW_START_MS
        return min(1.0, max(SLOW_START_SHARE, age_share))

    def _verdict(self, backend, query, now_ms):
        if backend.is_leaving:
            return "leaving"
        if backend.name in query.excluded:
            return "tried before"
        if now_ms - backend.reported_ms > MAX_REPORT_AGE_MS:
            return "silent"
        if self.breakers.is_open(backend.name, now_ms):
            return CIRCUIT_OPEN
        return USABLE
