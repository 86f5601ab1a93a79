"""Learns how fast backend servers are, from the answers of their requests."""

from stoatpath.outcomes import TIMED_OUT
from stoatpath.routing.estimates import FULL_BATCH_SLOWDOWN

# Longer than slow moments of some hundred milliseconds, so that a slow moment doesn't
# make a slow server; short enough that a change of speed is known in time.
HALF_LIFE_MS = 8_000.0
# The speed counts as 1 until answers took about this long; a shorter time can lie
# within a slow moment.
PRIOR_MS = 1_500.0
# Answers that make the mean pace of a model known; earlier ones would be compared
# mostly with themselves.
MIN_REFERENCE_ANSWERS = 8
# Shorter streams tell little of the pace.
MIN_EVENTS = 8
MIN_SPEED = 0.25
MAX_SPEED = 4.0


class ServerSpeeds:
    """Expected and observed time of finished work, by backend server.

    The expected time is that of the mean pace of all servers for the same model, or
    the mean duration on the same route for buffered answers, at the server's load.
    The load counts less than it may slow answers: if it counted for more, a loaded
    server would look fast, and get more.
    """

    __slots__ = ("_times_by_name", "_references_by_key")

    def __init__(self):
        self._times_by_name = {}
        self._references_by_key = {}

    def observe(self, result, load, slots):
        """Learn from an `AttemptResult` of a server with `load` requests in flight."""
        if result.reason is not None and result.reason is not TIMED_OUT:
            return
        if result.first_byte_ms is None:
            return
        now_ms = result.ended_ms
        if result.events is None:
            if result.reason is not None:
                return
            key = ("answer", result.version, result.route)
            amount = 1.0
            observed_ms = result.first_byte_ms - result.started_ms
            queued = max(0.0, load - slots) / max(1, slots)
        elif result.events >= MIN_EVENTS:
            key = ("event", result.version)
            amount = result.events - 1.0
            observed_ms = now_ms - result.first_byte_ms
            queued = 0.0
        else:
            return
        if observed_ms <= 0:
            return
        slowdown = (1.0 + queued) * relative_step(load, slots)
        reference = self._references_by_key.get(key)
        if reference is None:
            reference = self._references_by_key[key] = _Times(now_ms)
        reference.add(amount * slowdown, observed_ms, now_ms)
        if reference.count < MIN_REFERENCE_ANSWERS:
            return
        expected_ms = amount * slowdown * reference.observed_ms / reference.expected_ms
        times = self._times_by_name.get(result.backend)
        if times is None:
            times = self._times_by_name[result.backend] = _Times(now_ms)
        times.add(expected_ms, observed_ms, now_ms)

    def times(self, now_ms):
        """Return triples of name, expected and observed time in ms, decayed."""
        result = []
        for name, times in self._times_by_name.items():
            times.decay(now_ms)
            result.append((name, times.expected_ms, times.observed_ms))
        return result

    def retain_backends(self, names):
        """Drop the state of all backend servers but the named ones."""
        for name in self._times_by_name.keys() - names:
            del self._times_by_name[name]


class _Times:
    """An expected and an observed time that decay with `HALF_LIFE_MS`.

    `count` is the number of answers, which does not decay.
    """

    __slots__ = ("expected_ms", "observed_ms", "count", "_updated_ms")

    def __init__(self, now_ms):
        self.count = 0
        self.expected_ms = 0.0
        self.observed_ms = 0.0
        self._updated_ms = now_ms

    def decay(self, now_ms):
        factor = 0.5 ** (max(0.0, now_ms - self._updated_ms) / HALF_LIFE_MS)
        self._updated_ms = max(now_ms, self._updated_ms)
        self.expected_ms *= factor
        self.observed_ms *= factor

    def add(self, expected_ms, observed_ms, now_ms):
        self.decay(now_ms)
        self.count += 1
        self.expected_ms += expected_ms
        self.observed_ms += observed_ms


def speed_of(expected_ms, observed_ms):
    """Return the speed of a server, 1 for the common speed, within its limits."""
    speed = (expected_ms + PRIOR_MS) / (observed_ms + PRIOR_MS)
    return min(MAX_SPEED, max(MIN_SPEED, speed))


def relative_step(load, slots):
    """Return the time of a step relative to that of an idle server."""
    slots = max(1, slots)
    return 1.0 + FULL_BATCH_SLOWDOWN * min(load, slots) / slots
