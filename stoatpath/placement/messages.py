"""Messages of placement: engine views, replica demand, plans and orders."""

SERVE = "serve"


class EngineView:
    """An engine as described by its own load report.

    An engine is a backend server that runs versions of a model. `capacity` is the
    number of versions that it can hold, `slots` the number of requests that it can run
    at once, `versions` those that it holds, `ordered` those that it should hold by the
    last order it accepted, `running_by_version` the number of requests running on each.
    """

    __slots__ = (
        "name",
        "zone",
        "address",
        "pool",
        "capacity",
        "slots",
        "versions",
        "ordered",
        "running_by_version",
        "is_leaving",
    )

    def __init__(self, name, zone, address, pool, capacity, slots, versions):
        self.name = name
        self.zone = zone
        self.address = address
        self.pool = pool
        self.capacity = capacity
        self.slots = slots
        self.versions = frozenset(versions)
        self.ordered = self.versions
        self.running_by_version = {}
        self.is_leaving = False

    @classmethod
    def from_report(cls, entry, report):
        """Build a view from a list entry and a load report."""
        view = cls(
            entry.name,
            entry.zone,
            entry.address,
            entry.serves,
            report.get("capacity", len(report["versions"])),
            report["slots"],
            report["versions"],
        )
        view.running_by_version = report.get("running_by_version", {})
        view.is_leaving = report["leaving"] or entry.state != "live"
        if report.get("is_loading", False):
            view.ordered = frozenset(report["ordered"])
        return view


class ReplicaDemand:
    """The desired number of replicas and zones of one open version."""

    __slots__ = ("version", "replicas", "zones")

    def __init__(self, version, replicas, zones):
        self.version = version
        self.replicas = replicas
        self.zones = zones


class EnginePlan:
    """The complete set of versions that one engine should hold, and the reason."""

    __slots__ = ("engine", "versions", "reason")

    def __init__(self, engine, versions, reason):
        self.engine = engine
        self.versions = frozenset(versions)
        self.reason = reason


class Order:
    """The complete desired state of one engine.

    `not_after_ms` is Unix time; an engine ignores an order that arrives later.
    """

    __slots__ = ("order_id", "fencing", "versions", "role", "not_after_ms")

    def __init__(self, order_id, fencing, versions, role, not_after_ms):
        self.order_id = order_id
        self.fencing = fencing
        self.versions = versions
        self.role = role
        self.not_after_ms = not_after_ms

    def to_json(self):
        """Return the wire form."""
        return {name: getattr(self, name) for name in self.__slots__}
