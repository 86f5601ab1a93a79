"""Steps for trials in virtual time."""

from behave import given, then, when

from stoatpath.measure.deployments import Deployment
from stoatpath.measure.engine_models import EngineModel
from stoatpath.measure.events import EventQueue
from stoatpath.measure.routing_baselines import RandomChooser
from stoatpath.measure.routing_loads import ROUTER, Trial, run_trial
from stoatpath.measure.routing_runs import RoutingRun
from stoatpath.measure.workloads import Arrival
from stoatpath.routing.choosers import LeastTimeChooser


class _TimedJob:
    """A job that records when it finished."""

    def __init__(self, arrival, events):
        self.arrival = arrival
        self.finished_ms = None
        self._events = events

    def finish(self):
        self.finished_ms = self._events.now_ms


def _run_batch(size, tokens):
    events = EventQueue()
    engine = EngineModel("engine", "zone", events)
    purpose = Deployment.from_sample("prichard").traffic()[0][0]
    jobs = []
    for index in range(size):
        arrival = Arrival(f"req-{index}", 0.0, None, purpose)
        arrival.tokens = tokens
        jobs.append(_TimedJob(arrival, events))
        engine.accept_job(jobs[-1])
    events.run_until(1_000_000)
    return jobs[0].finished_ms


@given("a routing trial of {deployment} at load {load:g} with seed {seed:d}")
def step_impl(context, deployment, load, seed):
    context.trial = Trial(deployment, load, 0.0, ROUTER, seed)


@when("the trial runs twice")
def step_impl(context):
    context.results = [run_trial(context.trial) for _ in range(2)]


@then("both results are the same")
def step_impl(context):
    first, second = context.results
    assert first.p95_ms == second.p95_ms
    assert first.p99_ms == second.p99_ms
    assert first.slowdown == second.slowdown


@when("the trial runs with the router's chooser and with random choice")
def step_impl(context):
    trial = context.trial
    chooser_factories = (
        lambda run, zone: LeastTimeChooser(zone, run.rng),
        lambda run, zone: RandomChooser(run.rng),
    )
    context.runs = []
    for make_chooser in chooser_factories:
        deployment = Deployment.from_sample(trial.deployment)
        run = RoutingRun(deployment, trial.seed, make_chooser, trial.load)
        run.run()
        context.runs.append(run)


@then("both runs served the same number of requests")
def step_impl(context):
    counts = {(run.requests, len(run.latencies_ms)) for run in context.runs}
    assert len(counts) == 1, counts
    assert next(iter(counts))[0] > 1_000


@given("an engine that runs {size:d} request of {tokens:d} tokens")
def step_impl(context, size, tokens):
    context.alone_ms = _run_batch(size, tokens)


@when("{more:d} more requests of {tokens:d} tokens arrive at the same time")
def step_impl(context, more, tokens):
    context.batched_ms = _run_batch(more + 1, tokens)


@then("the first request takes {factor:g} times as long as alone")
def step_impl(context, factor):
    assert abs(context.batched_ms / context.alone_ms - factor) < 0.01
