"""Runs choosers of several routers against simulated engines in virtual time."""

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
SLOW_ENGINE_INDEX = 3
SLOWNESS = 3.0
SECONDS = 240.0
REPORT_PERIOD_MS = 250.0
REPORT_LAG_MS = (100.0, 600.0)
MISSING_REPORT_SHARE = 0.2
SILENCE_SHARE = 0.02
SILENCE_MS = 3_000.0
SAMPLE_ARRIVALS_S = 40.0
OUTAGE_START_SHARE = 0.5
OUTAGE_END_SHARE = 0.7
DRAIN_MS = 120_000.0
CONNECT_FAIL_MS = 5.0
VERSION = "model@1"


class RouterModel:
    """One router: its view of the backend servers, its chooser and its retry budget."""

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
        """Report the answer of the engine to the run."""
        self._run.receive_answer(self)

    def fail(self):
        """Report the failure of the engine to the run."""
        self._run.receive_failure(self)


class RoutingRun:
    """One day of one deployment at one load.

    `make_chooser(run, zone)` builds the chooser of a router. `down_share` is the
    share of engines that are down for part of the day; `outage_requests` and
    `outage_attempts` count the requests that arrived then. `slowdowns` are latencies
    divided by the duration of the request on an idle engine of normal speed.
    Arrivals and faults have separate random generators, so that they do not depend
    on the chooser.
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
        "outage_requests",
        "outage_attempts",
        "_faults_rng",
        "_workload_rng",
        "_load",
        "_down_share",
        "_silent_until_by_name",
    )

    def __init__(
        self,
        deployment,
        seed,
        make_chooser,
        load,
        down_share=0.0,
        make_budget=RetryBudget,
    ):
        self.deployment = deployment
        self.events = EventQueue()
        self.arrivals_by_id = {}
        self.latencies_ms = []
        self.slowdowns = []
        self.requests = 0
        self.attempts = 0
        self.failures = 0
        self.outage_requests = 0
        self.outage_attempts = 0
        self.rng = random.Random(f"{seed} choosers")
        self._faults_rng = random.Random(f"{seed} faults")
        self._workload_rng = random.Random(f"{seed} workload")
        self._load = load
        self._down_share = down_share
        self._silent_until_by_name = {}
        zones = deployment.zones
        self.engines_by_name = {}
        for index in range(ENGINES):
            slowness = SLOWNESS if index == SLOW_ENGINE_INDEX else 1.0
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
            self.events.schedule(start_ms, self._send_report, engine)
        for arrival in self._workload().arrivals():
            self.arrivals_by_id[arrival.request_id] = arrival
            router = self._workload_rng.choice(self.routers)
            self.events.schedule(arrival.at_ms, self._start_request, arrival, router)
        self._schedule_outage()
        self.events.run_until(SECONDS * 1000 + DRAIN_MS)
        for _ in range(self.requests - len(self.latencies_ms)):
            self._record_latency(DRAIN_MS, 1.0)

    def _workload(self):
        sample = Workload(self.deployment, self._workload_rng, 40.0, SAMPLE_ARRIVALS_S)
        engine = EngineModel("sample", "", self.events)
        request_steps = [engine.work_steps(arrival) for arrival in sample.arrivals()]
        capacity = sum(
            EngineModel.full_tokens_per_s() / engine.slowness
            for engine in self.engines_by_name.values()
        )
        peak_per_s = self._load * capacity * len(request_steps) / sum(request_steps)
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
                router.backends.apply_report(name, _load_report(engine), 0.0)

    def _send_report(self, engine):
        now_ms = self.events.now_ms
        if now_ms > SECONDS * 1000 + DRAIN_MS / 2:
            return
        self.events.schedule(now_ms + REPORT_PERIOD_MS, self._send_report, engine)
        if engine.is_down or now_ms < self._silent_until_by_name.get(engine.name, 0):
            return
        if self._faults_rng.random() < SILENCE_SHARE * REPORT_PERIOD_MS / SILENCE_MS:
            self._silent_until_by_name[engine.name] = now_ms + SILENCE_MS
        report = _load_report(engine)
        for router in self.routers:
            if self._faults_rng.random() >= MISSING_REPORT_SHARE:
                lag_ms = self._faults_rng.uniform(*REPORT_LAG_MS)
                apply_report = router.backends.apply_report
                received_ms = now_ms + lag_ms
                self.events.schedule(
                    received_ms, apply_report, engine.name, report, received_ms
                )

    def _schedule_outage(self):
        names = list(self.engines_by_name)[: round(self._down_share * ENGINES)]
        for name in names:
            engine = self.engines_by_name[name]
            self.events.schedule(OUTAGE_START_SHARE * SECONDS * 1000, engine.crash)
            self.events.schedule(OUTAGE_END_SHARE * SECONDS * 1000, engine.restart)

    def _start_request(self, arrival, router):
        self.requests += 1
        self.outage_requests += self._is_in_outage(arrival)
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
            self._fail_request(arrival)
            return
        self.attempts += 1
        self.outage_attempts += self._is_in_outage(arrival)
        backend = choice.backend
        router.chooser.breakers.record_send(backend.name, now_ms)
        tried.add(backend.name)
        backend.in_flight += 1
        job = Job(self, arrival, router, backend, tried, now_ms)
        self.events.schedule(
            now_ms + self._network_ms(job), self._arrive_at_engine, job
        )

    def _arrive_at_engine(self, job):
        engine = self.engines_by_name[job.backend.name]
        if engine.is_down:
            at_ms = self.events.now_ms + CONNECT_FAIL_MS
            self.events.schedule(
                at_ms, self._retry, job, CONNECT_FAILED, Outcome.NOT_RUN
            )
        else:
            engine.accept_job(job)

    def receive_answer(self, job):
        """Deliver the answer of an engine to the router after the network delay."""
        self.events.schedule(
            self.events.now_ms + self._network_ms(job), self._complete_request, job
        )

    def receive_failure(self, job):
        """Deliver the failure of an engine to the router after the network delay."""
        at_ms = self.events.now_ms + self._network_ms(job)
        self.events.schedule(at_ms, self._retry, job, BROKEN_ANSWER, Outcome.UNKNOWN)

    def _complete_request(self, job):
        self._record_attempt(job, None, None)
        arrival = job.arrival
        steps = arrival.tokens + arrival.prompt_tokens / PREFILL_TOKENS_PER_STEP
        self._record_latency(self.events.now_ms - arrival.at_ms, steps)

    def _record_attempt(self, job, reason, outcome):
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
        self._record_attempt(job, reason, outcome)
        if len(job.tried) < MAX_ATTEMPTS and job.router.budget.try_spend():
            self._attempt(job.arrival, job.router, job.tried)
        else:
            self._fail_request(job.arrival)

    @staticmethod
    def _is_in_outage(arrival):
        return OUTAGE_START_SHARE <= arrival.at_ms / (SECONDS * 1000) < OUTAGE_END_SHARE

    def _fail_request(self, arrival):
        self.failures += 1
        self._record_latency(float(arrival.purpose.timeout_ms), 1.0)

    def _record_latency(self, latency_ms, steps):
        self.latencies_ms.append(latency_ms)
        self.slowdowns.append(latency_ms / (steps * TOKEN_MS))

    def _expected_tokens(self, arrival):
        for purpose, traffic in self.deployment.traffic():
            if purpose is arrival.purpose:
                return traffic.tokens
        return 0

    def _network_ms(self, job):
        engine = self.engines_by_name[job.backend.name]
        if engine.zone == job.router.zone:
            return 0.1
        return self.deployment.zone_distance_ms


def _load_report(engine):
    return {
        "versions": [VERSION],
        "slots": engine.slots,
        "running": engine.open_requests,
        "token_ms": engine.token_ms,
        "leaving": False,
    }
