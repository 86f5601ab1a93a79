"""Load plans: the mix of requests, their rate, and the faults to inject."""

import pyjson5

from stoatpath.standins.faults import Fault

MAX_SECONDS = 60
MAX_REQUESTS = 10_000
KIND_DEFAULTS = {
    "method": "POST",
    "path": "",
    "service": "",
    "purpose": "",
    "max_tokens": 24,
    "stream": False,
    "keyed": False,
}


class RequestKind:
    """One kind of request; `share` is its weight relative to the other kinds.

    With a `service` it is a chat completion, else a call of `path`.
    """

    __slots__ = ("label", "share", "organisation", *KIND_DEFAULTS)

    @classmethod
    def from_json(cls, data):
        """Build a request kind from its entry in a plan."""
        kind = cls()
        for name in ("label", "share", "organisation"):
            setattr(kind, name, data[name])
        for name, default in KIND_DEFAULTS.items():
            setattr(kind, name, data.get(name, default))
        return kind


class PlannedFault:
    """A fault injected at a time into all stand-ins whose name has a prefix."""

    __slots__ = ("at_s", "name_prefix", "fault")

    def __init__(self, at_s, name_prefix, fault):
        self.at_s = at_s
        self.name_prefix = name_prefix
        self.fault = fault

    @classmethod
    def from_json(cls, data):
        """Build a fault from its entry in a plan."""
        fault = Fault(
            data["operation"],
            data["kind"],
            data.get("count", 1),
            data.get("delay_ms", 0),
        )
        return cls(data["at_s"], data["backends"], fault)


class LoadPlan:
    """The requests and faults of a load run, bounded in duration and in requests."""

    __slots__ = ("seconds", "rate_per_s", "seed", "kinds", "faults")

    def __init__(self, seconds, rate_per_s, seed, kinds, faults):
        self.seconds = seconds
        self.rate_per_s = rate_per_s
        self.seed = seed
        self.kinds = kinds
        self.faults = faults

    @classmethod
    def from_file(cls, path):
        """Read a plan; raise ValueError if it exceeds the limits."""
        with open(path, encoding="utf-8") as file:
            data = pyjson5.decode_io(file)
        plan = cls(
            data["seconds"],
            data["rate_per_s"],
            data.get("seed", 1),
            [RequestKind.from_json(item) for item in data["mix"]],
            [PlannedFault.from_json(item) for item in data.get("faults", ())],
        )
        if plan.seconds > MAX_SECONDS:
            raise ValueError(f"seconds = {plan.seconds}: at most {MAX_SECONDS}")
        if plan.seconds * plan.rate_per_s > MAX_REQUESTS:
            raise ValueError(f"seconds * rate_per_s: at most {MAX_REQUESTS} requests")
        return plan
