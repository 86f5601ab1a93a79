"""Selects a backend server by expected completion time from a random sample."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.breakers import CircuitBreakers
from stoatpath.routing.estimates import LoadEstimator
from stoatpath.routing.messages import Candidate, Choice

SAMPLE_SIZE = 3
MAX_RANDOM_CHECKS = 4 * SAMPLE_SIZE
ZONE_ONE_WAY_LATENCY_MS = 1.5
MAX_REPORT_AGE_MS = 5_000
SLOW_START_MS = 10_000.0
SLOW_START_MIN_FACTOR = 0.25
USABLE = "usable"
CIRCUIT_OPEN = "circuit open"


class LeastTimeChooser:
    """Selects the backend server with the least expected time, for routers.

    It is the best of a random sample. The sample is small to prevent herding: the one
    that looks best by a stale load report would otherwise be selected by every router
    at once.
    """

    __slots__ = ("breakers", "_zone", "_random", "_estimator")

    def __init__(self, zone, random):
        self.breakers = CircuitBreakers(random)
        self._zone = zone
        self._random = random
        self._estimator = LoadEstimator()

    def choose(self, query, backends, now_ms):
        """Return a `Choice`, or a failure when no backend server is usable."""
        candidates = []
        sample = self._select_sample(query, backends, now_ms, candidates)
        if not sample:
            return Failure(NO_BACKEND, f"no backend server for {query.version}")
        self._estimator.record_tokens(query.expected_tokens)
        best = None
        best_ms = float("inf")
        for backend in sample:
            expected_ms = self._expected_ms(backend, query, now_ms)
            candidates.append(Candidate(backend.name, expected_ms, "sampled"))
            if expected_ms < best_ms:
                best = backend
                best_ms = expected_ms
        return Choice(best, candidates, "least expected time of the sample")

    def _select_sample(self, query, backends, now_ms, candidates):
        """Return a few usable backend servers; append the others to `candidates`.

        Checks a bounded number of random ones first, so that the time does not
        grow with the fleet, and all of them only when none of these is usable.
        Falls back to backend servers with an open circuit.
        """
        if len(backends) > MAX_RANDOM_CHECKS:
            sample = self._sample_random(query, backends, now_ms, candidates)
            if sample:
                return sample
            candidates.clear()
        usable = []
        open_circuits = []
        for backend in backends:
            verdict = self._verdict(backend, query, now_ms)
            if verdict == USABLE:
                usable.append(backend)
                continue
            candidates.append(Candidate(backend.name, None, verdict))
            if verdict == CIRCUIT_OPEN:
                open_circuits.append(backend)
        usable = usable or open_circuits
        if len(usable) > SAMPLE_SIZE:
            return self._random.sample(usable, SAMPLE_SIZE)
        return usable

    def _sample_random(self, query, backends, now_ms, candidates):
        sample = []
        checked = set()
        for _ in range(MAX_RANDOM_CHECKS):
            index = int(self._random.random() * len(backends))
            if index in checked:
                continue
            checked.add(index)
            backend = backends[index]
            verdict = self._verdict(backend, query, now_ms)
            if verdict == USABLE:
                sample.append(backend)
            else:
                candidates.append(Candidate(backend.name, None, verdict))
            if len(sample) == SAMPLE_SIZE:
                break
        return sample

    def _expected_ms(self, backend, query, now_ms):
        self._estimator.record_load(backend)
        tokens = query.expected_tokens
        expected_ms = self._estimator.expected_ms(backend, tokens, now_ms)
        network_ms = 0 if backend.zone == self._zone else 2 * ZONE_ONE_WAY_LATENCY_MS
        return expected_ms / self._slow_start_factor(backend, now_ms) + network_ms

    def _slow_start_factor(self, backend, now_ms):
        """Return the factor by which a new backend server is loaded, up to 1.

        It rises linearly after the backend server joined or its circuit closed.
        """
        started_ms = max(backend.joined_ms, self.breakers.last_closed_ms(backend.name))
        factor = (now_ms - started_ms) / SLOW_START_MS
        return min(1.0, max(SLOW_START_MIN_FACTOR, factor))

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
