"""Messages of roll-outs: plans, steps, verdicts and rating counts."""

# States of a version's roll-out: running or halted; halting sends new work back to the
# replaced version. States of a release's order: running, completed or rolled back.
RUNNING = "running"
HALTED = "halted"
COMPLETED = "completed"
ROLLED_BACK = "rolled-back"
RATING_LEVELS = 21
DEFAULT_MIN_RATINGS = 200
DEFAULT_STEP_MS = 600_000
DEFAULT_TOLERANCE = 0.05
DEFAULT_RATING_SHARE = 0.5


class Rollout:
    """A configured roll-out.

    `version` is the full name of the new version; `steps` are shares of new
    sessions, from 0 to 1; `min_ratings` and `step_ms` must be reached before the
    next step; `tolerance` is the drop in quality that is still acceptable;
    `rating_share` the share of the new version's answers that are rated.
    """

    __slots__ = (
        "name",
        "model",
        "version",
        "steps",
        "min_ratings",
        "step_ms",
        "tolerance",
        "rating_share",
        "is_halted",
    )

    def __init__(
        self,
        name,
        model,
        version,
        steps,
        min_ratings=DEFAULT_MIN_RATINGS,
        step_ms=DEFAULT_STEP_MS,
        tolerance=DEFAULT_TOLERANCE,
        rating_share=DEFAULT_RATING_SHARE,
        is_halted=False,
    ):
        self.name = name
        self.model = model
        self.version = version
        self.steps = steps
        self.min_ratings = min_ratings
        self.step_ms = step_ms
        self.tolerance = tolerance
        self.rating_share = rating_share
        self.is_halted = is_halted

    @classmethod
    def from_document(cls, name, body):
        """Build a roll-out from a validated document."""
        return cls(
            name,
            body["model"],
            f"{body['model']}@{body['to']}",
            tuple(body["steps"]),
            body.get("min_ratings", DEFAULT_MIN_RATINGS),
            body.get("step_ms", DEFAULT_STEP_MS),
            body.get("tolerance", DEFAULT_TOLERANCE),
            body.get("rating_share", DEFAULT_RATING_SHARE),
            body.get("state", RUNNING) == HALTED,
        )

    def has_same_definition(self, other):
        """Return whether two roll-outs are equal in all fields, also `is_halted`."""
        return all(
            getattr(self, name) == getattr(other, name) for name in self.__slots__
        )


class Step:
    """The step in force for the roll-out of a version in one of its trials.

    A trial is a numbered attempt to roll the version out. `index` is that of the step
    in force. At `len(steps)` the roll-out is complete and only its configuration
    remains to be changed.
    """

    __slots__ = ("version", "trial", "index")

    def __init__(self, version, trial, index):
        self.version = version
        self.trial = trial
        self.index = index

    @classmethod
    def from_json(cls, data):
        """Build a step from its wire form."""
        return cls(data["version"], data["trial"], data["index"])

    def to_json(self):
        """Return the wire form."""
        return {name: getattr(self, name) for name in self.__slots__}

    def is_after(self, other):
        """Return whether this step replaces another of the same version."""
        return (self.trial, self.index) > (other.trial, other.index)


class Verdict:
    """The decision to suspend one trial of a version, with its reason."""

    __slots__ = ("version", "trial", "reason", "at_ms")

    def __init__(self, version, trial, reason, at_ms):
        self.version = version
        self.trial = trial
        self.reason = reason
        self.at_ms = at_ms

    @classmethod
    def from_json(cls, data):
        """Build a verdict from its wire form; unknown fields are ignored."""
        return cls(
            data["version"],
            data["trial"],
            data.get("reason", ""),
            data.get("at_ms", 0),
        )

    def to_json(self):
        """Return the wire form."""
        return {name: getattr(self, name) for name in self.__slots__}


class Arm:
    """One arm of the comparison: a version in one trial, for one purpose."""

    __slots__ = ("rollout", "trial", "version", "purpose")

    def __init__(self, rollout, trial, version, purpose):
        self.rollout = rollout
        self.trial = trial
        self.version = version
        self.purpose = purpose

    @property
    def key(self):
        """Return the hashable form."""
        return self.rollout, self.trial, self.version, self.purpose


class Source:
    """The process that counted: a router and its incarnation."""

    __slots__ = ("router", "incarnation")

    def __init__(self, router, incarnation):
        self.router = router
        self.incarnation = incarnation

    @property
    def key(self):
        """Return the hashable form."""
        return self.router, self.incarnation


class Cell:
    """The counts of one source for one arm. They never decrease.

    `levels[i]` counts ratings of `i / (RATING_LEVELS - 1)`; `served` counts all
    requests that ran, rated or not.
    """

    __slots__ = ("source", "arm", "levels", "served")

    def __init__(self, source, arm, levels=None, served=0):
        self.source = source
        self.arm = arm
        self.levels = levels or [0] * RATING_LEVELS
        self.served = served

    @classmethod
    def from_json(cls, data):
        """Build a cell from its wire form; levels that are absent count 0."""
        levels = [0] * RATING_LEVELS
        for level, count in data["levels"].items():
            if 0 <= int(level) < RATING_LEVELS:
                levels[int(level)] = count
        arm = Arm(data["rollout"], data["trial"], data["version"], data["purpose"])
        source = Source(data["router"], data["incarnation"])
        return cls(source, arm, levels, data.get("served", 0))

    def to_json(self):
        """Return the wire form, without the levels that count 0."""
        return {
            "router": self.source.router,
            "incarnation": self.source.incarnation,
            "rollout": self.arm.rollout,
            "trial": self.arm.trial,
            "version": self.arm.version,
            "purpose": self.arm.purpose,
            "levels": {
                str(level): count for level, count in enumerate(self.levels) if count
            },
            "served": self.served,
        }


class ReleaseOrder:
    """An operator's order to move a service to a release within a given time.

    `version` is the number of its row's version in the store and identifies the order
    within one `era` of the store.
    """

    __slots__ = ("service", "release", "duration_ms", "version", "era")

    def __init__(self, service, release, duration_ms, version, era=0):
        self.era = era
        self.service = service
        self.release = release
        self.duration_ms = duration_ms
        self.version = version

    def has_same_content(self, other):
        """Return whether another order asks for the same."""
        return (self.release, self.duration_ms) == (other.release, other.duration_ms)


class ReleaseStatus:
    """The state of an order: running, completed or rolled back.

    `started_ms` is a reading of the store's monotonic clock, `writer` the instance
    that wrote the status, `version` that of its row (0 before the first write).
    """

    __slots__ = (
        "service",
        "release",
        "state",
        "order_version",
        "started_ms",
        "writer",
        "reason",
        "version",
    )

    def __init__(
        self,
        service,
        release,
        state,
        order_version,
        started_ms,
        writer,
        reason="",
        version=0,
    ):
        self.service = service
        self.release = release
        self.state = state
        self.order_version = order_version
        self.started_ms = started_ms
        self.writer = writer
        self.reason = reason
        self.version = version
