"""Messages that members send one another."""

LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"


class Member:
    """A router or controller as known here.

    `incarnation` grows with each start of the process; `heartbeat` with each
    gossip round of it; `heard_ms` is the local clock reading of the last news.
    """

    __slots__ = (
        "name",
        "role",
        "address",
        "zone",
        "incarnation",
        "heartbeat",
        "state",
        "heard_ms",
    )

    def __init__(self, name, role, address, zone, incarnation, heartbeat, state):
        self.name = name
        self.role = role
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.heartbeat = heartbeat
        self.state = state
        self.heard_ms = 0.0

    @classmethod
    def from_json(cls, data):
        """Build a member from its wire form."""
        return cls(
            data["name"],
            data["role"],
            data["address"],
            data["zone"],
            data["incarnation"],
            data["heartbeat"],
            data["state"],
        )

    def to_json(self):
        """Return the wire form, without local knowledge."""
        names = ("name", "role", "address", "zone", "incarnation", "heartbeat", "state")
        return {name: getattr(self, name) for name in names}

    def is_newer_than(self, other):
        """Return whether this news replaces other news of the same member."""
        mine = (self.incarnation, self.heartbeat, self.state == LEAVING)
        return mine > (other.incarnation, other.heartbeat, other.state == LEAVING)
