"""Drives choosers against engines in virtual time, several routers side by side."""

import random

from stoatpath.dispatch.messages import AttemptResult
from stoatpath.dispatch.retries import MAX_ATTEMPTS, RetryBudget
from stoatpath.measure.engine_models import (
    PREFILL_TOKENS_PER_STEP,
    TOKEN_MS,
    EngineModel,
)
from stoatpath.measure.events import EventQueue
from stoatpath.measure.workloads import Workload
from stoatpath.membership.backends import ENGINE, BackendServers
from stoatpath.outcomes import BROKEN_ANSWER, CONNECT_FAILED, Outcome, is_failure
from stoatpath.routing.messages import RoutingQuery
from stoatpath.services.messages import ListedInstance

ENGINES = 9
ROUTERS = 8
SLOW_ENGINE = 3
SLOWNESS = 3.0
SECONDS = 240.0
REPORT_PERIOD_MS = 250.0
REPORT_LAG_MS = (100.0, 600.0)
MISSING_REPORTS = 0.2
SILENCE_SHARE = 0.02
SILENCE_MS = 3_000.0
SAMPLE_ARRIVALS_S = 40.0
LOST_FROM = 0.5
LOST_UNTIL = 0.7
DRAIN_MS = 120_000.0
CONNECT_FAIL_MS = 5.0
VERSION = "model@1"


class RouterModel:
    """One router: what it knows, its chooser and its retry budget."""

    __slots__ = ("zone", "backends", "chooser", "budget")

    def __init__(self, zone, chooser, budget):
        self.zone = zone
        self.backends = BackendServers()
        self.chooser = chooser
        self.budget = budget


class Job:
    """One attempt of an arrival at one engine."""

    __slots__ = ("arrival", "router", "backend", "tried", "sent_ms", "_run")

    def __init__(self, run, arrival, router, backend, tried, sent_ms):
        self._run = run
        self.arrival = arrival
        self.router = router
        self.backend = backend
        self.tried = tried
        self.sent_ms = sent_ms

    def finish(self):
        """Take the answer of the engine."""
        self._run.answered(self)

    def fail(self):
        """Take the failure of the engine."""
        self._run.broke(self)


