"""Selects a backend server by load, zone, failure rate and cached prompt prefix."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.breakers import CircuitBreakers
from stoatpath.routing.failure_rates import FailureRates
from stoatpath.routing.length_partitions import PromptLengthPartition
from stoatpath.routing.messages import Candidate, Choice
from stoatpath.utils import rendezvous_rank

# Costs are in units of prompt work: the time that the smallest model needs to read
# one prompt token. A request in flight delays others like a prompt of 120 tokens.
IN_FLIGHT_COST = 120.0
# Traffic between availability zones is billed: two requests in flight in the same
# zone cost less than crossing zones, three cost more.
CROSS_ZONE_COST = 300.0
# Cost of using a backend server reserved for prompts of the other length: the work
# of two long prompts on the largest model. A prompt leaves its own partition only
# when more than that is queued there.
OTHER_PARTITION_COST = 400_000.0
# Backend servers at or above this failure rate are in neither length partition; it
# is ten times the rate of a healthy one.
UNHEALTHY_FAILURE_RATE = 0.1
# Multiplied by the failure rate; high, since a failed answer costs the request
# however lightly loaded the backend server is.
FAILURE_COST = 40_000.0
# A random sample of 64 contains one of the least loaded tenth with probability
# 0.998; evaluating all of a large fleet would take milliseconds per choice.
MAX_EVALUATED = 64
# Candidates listed in a decision record, for each of: evaluated, rejected.
MAX_LISTED_CANDIDATES = 4
CIRCUIT_OPEN = "circuit open"
ALREADY_TRIED = "tried before"
EVALUATED = "priced"


class AffinityQuery:
    """What an attempt needs: a service, a model and a prompt.

    `shared_name` identifies the prompt prefix that other requests share, or is "".
    `shared_work` is the prompt work of that prefix, saved where it is cached;
    `work` is that of the whole prompt, 0 when there is none. `excluded` holds the
    names of backend servers that this request already tried.
    """

    __slots__ = (
        "service",
        "version",
        "shared_name",
        "shared_work",
        "excluded",
        "work",
    )

    def __init__(self, service, version, shared_name, shared_work, excluded, work=0.0):
        self.service = service
        self.version = version
        self.shared_name = shared_name
        self.shared_work = shared_work
        self.excluded = excluded
        self.work = work


class AffinityChooser:
    """Selects the eligible backend server with the lowest cost, for gateways.

    Affinity is that of a prompt prefix to the backend server which likely caches it.
    """

    __slots__ = ("breakers", "failures", "length_partition", "_zone", "_random")

    def __init__(self, zone, random):
        self.breakers = CircuitBreakers(random)
        self.failures = FailureRates()
        self.length_partition = PromptLengthPartition()
        self._zone = zone
        self._random = random

    def observe(self, result):
        """Update breakers and failure rates with the `AttemptResult` of an attempt."""
        self.breakers.observe(result)
        self.failures.observe(result)

    def reset(self, name, now_ms):
        """Drop what is known of a backend server whose process is new."""
        self.breakers.reset(name, now_ms)
        self.failures.reset(name)

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones."""
        self.breakers.retain_backends(names)
        self.failures.retain_backends(names)

    def choose(self, query, backends, now_ms):
        """Return a `Choice`, or a failure when no backend server is eligible."""
        eligible, rejected = self._split_eligible(query, backends, now_ms)
        if not eligible:
            detail = f"no backend server for {query.service} takes {query.version}"
            return Failure(NO_BACKEND, detail)
        if query.work:
            self.length_partition.record_prompt(query.work, now_ms)
        evaluated, preferred = self._evaluate(query, eligible, now_ms)
        cheapest = evaluated[0][1]
        listed = [
            Candidate(backend.name, round(cost), EVALUATED)
            for cost, backend in evaluated[:MAX_LISTED_CANDIDATES]
        ]
        reason = (
            "least price, prompt cached" if cheapest is preferred else "least price"
        )
        return Choice(cheapest, listed + rejected[:MAX_LISTED_CANDIDATES], reason)

    def _evaluate(self, query, eligible, now_ms):
        """Return pairs of cost and backend server, sorted, and the preferred one."""
        avoided = self._names_to_avoid(query, eligible, now_ms)
        preferred = self._find_preferred(query, eligible, avoided)
        evaluated = []
        for backend in self._select_evaluated(eligible, preferred):
            cost = self._cost(backend, query, preferred, now_ms)
            if backend.name in avoided:
                cost += OTHER_PARTITION_COST
            # Equal costs are common; a random fraction breaks the ties.
            evaluated.append((cost + self._random.random(), backend))
        evaluated.sort(key=_cost_of)
        return evaluated, preferred

    def _select_evaluated(self, eligible, preferred):
        """Return which to evaluate: all of a small fleet, a sample of a large one."""
        if len(eligible) <= MAX_EVALUATED:
            return eligible
        same_zone = [backend for backend in eligible if backend.zone == self._zone]
        population = same_zone if len(same_zone) >= MAX_EVALUATED else eligible
        sample = self._random.sample(population, MAX_EVALUATED)
        return (
            sample if preferred is None or preferred in sample else [preferred, *sample]
        )

    def _split_eligible(self, query, backends, now_ms):
        """Return the eligible backend servers, and the rejected candidates.

        Without any, falls back to rejected ones: those with an open circuit, then those
        already tried, as an attempt that broke off may succeed when repeated.
        """
        eligible = []
        open_circuits = []
        tried = []
        rejected = []
        for backend in backends:
            if backend.name in query.excluded:
                tried.append(backend)
                rejected.append(Candidate(backend.name, None, ALREADY_TRIED))
            elif self.breakers.is_open(backend.name, now_ms):
                open_circuits.append(backend)
                rejected.append(Candidate(backend.name, None, CIRCUIT_OPEN))
            else:
                eligible.append(backend)
        return eligible or open_circuits or tried, rejected

    def _names_to_avoid(self, query, eligible, now_ms):
        """Return the names of those reserved for prompts of the other length.

        Only healthy backend servers are partitioned, so that neither partition
        consists of failing ones.
        """
        if not query.work:
            return ()
        names = [
            backend.name
            for backend in eligible
            if self.failures.rate(backend.name, now_ms) < UNHEALTHY_FAILURE_RATE
        ]
        return self.length_partition.backends_to_avoid(query.service, query.work, names)

    def _find_preferred(self, query, eligible, avoided):
        """Return the backend server that likely caches the shared prefix, or None.

        All instances of a zone send a prefix to the same one, by rendezvous hashing.
        """
        if not query.shared_name:
            return None
        eligible = [each for each in eligible if each.name not in avoided]
        by_name = {each.name: each for each in eligible if each.zone == self._zone}
        if not by_name:
            by_name = {each.name: each for each in eligible}
        ranked = rendezvous_rank(f"{query.version}/{query.shared_name}", by_name)
        return by_name[ranked[0]]

    def _cost(self, backend, query, preferred, now_ms):
        cost = backend.pending_prompt_work + IN_FLIGHT_COST * backend.in_flight
        cost += FAILURE_COST * self.failures.rate(backend.name, now_ms)
        if backend.zone != self._zone:
            cost += CROSS_ZONE_COST
        if preferred is not None and backend is not preferred:
            cost += query.shared_work
        return cost


def _cost_of(evaluated):
    return evaluated[0]
