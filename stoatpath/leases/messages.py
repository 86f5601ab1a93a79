"""Messages of leases: the row of a shard, and writes to it."""

LEASE_PREFIX = "leases/"


def lease_key(shard):
    """Return the row key of a shard."""
    return f"{LEASE_PREFIX}{shard:04d}"


class LeaseRow:
    """The stored lease of a shard. `nonce` identifies the write that made the row.

    `fencing` is the fencing token, which increases with each claim; `is_released`
    says that the holder released the lease before it expired.
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
    """A conditional write: it applies only while the row has `row_version`.

    `sent_ms` is the clock reading before the write was sent.
    """

    __slots__ = ("row_version", "row", "sent_ms")

    def __init__(self, row_version, row, sent_ms):
        self.row_version = row_version
        self.row = row
        self.sent_ms = sent_ms
