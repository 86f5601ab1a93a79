"""Counts requests by their result, for the metrics."""

from bisect import bisect_left

from stoatpath.outcomes import Outcome, is_failure

DURATION_BOUNDS_MS = (
    2,
    5,
    10,
    25,
    50,
    100,
    250,
    350,
    500,
    1_000,
    2_500,
    10_000,
    60_000,
)
NO_SERVICE = ""


class Durations:
    """A histogram of durations with fixed bounds in milliseconds."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self):
        self.counts = [0] * (len(DURATION_BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, duration_ms):
        """Count one duration."""
        self.counts[bisect_left(DURATION_BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms

    def buckets(self):
        """Return cumulative counts by upper bound; bounds are seconds as text."""
        total = 0
        buckets = []
        bounds = [f"{bound / 1000:g}" for bound in DURATION_BOUNDS_MS] + ["+Inf"]
        for bound, count in zip(bounds, self.counts):
            total += count
            buckets.append((bound, total))
        return buckets


class RequestStatistics:
    """Counts of requests by service, outcome and reason.

    Durations and costs are by service, and those of completed requests only.
    """

    __slots__ = (
        "counts_by_key",
        "durations_by_service",
        "cost_by_service",
        "replays",
        "moved_sessions",
    )

    def __init__(self):
        self.counts_by_key = {}
        self.durations_by_service = {}
        self.cost_by_service = {}
        self.replays = 0
        self.moved_sessions = 0

    def record_refusal(self, failure):
        """Count a request that was refused before its service was known."""
        self._count(NO_SERVICE, failure.outcome.value, failure.reason.name)

    def record_result(self, request, result, now_ms):
        """Count a request that was served or failed."""
        service = request.service.name
        if is_failure(result):
            self._count(service, result.outcome.value, result.reason.name)
            return
        self._count(service, Outcome.COMPLETED.value, "")
        self.replays += result.is_replay
        self.moved_sessions += bool(result.session_moved)
        cost = self.cost_by_service.get(service, 0.0)
        self.cost_by_service[service] = cost + result.cost
        durations = self.durations_by_service.get(service)
        if durations is None:
            durations = self.durations_by_service[service] = Durations()
        durations.add(now_ms - request.arrived_ms)

    def _count(self, service, outcome, reason):
        key = (service, outcome, reason)
        self.counts_by_key[key] = self.counts_by_key.get(key, 0) + 1
