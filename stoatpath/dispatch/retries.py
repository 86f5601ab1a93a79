"""Decides whether a failed attempt is tried again, and when."""

from stoatpath.outcomes import (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
    WRONG_PROCESS,
    Outcome,
)

MAX_ATTEMPTS = 4
BUDGET_RATIO = 0.1
BUDGET_CAP = 20.0
HEDGE_RESERVE = 10.0
BACKOFF_BASE_MS = 5.0
BACKOFF_CAP_MS = 250.0
WORTH_RETRYING = (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
    WRONG_PROCESS,
)


class RetryBudget:
    """A share of the requests served may be spent on extra attempts."""

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = BUDGET_CAP

    def record_request(self, service=""):
        """Count one request; all services share the budget."""
        self._tokens = min(BUDGET_CAP, self._tokens + BUDGET_RATIO)

    def try_spend(self, service=""):
        """Take one retry; return False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def try_spend_on_hedge(self, service=""):
        """Take one hedge; return False when only the retries' reserve is left."""
        return self._tokens >= HEDGE_RESERVE + 1.0 and self.try_spend(service)


def may_retry(request, failure, relay, may_resume):
    """Return whether another attempt keeps every promise.

    A streamed answer that has begun goes on only where engines can resume it.
    """
    if failure.reason not in WORTH_RETRYING:
        return False
    if relay is not None and relay.has_begun:
        return request.is_repeatable and may_resume
    return failure.outcome is Outcome.NOT_RUN or request.is_repeatable


def backoff_ms(retries, random):
    """Return a wait with full jitter before the next attempt."""
    limit_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2**retries)
    return random.uniform(0.0, limit_ms)
