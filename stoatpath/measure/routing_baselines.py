"""Baseline choosers of backend servers that the router's chooser is compared with."""

from stoatpath.outcomes import NO_BACKEND, Failure
from stoatpath.routing.breakers import CircuitBreakers
from stoatpath.routing.messages import Choice

NO_BACKEND_LEFT = Failure(NO_BACKEND, "no backend server is left")


class _BaselineChooser:
    """Selects among the backend servers that were not tried before."""

    __slots__ = ("breakers", "_rng")

    def __init__(self, rng):
        self.breakers = CircuitBreakers(rng)
        self._rng = rng

    def choose(self, query, backends, now_ms):
        """Return a choice or a failure."""
        usable = [each for each in backends if each.name not in query.excluded]
        if not usable:
            return NO_BACKEND_LEFT
        return Choice(self._select(query, usable), [], type(self).__name__)


class RandomChooser(_BaselineChooser):
    """Selects each backend server with the same probability."""

    __slots__ = ()

    def _select(self, query, usable):
        return self._rng.choice(usable)


class RoundRobinChooser(_BaselineChooser):
    """Selects the backend servers in turn."""

    __slots__ = ("_next_index",)

    def __init__(self, rng):
        super().__init__(rng)
        self._next_index = rng.randrange(1_000)

    def _select(self, query, usable):
        self._next_index += 1
        return usable[self._next_index % len(usable)]


class LeastReportedChooser(_BaselineChooser):
    """Selects the one with the fewest running requests in its last report."""

    __slots__ = ()

    def _select(self, query, usable):
        fewest_running = min(backend.running for backend in usable)
        return self._rng.choice(
            [each for each in usable if each.running == fewest_running]
        )


class OracleChooser(_BaselineChooser):
    """Selects the one that would finish first, from the exact state of all engines."""

    __slots__ = ("_engines_by_name", "_arrivals_by_id")

    def __init__(self, rng, engines_by_name, arrivals_by_id):
        super().__init__(rng)
        self._engines_by_name = engines_by_name
        self._arrivals_by_id = arrivals_by_id

    def _select(self, query, usable):
        arrival = self._arrivals_by_id[query.request_id]
        engines = self._engines_by_name
        live = [each for each in usable if not engines[each.name].is_down]
        return min(
            live or usable,
            key=lambda each: engines[each.name].predict_duration_ms(arrival),
        )
