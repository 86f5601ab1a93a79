"""Selection by the load of the fleet, compared with the own load and an oracle.

Instances run the gateways' selection and sums. They exchange the sums along the tree
of the tables in virtual time, once in each `EXCHANGE_MS`.
"""

import math
import random

from stoatpath.feeds.sources import SourceSelector
from stoatpath.measure.prompt_engines import BatchingEngine
from stoatpath.measure.prompt_loads import KINDS, PromptLoad
from stoatpath.measure.reports import Figure, Report
from stoatpath.measure.seed_statistics import mean, percentile
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.routing.affinity import AffinityChooser

# Instances, engines and seeds; the large fleets take minutes for each.
FLEETS = ((7, 9, 20), (59, 60, 20), (195, 200, 3), (544, 560, 1))
WAYS = ("own", "sums", "oracle")
# A rate at which about one in ten requests is late by the own load alone.
SCALE = 0.8
SPEEDS = (0.7, 0.7, 1.7)
ENGINES_OF_KINDS = 9
ZONES = 4
EXCHANGE_MS = 500.0
DEADLINE_MS = 20_000.0
ZONE_DEMAND_SWING = 0.55
# Larger fleets are sampled by the oracle, which would take hours otherwise.
MAX_ORACLE_SAMPLE = 200
# Few choices are made so long after the last arrival.
EXCHANGES_END_MS = 5_000.0
# Requests that arrive sooner find no sums and cold prompt caches.
WARM_UP_MS = 5_000.0
UNITS_BY_FIGURE = {
    "first_p50": "ms",
    "first_p95": "ms",
    "first_p99": "ms",
    "end_p50": "ms",
    "end_p95": "ms",
    "end_p99": "ms",
    "late": "of asked",
    "missed": "of asked",
    "busiest": "of mean",
    "read": "of prompt tokens",
    "crossed": "of attempts",
    "credit": "of owed",
}


class OracleLoads:
    """The exact load and speed of each engine, with the interface of `FleetLoads`."""

    __slots__ = ("_engines_by_name", "_counts")

    def __init__(self, engines_by_name, counts):
        self._engines_by_name = engines_by_name
        self._counts = counts

    def observe(self, result):
        """Learn nothing."""

    def has_sums(self, now_ms):
        """Return True: everything is known at any time."""
        return True

    def load(self, backend):
        """Return the open requests and the pending prompt work."""
        work = self._counts["pending", backend.name]
        return self._engines_by_name[backend.name].open_requests, work

    def is_small(self, service):
        """Return False: nothing is uncertain."""
        return False

    def speed(self, backend):
        """Return the speed of the engine, without its slow moments."""
        return self._engines_by_name[backend.name].speed


class OracleChooser(AffinityChooser):
    """Evaluates all backend servers: with exact loads, nothing is chosen too often."""

    __slots__ = ()

    def _sample(self, eligible, preferred):
        if len(eligible) <= MAX_ORACLE_SAMPLE:
            return eligible
        sample = self._random.sample(eligible, MAX_ORACLE_SAMPLE)
        return sample if preferred is None else [preferred, *sample]


