"""Repeated lookups: forwarded each time, joined in flight, or answered from a cache."""

import random
from types import SimpleNamespace

from stoatpath.dispatch.messages import Answer
from stoatpath.lookups.answer_caches import AnswerCache
from stoatpath.measure.deployments import Deployment
from stoatpath.measure.events import EventQueue
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.measure.seed_statistics import mean, percentile, summary_figures
from stoatpath.measure.strategy_trials import (
    group_results_by_name,
    list_strategy_trials,
)

NAME = "lookups"
ROUTERS = 8
SECONDS = 120.0
LOOKUPS_PER_S = 120.0
CHANGES_PER_S = 2.0
PATHS = 30
SERVICE_MS = 25.0
MAX_AGE_S = 2
FORWARDED, JOINED_IN_FLIGHT, CACHED = (
    "every-one-asked",
    "joined-in-flight",
    "kept-as-allowed",
)
STRATEGIES = (FORWARDED, JOINED_IN_FLIGHT, CACHED)


class TrialResult:
    """Calls per lookup, latencies, and shares of stale answers.

    A stale answer was read before the last change of its organisation. `allowed`
    is the share of stale answers within `max-age`, `unallowed` that of all others.
    """

    __slots__ = ("trial", "calls", "mean_ms", "p95_ms", "unallowed", "allowed")

    def __init__(self, trial, calls, mean_ms, p95_ms, unallowed, allowed):
        self.trial = trial
        self.calls = calls
        self.mean_ms = mean_ms
        self.p95_ms = p95_ms
        self.unallowed = unallowed
        self.allowed = allowed


class LookupRun:
    """Simulates lookups and changes of one deployment through several routers."""

    __slots__ = (
        "events",
        "calls",
        "latencies_ms",
        "unallowed",
        "allowed",
        "_rng",
        "_strategy",
        "_caches",
        "_waiting_since_ms_by_key",
        "_changed_ms_by_organisation",
    )

    def __init__(self, strategy, rng):
        self.events = EventQueue()
        self.calls = 0
        self.latencies_ms = []
        self.unallowed = 0
        self.allowed = 0
        self._rng = rng
        self._strategy = strategy
        self._caches = [AnswerCache() for _ in range(ROUTERS)]
        self._waiting_since_ms_by_key = {}
        self._changed_ms_by_organisation = {}

    def run(self, deployment):
        """Run all lookups and changes."""
        organisations = deployment.organisations
        weights = [each.weight for each in organisations]
        path_weights = [1 / (rank + 1) for rank in range(PATHS)]
        at_ms = 0.0
        while at_ms < SECONDS * 1000:
            at_ms += self._rng.expovariate((LOOKUPS_PER_S + CHANGES_PER_S) / 1000)
            organisation = self._rng.choices(organisations, weights)[0]
            router = self._rng.randrange(ROUTERS)
            is_change = self._rng.random() < CHANGES_PER_S / LOOKUPS_PER_S
            path = self._rng.choices(range(PATHS), path_weights)[0]
            request = _build_request(organisation, path, is_change)
            action = self._start_change if is_change else self._look_up
            self.events.schedule(at_ms, action, request, router)
        self.events.run_until(SECONDS * 1000 + 10_000)

    def _draw_service_ms(self):
        return self._rng.expovariate(1 / SERVICE_MS)

    def _start_change(self, request, router):
        """Invalidate cached answers and schedule when the change takes effect."""
        now_ms = self.events.now_ms
        self._caches[router].invalidate(request, now_ms)
        self.events.schedule(
            now_ms + self._draw_service_ms(), self._finish_change, request, router
        )

    def _finish_change(self, request, router):
        now_ms = self.events.now_ms
        self._caches[router].invalidate(request, now_ms)
        self._changed_ms_by_organisation[request.organisation.name] = now_ms

    def _look_up(self, request, router):
        now_ms = self.events.now_ms
        if self._strategy == CACHED:
            answer = self._caches[router].get_answer(request, now_ms)
            if answer is not None:
                self._record_answer(request, now_ms, answer.text, is_cached=True)
                return
        key = (router, request.organisation.name, request.path)
        if self._strategy == JOINED_IN_FLIGHT and key in self._waiting_since_ms_by_key:
            self._waiting_since_ms_by_key[key].append(now_ms)
            return
        self.calls += 1
        self._waiting_since_ms_by_key[key] = [now_ms]
        service_ms = self._draw_service_ms()
        read_ms = now_ms + service_ms * self._rng.random()
        self.events.schedule(
            now_ms + service_ms,
            self._receive_answer,
            request,
            router,
            key,
            now_ms,
            read_ms,
        )

    def _receive_answer(self, request, router, key, requested_ms, read_ms):
        if self._strategy == JOINED_IN_FLIGHT:
            for waiting_since_ms in self._waiting_since_ms_by_key.pop(key):
                self._record_answer(request, waiting_since_ms, read_ms, is_cached=False)
            return
        answer = Answer(200, "", b"{}", read_ms, 0, MAX_AGE_S)
        if self._strategy == CACHED:
            self._caches[router].store_answer(request, answer, requested_ms)
        self._record_answer(request, requested_ms, read_ms, is_cached=False)

    def _record_answer(self, request, requested_ms, read_ms, is_cached):
        """Record the latency of an answer, and whether it is stale."""
        self.latencies_ms.append(self.events.now_ms - requested_ms)
        changes = self._changed_ms_by_organisation
        changed_ms = changes.get(request.organisation.name, float("-inf"))
        if read_ms < changed_ms <= requested_ms:
            if is_cached:
                self.allowed += 1
            else:
                self.unallowed += 1


def list_trials(seed):
    """Return all trials."""
    return list_strategy_trials(STRATEGIES, seed)


def run_trial(trial):
    """Run one trial."""
    run = LookupRun(trial.strategy, random.Random(f"{trial.seed} lookups"))
    run.run(Deployment.from_sample(trial.deployment))
    count = len(run.latencies_ms)
    return TrialResult(
        trial,
        run.calls / count,
        mean(run.latencies_ms),
        percentile(run.latencies_ms, 0.95),
        run.unallowed / count,
        run.allowed / count,
    )


def summarise(seed, results):
    """Return the report of all trials."""
    figures = []
    targets = []
    for name, group in group_results_by_name(results).items():
        calls = [result.calls for result in group]
        figures += summary_figures(f"{name}.calls", calls, "per lookup")
        for measure, unit in (
            ("mean_ms", "ms"),
            ("p95_ms", "ms"),
            ("unallowed", "share"),
            ("allowed", "share"),
        ):
            value = mean([getattr(result, measure) for result in group])
            label = measure.replace("_", "-")
            figures.append(Figure(f"{name}.{label}", round(value, 6), unit))
        if name.endswith(f".{CACHED}"):
            targets.append(Target(f"{name}.unallowed", "at-most", 0.0))
    return Report(NAME, seed, figures, targets)


def run(seed):
    """Run all trials one after the other."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])


def _build_request(organisation, path, is_change):
    return SimpleNamespace(
        organisation=organisation,
        service=SimpleNamespace(name="plain"),
        is_repeatable=not is_change,
        method="POST" if is_change else "GET",
        path=f"/{path}",
        idempotency_key="",
        body=b"",
    )
