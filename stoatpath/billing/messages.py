"""Billing records."""


class BillingRecord:
    """What one request cost, keyed by its identifier; all stages are in it."""

    __slots__ = (
        "request_id",
        "organisation",
        "service",
        "purpose",
        "stages",
        "cost",
        "billed_at_ms",
    )

    def __init__(
        self, request_id, organisation, service, purpose, stages, cost, billed_at_ms
    ):
        self.request_id = request_id
        self.organisation = organisation
        self.service = service
        self.purpose = purpose
        self.stages = stages
        self.cost = cost
        self.billed_at_ms = billed_at_ms

    @classmethod
    def from_served(cls, request, served, wall_ms):
        """Build the record of a request that got a whole answer."""
        stages = [stage.to_json() for stage in served.stages]
        return cls(
            request.request_id,
            request.organisation.name,
            request.service.name,
            request.purpose.name,
            stages,
            served.cost,
            wall_ms,
        )

    def to_json(self):
        """Return the stored form."""
        return {name: getattr(self, name) for name in self.__slots__}
