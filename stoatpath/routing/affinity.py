"""Chooses a backend server by load, distance and the prompt parts it has cached."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.breakers import CircuitBreakers
from stoatpath.routing.failure_rates import FailureRates
from stoatpath.routing.messages import Candidate, Choice
from stoatpath.routing.prompt_splits import PromptSplit
from stoatpath.utils import rendezvous_rank

# Prices of a choice, in tokens of prompt work of the smallest model. A request
# under way holds back others by about as much as a short prompt.
IN_FLIGHT_PRICE = 120.0
# Bytes between availability zones are billed; a queue of two is cheaper.
OTHER_ZONE_PRICE = 300.0
# What a prompt pays for going among those of the other length: two long prompts on
# the largest model, so that a side is left when it has a second queue of them.
OTHER_SIDE_PRICE = 400_000.0
# Failures from which a backend server is not counted on: ten times a sound one's.
UNSOUND_RATE = 0.1
# A failed answer costs its request, whatever the load elsewhere.
FAILURE_PRICE = 40_000.0
# A sample of this size holds one of the least loaded tenth with a chance of 998 in
# 1,000; pricing all of a large fleet would cost milliseconds for each choice.
MAX_PRICED = 64
# Candidates that a decision shows, of those priced and of those passed over.
MAX_SHOWN = 4
CIRCUIT_OPEN = "circuit open"
TRIED = "tried before"
PRICED = "priced"


class AffinityQuery:
    """What an attempt needs: a service, a model, and where its prompt is cached.

    `shared_name` names the leading parts that other requests share, or is "";
    `shared_work` is what reading them again costs, `work` what reading the whole
    prompt does, 0 where there is none. `excluded` holds names of backend servers
    that this request already tried.
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
    """Takes the least price among all backend servers that may take the work."""

    __slots__ = ("breakers", "failures", "split", "_zone", "_random")

    def __init__(self, zone, random):
        self.breakers = CircuitBreakers(random)
        self.failures = FailureRates()
        self.split = PromptSplit()
        self._zone = zone
        self._random = random

    def observe(self, result):
        """Take the `AttemptResult` of an attempt."""
        self.breakers.observe(result)
        self.failures.observe(result)

    def forget(self, names):
        """Drop what is kept of backend servers other than these."""
        self.breakers.forget(names)
        self.failures.forget(names)

    def choose(self, query, backends, now_ms):
        """Return a choice, or a failure when nobody may take the work."""
        usable, passed_over = self._sort_out(query, backends, now_ms)
        if not usable:
            detail = f"no backend server for {query.service} takes {query.version}"
            return Failure(NO_BACKEND, detail)
        if query.work:
            self.split.note(query.work, now_ms)
        priced, home = self._price_all(query, usable, now_ms)
        best = priced[0][1]
        self.breakers.begin(best.name, now_ms)
        shown = [
            Candidate(backend.name, round(price), PRICED)
            for price, backend in priced[:MAX_SHOWN]
        ]
        reason = "least price, prompt cached" if best is home else "least price"
        return Choice(best, shown + passed_over[:MAX_SHOWN], reason)

    def _price_all(self, query, usable, now_ms):
        """Return pairs of price and backend server, cheapest first, and the home."""
        avoided = self._find_avoided(query, usable, now_ms)
        home = self._find_home(query, usable, avoided)
        priced = []
        for backend in self._narrow(usable, home):
            price = self._price(backend, query, home, now_ms)
            if backend.name in avoided:
                price += OTHER_SIDE_PRICE
            # Equal prices are common; chance spreads them.
            priced.append((price + self._random.random(), backend))
        priced.sort(key=_price_of)
        return priced, home

    def _narrow(self, usable, home):
        """Return whom to price: all of a small fleet, a sample of a large one."""
        if len(usable) <= MAX_PRICED:
            return usable
        near = [backend for backend in usable if backend.zone == self._zone]
        wanted = near if len(near) >= MAX_PRICED else usable
        sample = self._random.sample(wanted, MAX_PRICED)
        return sample if home is None or home in sample else [home, *sample]

    def _sort_out(self, query, backends, now_ms):
        """Return who may take the work, and the verdicts on the others.

        Open circuits count as usable when nothing else is left, and then those that
        the request has tried: a run that broke off may go well the next time.
        """
        usable = []
        resting = []
        tried = []
        passed_over = []
        for backend in backends:
            if backend.name in query.excluded:
                tried.append(backend)
                passed_over.append(Candidate(backend.name, None, TRIED))
            elif self.breakers.is_open(backend.name, now_ms):
                resting.append(backend)
                passed_over.append(Candidate(backend.name, None, CIRCUIT_OPEN))
            else:
                usable.append(backend)
        return usable or resting or tried, passed_over

    def _find_avoided(self, query, usable, now_ms):
        """Return the names of those that read prompts of another length.

        Those that fail are on no side, so that each side is of sound ones.
        """
        if not query.work:
            return ()
        names = [
            backend.name
            for backend in usable
            if self.failures.rate(backend.name, now_ms) < UNSOUND_RATE
        ]
        return self.split.other_side(query.service, query.work, names)

    def _find_home(self, query, usable, avoided):
        """Return the backend server that all instances of the zone agree on."""
        if not query.shared_name:
            return None
        usable = [each for each in usable if each.name not in avoided]
        by_name = {each.name: each for each in usable if each.zone == self._zone}
        if not by_name:
            by_name = {each.name: each for each in usable}
        ranked = rendezvous_rank(f"{query.version}/{query.shared_name}", by_name)
        return by_name[ranked[0]]

    def _price(self, backend, query, home, now_ms):
        price = backend.pending_prompt_work + IN_FLIGHT_PRICE * backend.in_flight
        price += FAILURE_PRICE * self.failures.rate(backend.name, now_ms)
        if backend.zone != self._zone:
            price += OTHER_ZONE_PRICE
        if home is not None and backend is not home:
            price += query.shared_work
        return price


def _price_of(priced):
    return priced[0]
