"""Messages of the platform's table service and of its instance list.

Rows have a key, a JSON value and a version that grows with each write. Version 0
means that the row does not exist.
"""


class Row:
    """A row as read: key, version and JSON value."""

    __slots__ = ("key", "version", "value")

    def __init__(self, key, version, value):
        self.key = key
        self.version = version
        self.value = value

    @classmethod
    def from_json(cls, data):
        """Build a row from its wire form."""
        return cls(str(data["key"]), int(data["version"]), data["value"])


class Condition:
    """The version that a row must have for a transaction to apply."""

    __slots__ = ("key", "version")

    def __init__(self, key, version):
        self.key = key
        self.version = version

    def to_json(self):
        """Return the wire form."""
        return {"key": self.key, "version": self.version}


class Put:
    """Writes a JSON value to a row."""

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value

    def to_json(self):
        """Return the wire form."""
        return {"key": self.key, "value": self.value}


class Transaction:
    """Conditions and writes that apply atomically.

    `deletes` holds keys of rows to remove; a removed row has version 0 again.
    """

    __slots__ = ("conditions", "puts", "deletes")

    def __init__(self, conditions, puts, deletes=()):
        self.conditions = conditions
        self.puts = puts
        self.deletes = deletes

    def to_json(self):
        """Return the wire form."""
        return {
            "conditions": [condition.to_json() for condition in self.conditions],
            "puts": [put.to_json() for put in self.puts],
            "deletes": list(self.deletes),
        }

    def took_effect_in(self, rows_by_key):
        """Return whether the rows show that this transaction took effect.

        The result is reliable only if each row with a condition is also written,
        with a value that no other writer writes.
        """
        written = {put.key: put.value for put in self.puts}
        return bool(self.conditions) and all(
            condition.key in written
            and rows_by_key[condition.key].version == condition.version + 1
            and rows_by_key[condition.key].value == written[condition.key]
            for condition in self.conditions
        )


class Applied:
    """The transaction took effect."""

    __slots__ = ()


class Rejected:
    """A condition failed; `rows_by_key` holds the current rows that have conditions."""

    __slots__ = ("rows_by_key",)

    def __init__(self, rows_by_key):
        self.rows_by_key = rows_by_key


class ListedInstance:
    """An entry of the platform's instance list.

    `role` is `router`, `controller`, or for backend servers `engine` or `service`;
    `serves` names the model or service of a backend server; `state` is `live` or
    `leaving`.
    """

    __slots__ = ("name", "role", "address", "zone", "serves", "state")

    def __init__(self, name, role, address, zone, serves, state):
        self.name = name
        self.role = role
        self.address = address
        self.zone = zone
        self.serves = serves
        self.state = state

    @classmethod
    def from_json(cls, data):
        """Build an entry from its wire form."""
        return cls(
            data["name"],
            data["role"],
            data["address"],
            data["zone"],
            data.get("serves", ""),
            data.get("state", "live"),
        )

    def to_json(self):
        """Return the wire form."""
        return {name: getattr(self, name) for name in self.__slots__}
