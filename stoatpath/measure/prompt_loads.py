"""Prompts of very different lengths, sent by many independent instances.

Each instance runs the router's own choice of a backend server and knows only the
requests that it sent. Answers of the small model are dropped at their first token as
often as in the reference deployments, and the large model runs instead.
"""

import random
from collections import Counter

from stoatpath.cascades.confidence import ModelChoice
from stoatpath.dispatch.messages import AttemptResult
from stoatpath.measure.events import EventQueue
from stoatpath.measure.prompt_engines import SLOTS, PromptEngine, PromptJob
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import is_failure
from stoatpath.routing.affinity import AffinityChooser, AffinityQuery

SERVICE = "desk-assist"
# Costs and paces of the models in the reference deployments.
SMALL = (ModelChoice("small", 0.02, 1.0), 0.3)
LARGE = (ModelChoice("large", 0.3, 15.0), 3.0)
LOW_CONFIDENCE_SHARE = 0.42
# Requests arrive in groups of this mean size, within a short time span.
MEAN_GROUP_SIZE = 3.0
GROUP_SPAN_MS = 60.0


class PromptKind:
    """A kind of request with its rate, token counts and time limit for the first token.

    Each request has one of `prefix_count` shared prefixes. `value` is the credit for
    an answer within `target_ms`, `late_value` that for a later one.
    """

    __slots__ = (
        "name",
        "per_s",
        "shared_tokens",
        "unique_tokens",
        "answer_tokens",
        "prefix_count",
        "target_ms",
        "value",
        "late_value",
    )

    def __init__(
        self,
        name,
        per_s,
        shared_tokens,
        unique_tokens,
        answer_tokens,
        prefix_count,
        target_ms,
        values,
    ):
        self.name = name
        self.per_s = per_s
        self.shared_tokens = shared_tokens
        self.unique_tokens = unique_tokens
        self.answer_tokens = answer_tokens
        self.prefix_count = prefix_count
        self.target_ms = target_ms
        self.value, self.late_value = values


# The kinds of a reference workload with long, middle and short prompts.
KINDS = (
    PromptKind("long", 9.2, 5_382, 6_610, 384, 104, 3_000, (5.2, 1.6)),
    PromptKind("short", 18.7, 198, 628, 294, 320, 1_000, (1.8, 0.55)),
    PromptKind("middle", 14.8, 568, 1_800, 24, 382, 1_500, (0.51, 0.15)),
)


class PromptLoad:
    """A deployment under load; `run` returns the outcomes of the requests.

    `scale` multiplies the rates; `crash_at_ms` is when an engine crashes, or None.
    `make_chooser` builds the chooser of an instance from its zone and generator.
    `deadline_ms` is the longest time of a request.
    """

    __slots__ = (
        "events",
        "engines_by_name",
        "instances",
        "counts",
        "deadline_ms",
        "_random",
        "_scale",
        "_seconds",
        "_crash_at_ms",
    )

    def __init__(
        self,
        seed,
        scale=1.0,
        seconds=34.0,
        engines=9,
        instances=7,
        zones=4,
        crash_at_ms=None,
        make_chooser=AffinityChooser,
    ):
        self.events = EventQueue()
        self.counts = Counter()
        self.deadline_ms = float("inf")
        self._random = random.Random(seed)
        self._scale = scale
        self._seconds = seconds
        self._crash_at_ms = crash_at_ms
        self.engines_by_name = {
            f"engine-{number}": self._make_engine(number) for number in range(engines)
        }
        self.instances = [
            _Instance(self, f"zone-{number % zones}", zones, make_chooser, seed)
            for number in range(instances)
        ]

    def run(self):
        """Run the load; return counts by kind of `in time`, `late` and `failed`."""
        for kind in KINDS:
            self._schedule_arrivals(kind)
        if self._crash_at_ms is not None:
            name = self._random.choice(sorted(self.engines_by_name))
            self.events.schedule(self._crash_at_ms, self._crash_engine, name)
        self.events.run_until((self._seconds + 30.0) * 1_000)
        return self.counts

    def credit(self):
        """Return the earned share of the credit for answering all requests in time."""
        earned = sum(
            kind.value * self.counts[kind.name, "in time"]
            + kind.late_value * self.counts[kind.name, "late"]
            for kind in KINDS
        )
        owed = sum(kind.value * self.counts[kind.name, "asked"] for kind in KINDS)
        return earned / owed

    def late_share(self, name):
        """Return the share of the requests of a kind that were answered late."""
        return self.counts[name, "late"] / max(1, self.counts[name, "asked"])

    def record_outcome(self, kind, first_token_ms, elapsed_ms):
        """Count a complete answer, by the time to its first token."""
        outcome = "in time" if first_token_ms <= kind.target_ms else "late"
        self.counts[kind.name, outcome] += 1

    def _make_engine(self, number):
        return PromptEngine(f"engine-{number}", self.events)

    def _choose_instance(self):
        return self._random.choice(self.instances)

    def _schedule_arrivals(self, kind):
        at_ms = 0.0
        per_ms = kind.per_s * self._scale / MEAN_GROUP_SIZE / 1_000
        while (at_ms := at_ms + self._random.expovariate(per_ms)) < (
            self._seconds * 1_000
        ):
            size = 1 + int(self._random.expovariate(1 / (MEAN_GROUP_SIZE - 1)) + 0.5)
            for _ in range(size):
                due_ms = at_ms + self._random.uniform(0, GROUP_SPAN_MS)
                self.events.schedule(due_ms, self._start_request, kind)

    def _start_request(self, kind):
        self.counts[kind.name, "asked"] += 1
        prefix = f"{kind.name}-{int(kind.prefix_count * self._random.random() ** 1.3)}"
        unique_part = f"own-{self._random.random()}"
        _Request(
            self,
            self._choose_instance(),
            kind,
            prefix,
            unique_part,
        ).send(SMALL, self._random.random() < LOW_CONFIDENCE_SHARE)

    def _crash_engine(self, name):
        self.engines_by_name[name].crash()
        for instance in self.instances:
            instance.backends = [
                each for each in instance.backends if each.name != name
            ]


