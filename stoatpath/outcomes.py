"""Outcomes of requests, and failures as return values with a reason."""

from enum import Enum


class Outcome(Enum):
    """Whether a request was executed, as far as is known."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason:
    """A cause of failure. Compare with `is`.

    `status` is the HTTP status for the caller, `retryable` tells the caller whether
    the same request may succeed later.
    """

    __slots__ = ("name", "status", "retryable")

    def __init__(self, name, status, retryable=False):
        self.name = name
        self.status = status
        self.retryable = retryable

    def __repr__(self):
        return f"<Reason {self.name}>"


# Errors of the caller.
BAD_REQUEST = Reason("bad-request", 400)
UNAUTHENTICATED = Reason("unauthenticated", 401)
FORBIDDEN = Reason("forbidden", 403)
NOT_FOUND = Reason("not-found", 404)
METHOD_NOT_ALLOWED = Reason("method-not-allowed", 405)
BODY_TOO_SLOW = Reason("body-too-slow", 408, retryable=True)
HEAD_TOO_SLOW = Reason("head-too-slow", 408, retryable=True)
CONFLICT = Reason("conflict", 409)
BODY_TOO_LARGE = Reason("body-too-large", 413)
UNSUPPORTED_MEDIA = Reason("unsupported-media", 415)
KEY_REUSED = Reason("idempotency-key-reused", 422)
RATE_LIMITED = Reason("rate-limited", 429, retryable=True)
HEAD_TOO_LARGE = Reason("head-too-large", 431)

# All other reasons: states of the system, of backend servers or of the request.
HEAD_UNCERTAIN = Reason("head-uncertain", 503, retryable=True)
OVERLOADED = Reason("overloaded", 503, retryable=True)
DEADLINE_UNREACHABLE = Reason("deadline-unreachable", 503, retryable=True)
NO_BACKEND = Reason("no-backend", 503, retryable=True)
ZONES_DRAINED = Reason("zones-drained", 503, retryable=True)
REGION_NOT_ALLOWED = Reason("region-not-allowed", 503, retryable=True)
PERMISSION_EXPIRED = Reason("permission-expired", 503, retryable=True)
QUARANTINED = Reason("quarantined", 503, retryable=True)
BACKENDS_LIMITED = Reason("backends-limited", 503, retryable=True)
STALE_CONFIGURATION = Reason("stale-configuration", 503, retryable=True)
SESSION_UNKNOWN = Reason("session-unknown", 503, retryable=True)
SHUTTING_DOWN = Reason("shutting-down", 503, retryable=True)
PLATFORM_UNAVAILABLE = Reason("platform-unavailable", 503, retryable=True)
CONNECT_FAILED = Reason("connect-failed", 502, retryable=True)
CONNECTION_REFUSED = Reason("connection-refused", 502, retryable=True)
REFUSED_BY_BACKEND = Reason("refused-by-backend", 503, retryable=True)
BROKEN_ANSWER = Reason("broken-answer", 502)
FOREIGN_ANSWER = Reason("foreign-answer", 502)
BACKEND_ERROR = Reason("backend-error", 502)
TIMED_OUT = Reason("timed-out", 504)
SILENT_CONNECTION = Reason("silent-connection", 504)
SUPERSEDED = Reason("superseded", 500)
UNPROVEN_END = Reason("unproven-end", 502)
UNSURE_ANSWER = Reason("unsure-answer", 502)
WRONG_PROCESS = Reason("wrong-process", 503, retryable=True)
IN_PROGRESS = Reason("in-progress", 409, retryable=True)
ANSWER_NOT_KEPT = Reason("answer-not-kept", 409)
CALLER_GONE = Reason("caller-gone", 499)
INTERNAL = Reason("internal", 500)


class Failure:
    """A failed step: its reason, whether the request was executed, and a detail.

    `field` names the invalid header or the path in a body; `retry_at_ms` is the
    clock reading from which a retry makes sense, or None.
    """

    __slots__ = ("reason", "outcome", "detail", "field", "retry_at_ms")

    def __init__(
        self, reason, detail, outcome=Outcome.NOT_RUN, field=None, retry_at_ms=None
    ):
        self.reason = reason
        self.detail = detail
        self.outcome = outcome
        self.field = field
        self.retry_at_ms = retry_at_ms

    def combined_with(self, other):
        """Combine this failure with that of a later attempt of the same request.

        Return the later one, unless only the earlier attempt may have run. An earlier
        `SUPERSEDED` then gives way to the later reason, with the outcome unknown.
        """
        if self.outcome is Outcome.NOT_RUN or other.outcome is Outcome.UNKNOWN:
            return other
        if self.reason is SUPERSEDED:
            return Failure(other.reason, other.detail, Outcome.UNKNOWN)
        return self

    def __repr__(self):
        return f"<Failure {self.reason.name} {self.outcome.value}: {self.detail}>"


class AnsweredFailure(Failure):
    """An error answer of a backend server, which is passed on to the caller."""

    __slots__ = ("answer",)

    def __init__(self, reason, detail, outcome, answer):
        super().__init__(reason, detail, outcome)
        self.answer = answer


class RestRefused(Failure):
    """The answer of a backend server that it has no rest of a stream to send."""

    __slots__ = ()


def is_failure(value):
    """Return whether a value is a failure."""
    return isinstance(value, Failure)
