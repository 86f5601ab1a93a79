"""Typed views of the documents of a configuration."""

ACTIVE = "active"
WITHDRAWN = "withdrawn"
SUSPENDED = "suspended"
MODEL_SERVICE = "model"
PLAIN_SERVICE = "plain"


class Version:
    """One version of a model; `name` has the form `model@version`.

    `cost` is the price of 1,000 tokens. `trial` is the number of the trial; operators
    raise it to try the version again after a suspension.
    """

    __slots__ = ("name", "model", "cost", "state", "trial")

    def __init__(self, name, model, cost, state, trial=1):
        self.name = name
        self.model = model
        self.cost = cost
        self.state = state
        self.trial = trial


class Model:
    """A model, the current version for new work, and all versions by name."""

    __slots__ = ("name", "current", "by_version")

    def __init__(self, name, current, by_version):
        self.name = name
        self.current = current
        self.by_version = by_version

    @classmethod
    def from_document(cls, name, body):
        """Build a model from a validated document."""
        by_version = {}
        for label, version in body["versions"].items():
            full_name = f"{name}@{label}"
            cost = version.get("cost", body["cost"])
            state = version.get("state", ACTIVE)
            trial = version.get("trial", 1)
            by_version[full_name] = Version(full_name, name, cost, state, trial)
        return cls(name, f"{name}@{body['current']}", by_version)


class Purpose:
    """The requirements of a kind of request: quality from 0 to 1, and a timeout.

    `is_short` tells admission that its requests are short work.
    """

    __slots__ = ("name", "quality", "timeout_ms", "is_short", "is_repeatable")

    def __init__(self, name, quality, timeout_ms, is_short, is_repeatable):
        self.name = name
        self.quality = quality
        self.timeout_ms = timeout_ms
        self.is_short = is_short
        self.is_repeatable = is_repeatable

    @classmethod
    def from_document(cls, name, body):
        """Build a purpose from its part of a validated service document."""
        return cls(
            name,
            body.get("quality", 0.0),
            body["timeout_ms"],
            body.get("short", False),
            body.get("repeatable", True),
        )


class Objective:
    """The weights of one second of latency and of one bad answer, in cost units."""

    __slots__ = ("latency_weight", "exposure_weight")

    def __init__(self, latency_weight, exposure_weight):
        self.latency_weight = latency_weight
        self.exposure_weight = exposure_weight


class Service:
    """A service that callers name.

    A model service answers with the models of its `cascade`, cheapest first; a plain
    one has backend servers of its own and no models.
    """

    __slots__ = (
        "name",
        "kind",
        "cascade",
        "by_purpose",
        "default_purpose",
        "repeatable_methods",
        "objective",
        "cost_per_call",
    )

    def __init__(
        self,
        name,
        kind,
        cascade,
        by_purpose,
        default_purpose,
        repeatable_methods,
        objective,
        cost_per_call,
    ):
        self.name = name
        self.kind = kind
        self.cascade = cascade
        self.by_purpose = by_purpose
        self.default_purpose = default_purpose
        self.repeatable_methods = repeatable_methods
        self.objective = objective
        self.cost_per_call = cost_per_call

    @classmethod
    def from_document(cls, name, body):
        """Build a service from a validated document."""
        by_purpose = {
            purpose: Purpose.from_document(purpose, part)
            for purpose, part in body["purposes"].items()
        }
        objective = body.get("objective", {})
        return cls(
            name,
            body["kind"],
            tuple(body.get("cascade", ())),
            by_purpose,
            body["default_purpose"],
            frozenset(body.get("repeatable_methods", ("GET", "HEAD"))),
            Objective(
                objective.get("latency_weight", 0.0),
                objective.get("exposure_weight", 0.0),
            ),
            body.get("cost_per_call", 0.0),
        )


class CallerKey:
    """The salted hash of one caller key."""

    __slots__ = ("key_id", "salt", "digest")

    def __init__(self, key_id, salt, digest):
        self.key_id = key_id
        self.salt = salt
        self.digest = digest


class Organisation:
    """A customer: its fair-share weight, rate limit, keys and permissions.

    `allowed_by_service` maps a service to the entries allowed there: a model
    name for all its versions, or `model@version` for one.
    """

    __slots__ = ("name", "weight", "rate_per_s", "keys_by_id", "allowed_by_service")

    def __init__(self, name, weight, rate_per_s, keys_by_id, allowed_by_service):
        self.name = name
        self.weight = weight
        self.rate_per_s = rate_per_s
        self.keys_by_id = keys_by_id
        self.allowed_by_service = allowed_by_service

    @classmethod
    def from_rendered(cls, name, body):
        """Build an organisation from its rendered template."""
        keys_by_id = {
            key_id: CallerKey(key_id, key["salt"], key["sha256"])
            for key_id, key in body["keys"].items()
        }
        allowed = {
            service: frozenset(entries) for service, entries in body["allowed"].items()
        }
        return cls(name, body["weight"], body["rate_per_s"], keys_by_id, allowed)

    def allows(self, service, version):
        """Return whether work for a service may run on a version."""
        allowed = self.allowed_by_service.get(service, ())
        return version.name in allowed or version.model in allowed
