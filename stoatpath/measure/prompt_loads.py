"""Prompts of very different length over many instances that choose by themselves.

Each instance runs the router's own choice of a backend server and knows only what it
sent itself; answers of the smallest model are dropped at their head as often as in the
deployments of the pages, and a larger model runs.
"""

import random
from collections import Counter

from stoatpath.cascades.confidence import ModelChoice
from stoatpath.measure.events import EventQueue
from stoatpath.measure.prompt_engines import PromptEngine, PromptJob
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import is_failure
from stoatpath.routing.affinity import AffinityChooser, AffinityQuery

SERVICE = "desk-assist"
# Paces and costs of the models in the deployments of the pages.
SMALL = (ModelChoice("small", 0.02, 1.0), 0.3)
LARGE = (ModelChoice("large", 0.3, 15.0), 3.0)
UNSURE_PART = 0.42
# Requests come in groups of this many on average, within a short time.
GROUP = 3.0
GROUP_MS = 60.0


class PromptKind:
    """A kind of request; `per_s` of them come, from `things` shared prompts.

    `worth` is what an answer in time is worth, `late_worth` a later one.
    """

    __slots__ = (
        "name",
        "per_s",
        "shared_tokens",
        "own_tokens",
        "new_tokens",
        "things",
        "target_ms",
        "worth",
        "late_worth",
    )

    def __init__(self, name, per_s, shared, own, new, things, target_ms, worths):
        self.name = name
        self.per_s = per_s
        self.shared_tokens = shared
        self.own_tokens = own
        self.new_tokens = new
        self.things = things
        self.target_ms = target_ms
        self.worth, self.late_worth = worths


# The kinds of a sheet with long, middle and short prompts.
KINDS = (
    PromptKind("long", 9.2, 5_382, 6_610, 384, 104, 3_000, (5.2, 1.6)),
    PromptKind("short", 18.7, 198, 628, 294, 320, 1_000, (1.8, 0.55)),
    PromptKind("middle", 14.8, 568, 1_800, 24, 382, 1_500, (0.51, 0.15)),
)


class PromptLoad:
    """A deployment under load; `run` returns what became of the requests.

    `scale` multiplies the rates; `lost_at_ms` is when an engine is lost, or None.
    `make_chooser` builds the choice of an instance from its zone and chance.
    """

    __slots__ = (
        "events",
        "engines_by_name",
        "instances",
        "counts",
        "_random",
        "_scale",
        "_seconds",
        "_lost_at_ms",
    )

    def __init__(
        self,
        seed,
        scale=1.0,
        seconds=34.0,
        engines=9,
        instances=7,
        zones=4,
        lost_at_ms=None,
        make_chooser=AffinityChooser,
    ):
        self.events = EventQueue()
        self.counts = Counter()
        self._random = random.Random(seed)
        self._scale = scale
        self._seconds = seconds
        self._lost_at_ms = lost_at_ms
        self.engines_by_name = {
            f"engine-{number}": PromptEngine(f"engine-{number}", self.events)
            for number in range(engines)
        }
        self.instances = [
            _Instance(self, f"zone-{number % zones}", zones, make_chooser, seed)
            for number in range(instances)
        ]

    def run(self):
        """Play the load; return counts by kind of `in time`, `late` and `failed`."""
        for kind in KINDS:
            self._arrange(kind)
        if self._lost_at_ms is not None:
            name = self._random.choice(sorted(self.engines_by_name))
            self.events.schedule(self._lost_at_ms, self._lose, name)
        self.events.run_until((self._seconds + 30.0) * 1_000)
        return self.counts

    def credit(self):
        """Return the credit earned as a part of what was owed."""
        earned = sum(
            kind.worth * self.counts[kind.name, "in time"]
            + kind.late_worth * self.counts[kind.name, "late"]
            for kind in KINDS
        )
        owed = sum(kind.worth * self.counts[kind.name, "asked"] for kind in KINDS)
        return earned / owed

    def late_part(self, name):
        """Return the part of the requests of a kind that was answered late."""
        return self.counts[name, "late"] / max(1, self.counts[name, "asked"])

    def _arrange(self, kind):
        at_ms = 0.0
        per_ms = kind.per_s * self._scale / GROUP / 1_000
        while (at_ms := at_ms + self._random.expovariate(per_ms)) < (
            self._seconds * 1_000
        ):
            size = 1 + int(self._random.expovariate(1 / (GROUP - 1)) + 0.5)
            for _ in range(size):
                due_ms = at_ms + self._random.uniform(0, GROUP_MS)
                self.events.schedule(due_ms, self._ask, kind)

    def _ask(self, kind):
        self.counts[kind.name, "asked"] += 1
        thing = f"{kind.name}-{int(kind.things * self._random.random() ** 1.3)}"
        own = f"own-{self._random.random()}"
        _Request(self, self._random.choice(self.instances), kind, thing, own).send(
            SMALL, self._random.random() < UNSURE_PART
        )

    def _lose(self, name):
        self.engines_by_name[name].lose()
        for instance in self.instances:
            instance.backends = [
                each for each in instance.backends if each.name != name
            ]