class FleetLoad(PromptLoad):
    """A fleet whose instances know the load as `way` says.

    `way` is "own" (each knows its own requests), "sums" or "oracle". The lists hold
    times in ms of requests after the warm-up.
    """

    __slots__ = (
        "first_token_ms",
        "end_ms",
        "_instances_by_zone",
        "_sources",
    )

    def __init__(self, seed, way, engines, instances, scale=1.0, seconds=34.0):
        super().__init__(
            seed,
            scale * engines / ENGINES_OF_KINDS,
            seconds,
            engines,
            instances,
            ZONES,
            make_chooser=OracleChooser if way == "oracle" else AffinityChooser,
        )
        self.deadline_ms = DEADLINE_MS
        self.first_token_ms = []
        self.end_ms = []
        self._instances_by_zone = {}
        self._sources = []
        for number, instance in enumerate(self.instances):
            instance.chooser._random = random.Random(f"{seed} {number}")
            self._instances_by_zone.setdefault(instance.zone, []).append(instance)
        if way == "oracle":
            loads = OracleLoads(self.engines_by_name, self.counts)
            for instance in self.instances:
                instance.chooser.fleet_loads = loads
        if way == "sums":
            self._build_tree(seed)
            self.events.schedule(0.0, self._exchange)

    def record_outcome(self, kind, first_token_ms, elapsed_ms):
        """Record the times of a complete answer."""
        super().record_outcome(kind, first_token_ms, elapsed_ms)
        if self.events.now_ms - elapsed_ms >= WARM_UP_MS:
            self.first_token_ms.append(first_token_ms)
            self.end_ms.append(elapsed_ms)

    def figures(self):
        """Return the figures of a finished run by name."""
        asked = sum(self.counts[kind.name, "asked"] for kind in KINDS)
        late = sum(self.counts[kind.name, "late"] for kind in KINDS)
        failed = sum(self.counts[kind.name, "failed"] for kind in KINDS)
        engines = self.engines_by_name.values()
        shares = [engine.sends / engine.speed for engine in engines]
        prompts = sum(
            self.counts[kind.name, "asked"] * (kind.shared_tokens + kind.unique_tokens)
            for kind in KINDS
        )
        figures = {}
        for name, values in (("first", self.first_token_ms), ("end", self.end_ms)):
            for share in (0.5, 0.95, 0.99):
                figures[f"{name}_p{round(100 * share)}"] = percentile(values, share)
        figures["late"] = late / asked
        figures["missed"] = failed / asked
        figures["busiest"] = max(shares) * len(shares) / sum(shares)
        figures["read"] = sum(each.prefill_tokens for each in engines) / max(1, prompts)
        sends = sum(each.sends for each in engines)
        figures["crossed"] = self.counts["crossed"] / sends
        figures["credit"] = self.credit()
        return figures

    def _make_engine(self, number):
        speed = SPEEDS[number % len(SPEEDS)]
        rng = random.Random(self._random.random())
        return BatchingEngine(f"engine-{number}", self.events, speed, rng)

    def _choose_instance(self):
        zones = list(self._instances_by_zone)
        turn = 2 * math.pi * self.events.now_ms / (self._seconds * 1_000)
        weights = [
            1 + ZONE_DEMAND_SWING * math.sin(turn + 2 * math.pi * index / len(zones))
            for index in range(len(zones))
        ]
        zone = self._random.choices(zones, weights)[0]
        return self._random.choice(self._instances_by_zone[zone])

    def _build_tree(self, seed):
        """Let instances follow each other as `SourceSelector` selects."""
        records = [
            Member(f"i{seed}-{number}", "gateway", "address", each.zone, 1, LIVE)
            for number, each in enumerate(self.instances)
        ]
        depths = []
        for record, instance in zip(records, self.instances):
            members = MemberTable(record)
            members.merge([each for each in records if each is not record], 0.0)
            selector = SourceSelector(members)
            source = selector.select(0.0)
            depths.append((selector.depth(0.0), record.name, source, instance))
        instances_by_name = {name: instance for _, name, _, instance in depths}
        for _, name, source, instance in sorted(depths, key=lambda each: each[:2]):
            directory = _Directory({each.name: each for each in instance.backends})
            loads = instance.chooser.share_loads(name, directory)
            loads.is_first = source is None
            if source is not None:
                upper = instances_by_name[source.name]
                self._sources.append(_Link(instance, upper))

    def _exchange(self):
        """Pass confirmations down the tree: held requests are answered in turn.

        Each instance asks again at once, so its report contains those that its
        followers sent in the turn before.
        """
        now_ms = self.events.now_ms
        for link in self._sources:
            link.exchange(now_ms)
        if now_ms > self._seconds * 1_000 + EXCHANGES_END_MS:
            return
        self.events.schedule(now_ms + EXCHANGE_MS, self._exchange)


class _Directory:
    """Backend servers by name, as `BackendDirectory` has them."""

    __slots__ = ("by_name",)

    def __init__(self, by_name):
        self.by_name = by_name


class _Link:
    """An instance, its source, and the report whose answer the source holds back."""

    __slots__ = ("_loads", "_source", "_report")

    def __init__(self, instance, source):
        self._loads = instance.chooser.fleet_loads
        self._source = source.chooser.fleet_loads
        self._report = None

    def exchange(self, now_ms):
        """Answer the held request, and send the next one."""
        if self._report is not None:
            answer = self._source.build_answer(self._report, now_ms)
            self._loads.receive_answer(answer, now_ms)
        self._report = self._loads.build_report(now_ms)
        self._source.receive_report(self._report, now_ms)


def list_trials(seed):
    """Return all combinations of fleet, way and seed, the longest first."""
    return [
        (instances, engines, way, seed + offset)
        for instances, engines, seeds in reversed(FLEETS)
        for way in WAYS
        for offset in range(seeds)
    ]


def run_trial(trial):
    """Return the trial and its figures."""
    instances, engines, way, seed = trial
    load = FleetLoad(seed, way, engines, instances, SCALE)
    load.run()
    return trial, load.figures()


def summarise(seed, results):
    """Return the means over all seeds."""
    figures = []
    for instances, _, _ in FLEETS:
        for way in WAYS:
            group = [
                result
                for trial, result in results
                if trial[0] == instances and trial[2] == way
            ]
            for name, unit in UNITS_BY_FIGURE.items():
                value = mean([each[name] for each in group])
                title = f"{name}, {instances} instances, {way}"
                figures.append(Figure(title, round(value, 4), unit))
    return Report("fleet-load", seed, figures, [])


def run(seed):
    """Run all trials one after the other."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])
