"""Messages of the plan of a request."""


class Stage:
    """One version that a request may run on.

    `accept_at` is the rating from which its answer is good enough; the last
    stage of a plan is accepted unrated.
    """

    __slots__ = ("version", "accept_at")

    def __init__(self, version, accept_at):
        self.version = version
        self.accept_at = accept_at


class Plan:
    """The stages in order, and why the plan starts where it does."""

    __slots__ = ("stages", "reason")

    def __init__(self, stages, reason):
        self.stages = stages
        self.reason = reason


class StageResult:
    """What one stage ran: version, tokens, price, and rating or None."""

    __slots__ = ("version", "tokens", "cost", "rating")

    def __init__(self, version, tokens, cost, rating):
        self.version = version
        self.tokens = tokens
        self.cost = cost
        self.rating = rating

    def to_json(self):
        """Return the form used in billing records and logs."""
        return {name: getattr(self, name) for name in self.__slots__}
