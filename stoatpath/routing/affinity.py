"""Selects a backend server by load, zone, failure rate and cached prompt prefix."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.breakers import CircuitBreakers
from stoatpath.routing.failure_rates import FailureRates
from stoatpath.routing.fleet_loads import SMALL_SERVICE_SERVERS, FleetLoads
from stoatpath.routing.length_partitions import PromptLengthPartition
from stoatpath.routing.messages import Candidate, Choice
from stoatpath.routing.speeds import ServerSpeeds
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
# With the load of the fleet, costs are the expected time to the end of an answer. An
# answer on an idle server takes as long as reading this many tokens: 1.3 s and 4.9 ms
# for 1,000 tokens on the reference engine.
ANSWER_COST = 250_000.0
# Slowdown by a full batch, as a multiple of the time on an idle server, of which half
# is the delay of this request and half that of the others.
FULL_BATCH_COST = 4.0
# Crossing zones is billed, but is worth it where it saves a tenth of an answer's time.
FLEET_CROSS_ZONE_COST = 25_000.0
FLEET_FAILURE_COST = 2_500_000.0
# An instance of a smaller fleet sees a large part of each server's work itself, as it
# is now; sums are up to two seconds old.
MIN_INSTANCES_FOR_SUMS = 20
# Many choices are made from the same sums, so each evaluates only a few random servers,
# of its own zone and of all, besides the preferred one: the least loaded one would get
# the requests of all instances until its load is in the sums.
SAMPLED_SAME_ZONE = 4
SAMPLED_ANY_ZONE = 3
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

    __slots__ = (
        "breakers",
        "failures",
        "length_partition",
        "speeds",
        "fleet_loads",
        "_zone",
        "_random",
    )

    def __init__(self, zone, random):
        self.breakers = CircuitBreakers(random)
        self.failures = FailureRates()
        self.length_partition = PromptLengthPartition()
        self.speeds = ServerSpeeds()
        self.fleet_loads = None
        self._zone = zone
        self._random = random

    def share_loads(self, instance, backends):
        """Return `FleetLoads` of this instance, which the selection uses from now on.

        `backends` is the directory of backend servers.
        """
        self.fleet_loads = FleetLoads(instance, backends, self.speeds)
        return self.fleet_loads

    def observe(self, result):
        """Update what is known of a backend server with the `AttemptResult`."""
        self.breakers.observe(result)
        self.failures.observe(result)
        if self.fleet_loads is not None:
            self.fleet_loads.observe(result)

    def reset(self, name, now_ms):
        """Drop what is known of a backend server whose process is new."""
        self.breakers.reset(name, now_ms)
        self.failures.reset(name)

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones."""
        self.breakers.retain_backends(names)
        self.failures.retain_backends(names)
        self.speeds.retain_backends(names)
        if self.fleet_loads is not None:
            self.fleet_loads.retain_backends(names)

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
        if self._uses_sums(now_ms):
            candidates = self._sample(eligible, preferred)
            cost_of = self._fleet_cost
        else:
            candidates = self._select_evaluated(eligible, preferred)
            cost_of = self._cost
        evaluated = []
        for backend in candidates:
            cost = cost_of(backend, query, preferred, now_ms)
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

    def _uses_sums(self, now_ms):
        """Return whether candidates are compared by the load of the whole fleet."""
        loads = self.fleet_loads
        if loads is None or not loads.has_sums(now_ms):
            return False
        return loads.instances >= MIN_INSTANCES_FOR_SUMS

    def _sample(self, eligible, preferred):
        """Return a few random candidates of this zone and of all, and the preferred."""
        if len(eligible) <= SMALL_SERVICE_SERVERS:
            return eligible
        same_zone = [each for each in eligible if each.zone == self._zone]
        sample = self._random.sample(
            same_zone, min(len(same_zone), SAMPLED_SAME_ZONE)
        ) + self._random.sample(eligible, min(len(eligible), SAMPLED_ANY_ZONE))
        by_name = {each.name: each for each in sample}
        if preferred is not None:
            by_name[preferred.name] = preferred
        return list(by_name.values())

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

    def _fleet_cost(self, backend, query, preferred, now_ms):
        """Return the expected time to the end of an answer, from the fleet's load.

        Each running request slows all others, and requests beyond the slots wait for
        one to end.
        """
        in_flight, work = self.fleet_loads.load(backend)
        if self.fleet_loads.is_small(backend.service):
            deviation = self.fleet_loads.deviation(in_flight)
            in_flight = max(0.0, self._random.gauss(in_flight, deviation))
        slots = max(1, backend.slots)
        slowdown = 1.0 + FULL_BATCH_COST * min(in_flight, slots) / slots
        queued = max(0.0, in_flight + 1 - slots) / slots
        cost = ANSWER_COST * slowdown * (1.0 + queued) + work
        if preferred is not None and backend is not preferred:
            cost += query.shared_work
        cost /= self.fleet_loads.speed(backend)
        cost += FLEET_FAILURE_COST * self.failures.rate(backend.name, now_ms)
        if backend.zone != self._zone:
            cost += FLEET_CROSS_ZONE_COST
        return cost


def _cost_of(evaluated):
    return evaluated[0]