class RoutingRun:
    """One day of one deployment at one load.

    `make_chooser(run, zone)` builds the chooser of a router. `lost` is the
    share of engines that fail for part of the day, `fault_requests` and
    `fault_attempts` count what arrived then. `slowdowns` are latencies
    over the time that the request would take on an idle engine of full speed.
    Arrivals and faults draw from their own generators, so that they are the
    same whoever chooses.
    """

    __slots__ = (
        "deployment",
        "events",
        "rng",
        "engines_by_name",
        "arrivals_by_id",
        "routers",
        "latencies_ms",
        "slowdowns",
        "requests",
        "attempts",
        "failures",
        "fault_requests",
        "fault_attempts",
        "_faults_rng",
        "_workload_rng",
        "_load",
        "_lost",
        "_silent_until_by_name",
    )

    def __init__(
        self, deployment, seed, make_chooser, load, lost=0.0, make_budget=RetryBudget
    ):
        self.deployment = deployment
        self.events = EventQueue()
        self.arrivals_by_id = {}
        self.latencies_ms = []
        self.slowdowns = []
        self.requests = 0
        self.attempts = 0
        self.failures = 0
        self.fault_requests = 0
        self.fault_attempts = 0
        self.rng = random.Random(f"{seed} choosers")
        self._faults_rng = random.Random(f"{seed} faults")
        self._workload_rng = random.Random(f"{seed} workload")
        self._load = load
        self._lost = lost
        self._silent_until_by_name = {}
        zones = deployment.zones
        self.engines_by_name = {}
        for index in range(ENGINES):
            slowness = SLOWNESS if index == SLOW_ENGINE else 1.0
            zone = zones[index % len(zones)]
            engine = EngineModel(
                f"engine-{index}", zone, self.events, slowness=slowness
            )
            self.engines_by_name[engine.name] = engine
        self.routers = []
        for index in range(ROUTERS):
            zone = zones[index % len(zones)]
            chooser = make_chooser(self, zone)
            self.routers.append(RouterModel(zone, chooser, make_budget()))

    def run(self):
        """Run the whole day."""
        self._list_engines()
        for engine in self.engines_by_name.values():
            start_ms = self._faults_rng.uniform(0, REPORT_PERIOD_MS)
            self.events.schedule(start_ms, self._report, engine)
        for arrival in self._workload().arrivals():
            self.arrivals_by_id[arrival.request_id] = arrival
            router = self._workload_rng.choice(self.routers)
            self.events.schedule(arrival.at_ms, self._begin, arrival, router)
        self._arrange_loss()
        self.events.run_until(SECONDS * 1000 + DRAIN_MS)
        for _ in range(self.requests - len(self.latencies_ms)):
            self._record(DRAIN_MS, 1.0)

    def _workload(self):
        sample = Workload(self.deployment, self._workload_rng, 40.0, SAMPLE_ARRIVALS_S)
        engine = EngineModel("sample", "", self.events)
        work = [engine.work_steps(arrival) for arrival in sample.arrivals()]
        capacity = sum(
            EngineModel.full_tokens_per_s() / engine.slowness
            for engine in self.engines_by_name.values()
        )
        peak_per_s = self._load * capacity * len(work) / sum(work)
        return Workload(self.deployment, self._workload_rng, peak_per_s, SECONDS)

    def _list_engines(self):
        entries = {
            engine.name: ListedInstance(
                engine.name, ENGINE, "", engine.zone, "model", "live"
            )
            for engine in self.engines_by_name.values()
        }
        for router in self.routers:
            router.backends.apply_list(entries, -60_000.0)
            for name, engine in self.engines_by_name.items():
                router.backends.apply_report(name, _report_of(engine), 0.0)

    def _report(self, engine):
        now_ms = self.events.now_ms
        if now_ms > SECONDS * 1000 + DRAIN_MS / 2:
            return
        self.events.schedule(now_ms + REPORT_PERIOD_MS, self._report, engine)
        if engine.is_down or now_ms < self._silent_until_by_name.get(engine.name, 0):
            return
        if self._faults_rng.random() < SILENCE_SHARE * REPORT_PERIOD_MS / SILENCE_MS:
            self._silent_until_by_name[engine.name] = now_ms + SILENCE_MS
        report = _report_of(engine)
        for router in self.routers:
            if self._faults_rng.random() >= MISSING_REPORTS:
                lag_ms = self._faults_rng.uniform(*REPORT_LAG_MS)
                apply_report = router.backends.apply_report
                heard_ms = now_ms + lag_ms
                self.events.schedule(
                    heard_ms, apply_report, engine.name, report, heard_ms
                )

    def _arrange_loss(self):
        names = list(self.engines_by_name)[: round(self._lost * ENGINES)]
        for name in names:
            engine = self.engines_by_name[name]
            self.events.schedule(LOST_FROM * SECONDS * 1000, engine.crash)
            self.events.schedule(LOST_UNTIL * SECONDS * 1000, engine.restart)

    def _begin(self, arrival, router):
        self.requests += 1
        self.fault_requests += self._is_in_fault(arrival)
        router.budget.record_request()
        self._attempt(arrival, router, set())

    def _attempt(self, arrival, router, tried):
        query = RoutingQuery(
            arrival.request_id,
            self.deployment.service.name,
            VERSION,
            self._expected_tokens(arrival),
            arrival.deadline_ms,
            tried,
        )
        now_ms = self.events.now_ms
        choice = router.chooser.choose(query, router.backends.serving(VERSION), now_ms)
        if is_failure(choice):
            self._give_up(arrival)
            return
        self.attempts += 1
        self.fault_attempts += self._is_in_fault(arrival)
        backend = choice.backend
        tried.add(backend.name)
        backend.in_flight += 1
        job = Job(self, arrival, router, backend, tried, now_ms)
        self.events.schedule(now_ms + self._distance_ms(job), self._reach, job)

    def _reach(self, job):
        engine = self.engines_by_name[job.backend.name]
        if engine.is_down:
            at_ms = self.events.now_ms + CONNECT_FAIL_MS
            self.events.schedule(
                at_ms, self._retry, job, CONNECT_FAILED, Outcome.NOT_RUN
            )
        else:
            engine.accept_job(job)

    def answered(self, job):
        """Take the answer of an engine on its way back."""
        self.events.schedule(
            self.events.now_ms + self._distance_ms(job), self._deliver, job
        )

    def broke(self, job):
        """Take the failure of an engine on its way back."""
        at_ms = self.events.now_ms + self._distance_ms(job)
        self.events.schedule(at_ms, self._retry, job, BROKEN_ANSWER, Outcome.UNKNOWN)

    def _deliver(self, job):
        self._end(job, None, None)
        arrival = job.arrival
        steps = arrival.tokens + arrival.prompt_tokens / PREFILL_TOKENS_PER_STEP
        self._record(self.events.now_ms - arrival.at_ms, steps)

    def _end(self, job, reason, outcome):
        job.backend.in_flight -= 1
        now_ms = self.events.now_ms
        first_byte_ms = now_ms if reason is None else None
        job.router.chooser.breakers.observe(
            AttemptResult(
                job.backend.name,
                VERSION,
                reason,
                outcome,
                job.sent_ms,
                first_byte_ms,
                now_ms,
            )
        )

    def _retry(self, job, reason, outcome):
        self._end(job, reason, outcome)
        if len(job.tried) < MAX_ATTEMPTS and job.router.budget.try_spend():
            self._attempt(job.arrival, job.router, job.tried)
        else:
            self._give_up(job.arrival)

    @staticmethod
    def _is_in_fault(arrival):
        return LOST_FROM <= arrival.at_ms / (SECONDS * 1000) < LOST_UNTIL

    def _give_up(self, arrival):
        self.failures += 1
        self._record(float(arrival.purpose.timeout_ms), 1.0)

    def _record(self, latency_ms, steps):
        self.latencies_ms.append(latency_ms)
        self.slowdowns.append(latency_ms / (steps * TOKEN_MS))

    def _expected_tokens(self, arrival):
        for purpose, traffic in self.deployment.traffic():
            if purpose is arrival.purpose:
                return traffic.tokens
        return 0

    def _distance_ms(self, job):
        engine = self.engines_by_name[job.backend.name]
        if engine.zone == job.router.zone:
            return 0.1
        return self.deployment.zone_distance_ms


def _report_of(engine):
    return {
        "versions": [VERSION],
        "slots": engine.slots,
        "running": engine.open_requests,
        "token_ms": engine.token_ms,
        "leaving": False,
    }