class _Instance:
    """What one instance knows: its own choice and its own sends."""

    __slots__ = ("chooser", "backends")

    def __init__(self, load, zone, zones, make_chooser, seed):
        self.chooser = make_chooser(zone, random.Random(seed))
        self.backends = [
            DirectoryBackend(
                ListedBackend(
                    name, SERVICE, name, f"zone-{number % zones}", "v1", 32, False
                ),
                0.0,
            )
            for number, name in enumerate(load.engines_by_name)
        ]


class _Request:
    """One request on its way through one or two models."""

    __slots__ = ("_load", "_instance", "_kind", "_parts", "_asked_ms", "_begun_ms")

    def __init__(self, load, instance, kind, thing, own):
        self._load = load
        self._instance = instance
        self._kind = kind
        self._parts = [(thing, kind.shared_tokens), (own, kind.own_tokens)]
        self._asked_ms = load.events.now_ms
        self._begun_ms = None

    def send(self, model, is_unsure, tried=()):
        """Send it to a model; go up if the answer is unsure, again if it is lost."""
        choice, pace = model
        kind = self._kind
        query = AffinityQuery(
            SERVICE,
            choice.name,
            self._parts[0][0],
            choice.work_for_tokens(kind.shared_tokens),
            tried,
            choice.work_for_tokens(kind.shared_tokens + kind.own_tokens),
        )
        now_ms = self._load.events.now_ms
        chosen = self._instance.chooser.choose(query, self._instance.backends, now_ms)
        if is_failure(chosen):
            self._load.counts[kind.name, "failed"] += 1
            return
        backend = chosen.backend
        pending = [choice.work_for_tokens(kind.shared_tokens + kind.own_tokens)]
        backend.in_flight += 1
        backend.pending_prompt_work += pending[0]

        def on_head(job):
            backend.pending_prompt_work -= pending.pop()
            if not is_unsure and self._begun_ms is None:
                self._begun_ms = self._load.events.now_ms
            return not is_unsure

        def on_end(job):
            backend.in_flight -= 1
            backend.pending_prompt_work -= sum(pending)
            if is_unsure and not pending:
                self.send(LARGE, False)
            elif job.is_whole:
                self._finish()
            else:
                self.send(model, is_unsure, (backend.name,))

        job = PromptJob(
            choice.name, pace, self._parts, kind.new_tokens, on_head, on_end
        )
        self._load.engines_by_name[backend.name].accept(job)

    def _finish(self):
        waited_ms = self._begun_ms - self._asked_ms
        ended = "in time" if waited_ms <= self._kind.target_ms else "late"
        self._load.counts[self._kind.name, ended] += 1
