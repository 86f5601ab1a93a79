"""Decides whether a failed attempt is tried again."""

from stoatpath.outcomes import Outcome

MAX_ATTEMPTS = 3
BUDGET_RATIO = 0.1
BUDGET_CAP = 20.0


class RetryBudget:
    """A share of the requests served may be spent on extra attempts."""

    __slots__ = ("_tokens",)

    def __init__(self):
        self._tokens = BUDGET_CAP

    def earn(self):
        """Count one request."""
        self._tokens = min(BUDGET_CAP, self._tokens + BUDGET_RATIO)

    def spend(self):
        """Take one retry; return False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(request, failure, has_begun):
    """Return whether another attempt keeps every promise.

    `has_begun` says that a part of the answer has reached the caller.
    """
    if has_begun:
        return False
    return failure.outcome is Outcome.NOT_RUN or request.is_repeatable
