"""What is known of a request over all its attempts."""

from stoatpath.outcomes import (
    BROKEN_ANSWER,
    FOREIGN_ANSWER,
    SILENT_CONNECTION,
    UNPROVEN_END,
    AnsweredFailure,
    Outcome,
    RestRefused,
)

CONNECTION_FAULTS = (BROKEN_ANSWER, FOREIGN_ANSWER, SILENT_CONNECTION)


class RequestState:
    """State of one request over all its attempts.

    `unproven_answer` is a stream that ended with its connection, or whose rest is empty
    at one backend server, or None. It counts as whole if the route allows no run that
    could tell, nobody else can be asked, or a backend server refuses to send a rest;
    otherwise its caller may resume it, and have its end proved. `empty_rest_names` are
    the backend servers that sent no event after the last one.
    """

    __slots__ = (
        "request",
        "version",
        "relay",
        "min_confidence",
        "tried_names",
        "fresh_retry_names",
        "sent_count",
        "worst_failure",
        "unproven_answer",
        "had_false_end",
        "empty_rest_names",
    )

    def __init__(self, request, version, relay, min_confidence):
        self.request = request
        self.version = version
        self.relay = relay
        self.min_confidence = min_confidence
        self.tried_names = set()
        self.fresh_retry_names = set()
        self.sent_count = 0
        self.worst_failure = None
        self.unproven_answer = None
        self.had_false_end = False
        self.empty_rest_names = set()

    @property
    def has_unproven_answer(self):
        """Return whether an answer may be whole, and nothing speaks against it."""
        return self.unproven_answer is not None and not self.relay.has_more

    def record_failure(self, attempt, failure):
        """Record a failed attempt.

        After a fault of a pooled connection the backend server may be tried once more
        on a fresh connection: the pooled one may have been stale. One that may have
        ended a stream has its prompt, and may be asked for the rest.
        """
        name = attempt.backend.name
        if attempt.events and self.unproven_answer is not None:
            self.had_false_end = True
            self.unproven_answer = None
        if attempt.events:
            self.empty_rest_names.clear()
        if failure.reason is UNPROVEN_END:
            self._record_unproven_end(attempt, failure)
        elif not isinstance(failure, RestRefused):
            self.unproven_answer = None
        if attempt.was_pooled and failure.reason in CONNECTION_FAULTS:
            self.fresh_retry_names.add(name)
            self.tried_names.discard(name)
        if failure.reason in CONNECTION_FAULTS and not attempt.events:
            self.request.lost_runs += failure.outcome is not Outcome.NOT_RUN
            is_beginning = attempt.has_begun and self.relay is not None
            self.request.lost_beginnings += is_beginning
        self.worst_failure = (
            failure
            if self.worst_failure is None
            else self.worst_failure.combined_with(failure)
        )

    def _record_unproven_end(self, attempt, failure):
        name = attempt.backend.name
        if attempt.is_empty_rest:
            self.empty_rest_names.add(name)
        else:
            self.tried_names.discard(name)
        # Where ends have been cuts, only a proven one counts.
        is_believable = isinstance(failure, AnsweredFailure) and not self.had_false_end
        self.unproven_answer = failure.answer if is_believable else None