class _Instance:
    """One instance: its chooser and its view of the backend servers."""

    __slots__ = ("zone", "chooser", "backends")

    def __init__(self, load, zone, zones, make_chooser, seed):
        self.zone = zone
        self.chooser = make_chooser(zone, random.Random(seed))
        self.backends = [
            DirectoryBackend(
                ListedBackend(
                    name, SERVICE, name, f"zone-{number % zones}", "v1", SLOTS, False
                ),
                0.0,
            )
            for number, name in enumerate(load.engines_by_name)
        ]


class _Request:
    """One request, sent to one or two models."""

    __slots__ = (
        "_load",
        "_instance",
        "_kind",
        "_segments",
        "_arrival_ms",
        "_first_token_ms",
    )

    def __init__(self, load, instance, kind, prefix, unique_part):
        self._load = load
        self._instance = instance
        self._kind = kind
        self._segments = [
            (prefix, kind.shared_tokens),
            (unique_part, kind.unique_tokens),
        ]
        self._arrival_ms = load.events.now_ms
        self._first_token_ms = None

    def send(self, model, is_low_confidence, excluded_names=()):
        """Send to a model; escalate on low confidence, retry if the engine crashes."""
        choice, pace = model
        kind = self._kind
        query = AffinityQuery(
            SERVICE,
            choice.name,
            self._segments[0][0],
            choice.work_for_tokens(kind.shared_tokens),
            excluded_names,
            choice.work_for_tokens(kind.shared_tokens + kind.unique_tokens),
        )
        now_ms = self._load.events.now_ms
        chosen = self._instance.chooser.choose(query, self._instance.backends, now_ms)
        if is_failure(chosen):
            self._load.counts[kind.name, "failed"] += 1
            return
        backend = chosen.backend
        self._instance.chooser.breakers.record_send(backend.name, now_ms)
        pending_work = [choice.work_for_tokens(kind.shared_tokens + kind.unique_tokens)]
        if backend.zone != self._instance.zone:
            self._load.counts["crossed"] += 1
        backend.in_flight += 1
        backend.pending_prompt_work += pending_work[0]
        counts = self._load.counts
        counts["pending", backend.name] += pending_work[0]
        first_token_ms = []

        def on_first_token(job):
            counts["pending", backend.name] -= pending_work[0]
            backend.pending_prompt_work -= pending_work.pop()
            first_token_ms.append(self._load.events.now_ms)
            if not is_low_confidence and self._first_token_ms is None:
                self._first_token_ms = self._load.events.now_ms
            return not is_low_confidence

        def on_end(job):
            backend.in_flight -= 1
            counts["pending", backend.name] -= sum(pending_work)
            backend.pending_prompt_work -= sum(pending_work)
            if is_low_confidence and not pending_work:
                self.send(LARGE, False)
            elif job.is_complete:
                self._observe(choice, backend, now_ms, first_token_ms[0])
                self._record_outcome()
            elif self._load.events.now_ms >= self._deadline_ms():
                self._load.counts[kind.name, "failed"] += 1
            else:
                self.send(model, is_low_confidence, (backend.name,))

        job = PromptJob(
            choice.name,
            pace,
            self._segments,
            kind.answer_tokens,
            on_first_token,
            on_end,
        )
        engine = self._load.engines_by_name[backend.name]
        if self._deadline_ms() < float("inf"):
            self._load.events.schedule(self._deadline_ms(), engine.cancel, job)
        engine.accept_job(job)

    def _deadline_ms(self):
        return self._arrival_ms + self._load.deadline_ms

    def _observe(self, choice, backend, sent_ms, first_token_ms):
        self._instance.chooser.observe(
            AttemptResult(
                backend.name,
                choice.name,
                None,
                None,
                sent_ms,
                first_token_ms,
                self._load.events.now_ms,
                self._kind.name,
                self._kind.answer_tokens,
            )
        )

    def _record_outcome(self):
        first_token_delay_ms = self._first_token_ms - self._arrival_ms
        elapsed_ms = self._load.events.now_ms - self._arrival_ms
        self._load.record_outcome(self._kind, first_token_delay_ms, elapsed_ms)
