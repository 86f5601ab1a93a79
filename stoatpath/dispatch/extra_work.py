"""The limit that operators set on extra sends against slow answers."""

from stoatpath.dispatch.window_budgets import SlidingWindow

WINDOW_MS = 10_000.0
# Reasons for which an extra send was not made, as labels of a metric.
LIMIT_SPENT = "limit-spent"
RETRY_BUDGET_SPENT = "retry-budget-spent"
NO_ROOM = "no-room"
NOT_ALLOWED = "not-allowed"
REASONS = (LIMIT_SPENT, RETRY_BUDGET_SPENT, NO_ROOM, NOT_ALLOWED)


class ExtraWorkLimit:
    """Allows extra sends up to a share of the requests, and of their tokens.

    Both are counted by service in a sliding window. Each instance applies the share to
    its own requests, so it holds for all instances together. `share` is from 0 to 0.5;
    0 means that operators have set no limit, so that no stream is sent twice.
    `sent` and `won` count extra sends and those that answered first,
    `refused_by_reason` those that were not made.
    """

    __slots__ = (
        "share",
        "sent",
        "won",
        "refused_by_reason",
        "_clock",
        "_requests_by_service",
        "_tokens_by_service",
    )

    def __init__(self, share, clock):
        self.share = share
        self.sent = 0
        self.won = 0
        self.refused_by_reason = dict.fromkeys(REASONS, 0)
        self._clock = clock
        self._requests_by_service = {}
        self._tokens_by_service = {}

    @property
    def is_set(self):
        """Return whether operators have set a limit."""
        return self.share > 0.0

    def record_request(self, request):
        """Count a request of a caller."""
        if self.is_set:
            self._requests(request).add(1, 0, self._clock.now_ms())
            self._tokens(request).add(_tokens_of(request), 0, self._clock.now_ms())

    def try_spend(self, request):
        """Count an extra send of a request; return False if the limit is spent."""
        requests, tokens = self._requests(request), self._tokens(request)
        added_tokens = _tokens_of(request)
        if requests.extras + 1 > self.share * requests.requests:
            return False
        if tokens.extras + added_tokens > self.share * tokens.requests:
            return False
        now_ms = self._clock.now_ms()
        requests.add(0, 1, now_ms)
        tokens.add(0, added_tokens, now_ms)
        self.sent += 1
        return True

    def record_win(self):
        """Count an extra send that answered first."""
        self.won += 1

    def refuse(self, reason):
        """Count an extra send that was not made."""
        self.refused_by_reason[reason] += 1

    def _requests(self, request):
        return self._window(self._requests_by_service, request)

    def _tokens(self, request):
        return self._window(self._tokens_by_service, request)

    def _window(self, windows_by_service, request):
        window = windows_by_service.setdefault(request.service.name, SlidingWindow())
        window.expire(self._clock.now_ms() - WINDOW_MS)
        return window


def _tokens_of(request):
    """Return the expected work of a request in tokens, 1 for a plain service."""
    return max(1, request.prompt.tokens + request.prompt.expected_new_tokens)
