"""The explanation of one request."""

from stoatpath.explanations.rings import Decision


class Explanation:
    """The decisions of one instance about a request, in order."""

    __slots__ = ("request_id", "instance", "decisions")

    def __init__(self, request_id, instance, decisions):
        self.request_id = request_id
        self.instance = instance
        self.decisions = decisions

    @classmethod
    def from_json(cls, data):
        """Build an explanation from its wire form."""
        decisions = [Decision.from_json(each) for each in data["decisions"]]
        return cls(data["request_id"], data["instance"], decisions)

    def to_json(self):
        """Return the wire form."""
        return {
            "request_id": self.request_id,
            "instance": self.instance,
            "decisions": [decision.to_json() for decision in self.decisions],
        }
