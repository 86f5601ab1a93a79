"""Messages of leases: the row of a shard, and writes to it."""

LEASE_PREFIX = "leases/"


def lease_key(shard):
    """Return the row key of a shard."""
    return f"{LEASE_PREFIX}{shard:04d}"


class LeaseRow:
    """Who holds a shard. `nonce` names the write that made the row.

    `fencing` grows with each claim; `is_released` says that the holder gave the
    shard up before its lease ended.
    """

    __slots__ = ("holder", "fencing", "nonce", "is_released")

    def __init__(self, holder, fencing, nonce, is_released=False):
        self.holder = holder
        self.fencing = fencing
        self.nonce = nonce
        self.is_released = is_released

    @classmethod
    def from_json(cls, data):
        """Build a row from its stored form."""
        return cls(
            data["holder"],
            data["fencing"],
            data["nonce"],
            data.get("is_released", False),
        )

    def to_json(self):
        """Return the stored form."""
        return {name: getattr(self, name) for name in self.__slots__}


class LeaseWrite:
    """A conditional write: applies only while the row has `row_version`.

    `asked_ms` is the clock reading before the write was sent.
    """

    __slots__ = ("row_version", "row", "asked_ms")

    def __init__(self, row_version, row, asked_ms):
        self.row_version = row_version
        self.row = row
        self.asked_ms = asked_ms
