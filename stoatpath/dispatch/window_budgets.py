"""A budget of extra sends (retries and hedges) over a sliding window."""

from collections import deque

# The slack, extra sends allowed in a window whatever the number of requests, is set for
# all instances together. Each takes it divided by this number of instances, which is
# that of the largest supported site (docs/CAPACITY.md), rounded down.
DESIGN_INSTANCES = 100
# Part of the ratio's extra sends (without the slack) that hedges leave to retries.
RETRY_RESERVE_SHARE = 0.5
BUCKET_MS = 250.0


class SlidingWindow:
    """Requests and extra sends of one service in time buckets, oldest first."""

    __slots__ = ("requests", "extras", "_buckets")

    def __init__(self):
        self.requests = 0
        self.extras = 0
        self._buckets = deque()

    def add(self, requests, extras, now_ms):
        """Count requests, or their tokens, and extra ones."""
        bucket = now_ms // BUCKET_MS
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append([bucket, 0, 0])
        self._buckets[-1][1] += requests
        self._buckets[-1][2] += extras
        self.requests += requests
        self.extras += extras

    def expire(self, oldest_ms):
        """Drop the buckets that end by a clock reading."""
        while self._buckets and (self._buckets[0][0] + 1) * BUCKET_MS <= oldest_ms:
            _, requests, extras = self._buckets.popleft()
            self.requests -= requests
            self.extras -= extras


class WindowBudget:
    """Allows extra sends up to a ratio of the requests in the window, plus a slack.

    Each instance applies the ratio to its own requests, so it holds for all of them.
    """

    __slots__ = ("_ratio", "_window_ms", "_slack", "_clock", "_windows_by_service")

    def __init__(self, ratio, window_ms, slack, clock):
        self._clock = clock
        self._windows_by_service = {}
        self.set_bounds(ratio, window_ms, slack)

    def set_bounds(self, ratio, window_ms, slack):
        """Set the ratio, the window and the slack of all instances together."""
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack / DESIGN_INSTANCES

    def record_request(self, service):
        """Count one request."""
        self._window(service).add(1, 0, self._clock.now_ms())

    def request_rate(self, service):
        """Return the requests per second in the window."""
        return self._window(service).requests / self._window_ms * 1000

    def remaining(self, service):
        """Return how many extra sends are allowed now."""
        window = self._window(service)
        return self._ratio * window.requests + self._slack - window.extras

    def remaining_by_service(self):
        """Return how many extra sends are allowed now, for all known services."""
        return {name: self.remaining(name) for name in self._windows_by_service}

    def try_spend(self, service):
        """Count an extra send; return False when the budget is spent."""
        if self.remaining(service) < 1.0:
            return False
        self.record_extra_send(service)
        return True

    def record_extra_send(self, service):
        """Count an extra send without a check of the budget."""
        self._window(service).add(0, 1, self._clock.now_ms())

    def try_spend_on_hedge(self, service):
        """Count a hedge; return False when only the reserve for retries is left."""
        window = self._window(service)
        reserve = RETRY_RESERVE_SHARE * self._ratio * window.requests
        return self.remaining(service) >= 1.0 + reserve and self.try_spend(service)

    def _window(self, service):
        window = self._windows_by_service.setdefault(service, SlidingWindow())
        window.expire(self._clock.now_ms() - self._window_ms)
        return window
