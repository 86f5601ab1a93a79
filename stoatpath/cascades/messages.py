"""Data types of plans, stages and ratings."""


class PlanQuery:
    """The properties of a request that its plan depends on.

    `opens_session` is true when later requests of the session will stay on the
    version that answers this one.
    """

    __slots__ = (
        "service",
        "purpose",
        "is_repeatable",
        "is_stream",
        "opens_session",
        "deadline_ms",
    )

    def __init__(
        self, service, purpose, is_repeatable, is_stream, opens_session, deadline_ms
    ):
        self.service = service
        self.purpose = purpose
        self.is_repeatable = is_repeatable
        self.is_stream = is_stream
        self.opens_session = opens_session
        self.deadline_ms = deadline_ms

    @classmethod
    def from_request(cls, request, pin):
        """Build the query of a caller request with its pin or None."""
        return cls(
            request.service,
            request.purpose,
            request.is_repeatable,
            request.is_stream,
            bool(request.session) and pin is None,
            request.deadline_ms,
        )


class Stage:
    """One version that a request may run on.

    `accept_threshold` is the lowest rating, or confidence, at which its answer is
    accepted. None accepts any answer without waiting for its rating.
    """

    __slots__ = ("version", "accept_threshold")

    def __init__(self, version, accept_threshold):
        self.version = version
        self.accept_threshold = accept_threshold


class Plan:
    """The stages in order, and the reason for the choice of the first one."""

    __slots__ = ("stages", "reason")

    def __init__(self, stages, reason):
        self.stages = stages
        self.reason = reason


class StageResult:
    """The result of one stage; `rating` is None when it was not rated in time."""

    __slots__ = ("version", "tokens", "cost", "rating")

    def __init__(self, version, tokens, cost, rating):
        self.version = version
        self.tokens = tokens
        self.cost = cost
        self.rating = rating

    def to_json(self):
        """Return the form used in billing records and logs."""
        return {name: getattr(self, name) for name in self.__slots__}


class RatedAnswer:
    """The rating of an answer, received in time for its request or later.

    `service`, `purpose` and `version` are objects of the configuration.
    `accept_threshold` is the lowest rating that ends the cascade, at least the
    target. `is_escalated` is true when an earlier stage has answered.
    """

    __slots__ = (
        "service",
        "purpose",
        "version",
        "rating",
        "accept_threshold",
        "is_escalated",
    )

    def __init__(
        self, service, purpose, version, rating, accept_threshold, is_escalated
    ):
        self.service = service
        self.purpose = purpose
        self.version = version
        self.rating = rating
        self.accept_threshold = accept_threshold
        self.is_escalated = is_escalated

    @property
    def target(self):
        """Return the quality target of the purpose."""
        return self.purpose.quality
