"""Decides whether and when a failed attempt is retried."""

from stoatpath.outcomes import (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    PERMISSION_EXPIRED,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
    UNPROVEN_END,
    WRONG_PROCESS,
    ZONES_DRAINED,
    Outcome,
)

MAX_ATTEMPTS = 4  # without hedges
# Backend servers that may end under a request. One may have had another cause.
MAX_LOST_RUNS = 2
# The budget is in tokens, each for one extra send; a request adds BUDGET_RATIO tokens.
BUDGET_RATIO = 0.1
MAX_BUDGET = 20.0
# Tokens that hedges leave to retries.
RETRY_RESERVE = 10.0
BACKOFF_BASE_MS = 5.0
MAX_BACKOFF_MS = 250.0
RETRYABLE_REASONS = (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    PERMISSION_EXPIRED,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
    UNPROVEN_END,
    WRONG_PROCESS,
    # Of a hedge that was not sent, beside a first attempt that may be repeated.
    ZONES_DRAINED,
)


class RetryBudget:
    """Token bucket that limits extra attempts to a ratio of the requests."""

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = MAX_BUDGET

    def record_request(self, service=""):
        """Add the tokens of one request; all services share the budget."""
        self._tokens = min(MAX_BUDGET, self._tokens + BUDGET_RATIO)

    def try_spend(self, service=""):
        """Spend a token on a retry; return False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def try_spend_on_hedge(self, service=""):
        """Spend a token on a hedge; return False when only the reserve is left."""
        return self._tokens >= RETRY_RESERVE + 1.0 and self.try_spend(service)


def may_retry(request, failure, relay, may_resume):
    """Return whether another attempt is safe.

    A non-repeatable request is retried only if it did not run. A partly relayed
    stream is retried only where a backend server can resume it.
    """
    if failure.reason not in RETRYABLE_REASONS:
        return False
    if relay is not None and relay.has_begun:
        return request.is_repeatable and may_resume and relay.is_resumable
    return failure.outcome is Outcome.NOT_RUN or request.is_repeatable


def backoff_ms(retries, random):
    """Return an exponential backoff with full jitter before the next attempt."""
    limit_ms = min(MAX_BACKOFF_MS, BACKOFF_BASE_MS * 2**retries)
    return random.uniform(0.0, limit_ms)
