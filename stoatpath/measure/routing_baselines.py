"""Ways of choosing a backend server that the router's is compared with."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.breakers import CircuitBreakers
from stoatpath.routing.messages import Choice

NOBODY = Failure(NO_BACKEND, "no backend server is left")


class _Baseline:
    """Picks among the backend servers that were not tried before."""

    __slots__ = ("breakers", "_rng")

    def __init__(self, rng):
        self.breakers = CircuitBreakers(rng)
        self._rng = rng

    def choose(self, query, backends, now_ms):
        """Return a choice or a failure."""
        usable = [each for each in backends if each.name not in query.excluded]
        if not usable:
            return NOBODY
        return Choice(self._pick(query, usable), [], type(self).__name__)


class RandomChooser(_Baseline):
    """Any backend server with the same chance."""

    __slots__ = ()

    def _pick(self, query, usable):
        return self._rng.choice(usable)


class RoundRobinChooser(_Baseline):
    """One backend server after the other."""

    __slots__ = ("_turn",)

    def __init__(self, rng):
        super().__init__(rng)
        self._turn = rng.randrange(1_000)

    def _pick(self, query, usable):
        self._turn += 1
        return usable[self._turn % len(usable)]


class LeastReportedChooser(_Baseline):
    """The one with the fewest running requests by its last report."""

    __slots__ = ()

    def _pick(self, query, usable):
        least = min(backend.running for backend in usable)
        return self._rng.choice([each for each in usable if each.running == least])


class OracleChooser(_Baseline):
    """The one that would finish first, by the exact state of all engines."""

    __slots__ = ("_engines_by_name", "_arrivals_by_id")

    def __init__(self, rng, engines_by_name, arrivals_by_id):
        super().__init__(rng)
        self._engines_by_name = engines_by_name
        self._arrivals_by_id = arrivals_by_id

    def _pick(self, query, usable):
        arrival = self._arrivals_by_id[query.request_id]
        engines = self._engines_by_name
        live = [each for each in usable if not engines[each.name].is_down]
        return min(
            live or usable,
            key=lambda each: engines[each.name].predict_duration_ms(arrival),
        )
