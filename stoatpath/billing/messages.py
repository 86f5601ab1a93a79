"""Billing records, batches of records, and the messages that copy them to peers."""


class BillingRecord:
    """The cost of one answered request, keyed by the request identifier.

    `stages` are the runs of models that the request needed, each with its own cost.
    """

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
        """Build the record of a request that was answered in full."""
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


class Source:
    """One run of a router process, which numbers its batches from 1.

    `owner` is the name of the router, `incarnation` its start time in Unix ms.
    """

    __slots__ = ("owner", "incarnation")

    def __init__(self, owner, incarnation):
        self.owner = owner
        self.incarnation = incarnation

    @property
    def key(self):
        """Return the name used in row keys."""
        return f"{self.owner}.{self.incarnation}"


class Batch:
    """An immutable list of records in their stored form, with a sequence number."""

    __slots__ = ("sequence", "records")

    def __init__(self, sequence, records):
        self.sequence = sequence
        self.records = records

    @classmethod
    def from_json(cls, data):
        """Build a batch from its wire form."""
        return cls(int(data["sequence"]), list(data["records"]))

    def to_json(self):
        """Return the wire form."""
        return {"sequence": self.sequence, "records": self.records}


class MirrorMessage:
    """Batches of a source to hold; all below `lowest_unwritten` are in the ledger."""

    __slots__ = ("source", "lowest_unwritten", "batches")

    def __init__(self, source, lowest_unwritten, batches):
        self.source = source
        self.lowest_unwritten = lowest_unwritten
        self.batches = batches

    @classmethod
    def from_json(cls, data):
        """Build a message from its wire form."""
        source = Source(str(data["owner"]), int(data["incarnation"]))
        batches = [Batch.from_json(each) for each in data["batches"]]
        return cls(source, int(data["lowest"]), batches)

    def to_json(self):
        """Return the wire form."""
        return {
            "owner": self.source.owner,
            "incarnation": self.source.incarnation,
            "lowest": self.lowest_unwritten,
            "batches": [batch.to_json() for batch in self.batches],
        }
