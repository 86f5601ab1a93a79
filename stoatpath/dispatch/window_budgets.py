"""A budget of extra sends over a sliding window, shared by all instances."""

from collections import deque

# The budget's slack is for all instances together; each takes this part of it,
# after the number of instances to design for (docs/CAPACITY.md), rounded down.
SLACK_PARTS = 100
# Hedges leave this part of what is left to retries.
HEDGE_PART = 0.5
SLOT_MS = 250.0


class _Window:
    """Requests and extra sends of one service by slots of time, oldest first."""

    __slots__ = ("requests", "extras", "_slots")

    def __init__(self):
        self.requests = 0
        self.extras = 0
        self._slots = deque()

    def add(self, requests, extras, now_ms):
        slot = now_ms // SLOT_MS
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append([slot, 0, 0])
        self._slots[-1][1] += requests
        self._slots[-1][2] += extras
        self.requests += requests
        self.extras += extras

    def expire(self, oldest_ms):
        while self._slots and (self._slots[0][0] + 1) * SLOT_MS <= oldest_ms:
            _, requests, extras = self._slots.popleft()
            self.requests -= requests
            self.extras -= extras


class WindowBudget:
    """Allows extra sends up to a ratio of the requests of the last window.

    Each instance holds to the ratio by its own requests, so that all together do.
    """

    __slots__ = ("_ratio", "_window_ms", "_slack", "_clock", "_windows_by_service")

    def __init__(self, ratio, window_ms, slack, clock):
        self._clock = clock
        self._windows_by_service = {}
        self.set_bounds(ratio, window_ms, slack)

    def set_bounds(self, ratio, window_ms, slack):
        """Take the ratio, the window and the slack of all instances together."""
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack / SLACK_PARTS

    def record_request(self, service):
        """Count one request."""
        self._window(service).add(1, 0, self._clock.now_ms())

    def remaining(self, service):
        """Return how many extra sends are allowed now."""
        window = self._window(service)
        return self._ratio * window.requests + self._slack - window.extras

    def remaining_by_service(self):
        """Return how many extra sends are allowed now, for all known services."""
        return {name: self.remaining(name) for name in self._windows_by_service}

    def try_spend(self, service):
        """Take one extra send; return False when the budget is spent."""
        if self.remaining(service) < 1.0:
            return False
        self.record_extra_send(service)
        return True

    def record_extra_send(self, service):
        """Count one extra send that was decided before."""
        self._window(service).add(0, 1, self._clock.now_ms())

    def try_spend_on_hedge(self, service):
        """Take one hedge; return False when only the retries' part is left."""
        window = self._window(service)
        reserve = HEDGE_PART * self._ratio * window.requests
        return self.remaining(service) >= 1.0 + reserve and self.try_spend(service)

    def _window(self, service):
        window = self._windows_by_service.setdefault(service, _Window())
        window.expire(self._clock.now_ms() - self._window_ms)
        return window
