"""Member records, which members exchange, and entries of backend servers."""

LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"
RANK_BY_STATE = {LIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
MAX_NAME_CHARS = 200


class Member:
    """A router or controller, as known to this process.

    `incarnation` grows with each start of the process and whenever it refutes a
    claim about itself. `has_ended` tells a dead member whose process is known to
    have ended from one that may only be unreachable. Never sent: `state_changed_ms`,
    the clock reading of the last state change, and `dead_at_ms`, the reading at
    which a suspect is declared dead.
    """

    __slots__ = (
        "name",
        "role",
        "address",
        "zone",
        "incarnation",
        "state",
        "state_changed_ms",
        "dead_at_ms",
        "has_ended",
    )

    def __init__(self, name, role, address, zone, incarnation, state):
        self.name = name
        self.role = role
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.state = state
        self.state_changed_ms = 0.0
        self.dead_at_ms = float("inf")
        self.has_ended = False

    @classmethod
    def from_json(cls, data):
        """Build a member from its wire form, or return None if it is malformed.

        Unknown fields are ignored; a missing zone or state gets a default, so that
        members of different releases understand each other.
        """
        if not isinstance(data, dict):
            return None
        texts = [data.get(name, "") for name in ("name", "role", "address", "zone")]
        incarnation = data.get("incarnation")
        state = data.get("state", LIVE)
        if not all(isinstance(text, str) for text in texts):
            return None
        if not 0 < len(texts[0]) <= MAX_NAME_CHARS or not texts[2]:
            return None
        if type(incarnation) is not int or not isinstance(state, str):
            return None
        if incarnation < 0 or state not in RANK_BY_STATE:
            return None
        member = cls(*texts, incarnation, state)
        member.has_ended = state == DEAD and data.get("ended") is True
        return member

    def to_json(self):
        """Return the wire form, without the fields that are never sent."""
        names = ("name", "role", "address", "zone", "incarnation", "state")
        data = {name: getattr(self, name) for name in names}
        if self.has_ended:
            data["ended"] = True
        return data

    def is_newer_than(self, other):
        """Return whether this record replaces another one of the same member."""
        return self._precedence() > other._precedence()

    def _precedence(self):
        return self.incarnation, RANK_BY_STATE[self.state], self.has_ended


def members_from(items):
    """Return the well-formed members of a wire list."""
    if not isinstance(items, list):
        return []
    members = map(Member.from_json, items)
    return [member for member in members if member is not None]


class ListedBackend:
    """A backend server, by its own entry in the platform's store.

    `release` is the version of its software. `born` distinguishes successive
    processes of one name; it is None if the entry lacks it. `cold_left_ms` is for how
    long it still was cold when the entry was written, None if the entry doesn't say.
    `unreadable` lists the optional fields that can't be decoded.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "zone",
        "release",
        "slots",
        "is_leaving",
        "born",
        "cold_left_ms",
        "unreadable",
    )

    def __init__(
        self,
        name,
        service,
        address,
        zone,
        release,
        slots,
        is_leaving,
        born=None,
        cold_left_ms=None,
        unreadable=(),
    ):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.release = release
        self.slots = slots
        self.is_leaving = is_leaving
        self.born = born
        self.cold_left_ms = cold_left_ms
        self.unreadable = unreadable

    def is_same_process(self, other):
        """Return whether another entry of this name is of the same process."""
        return self._identity() == other._identity()

    def _identity(self):
        return self.address, self.born, self.service, self.release, self.zone
