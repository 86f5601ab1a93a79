"""Work finished in time, and late rejections, at twice the capacity."""

import random

from stoatpath.admission.messages import AdmissionRequest
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.measure.admission_baselines import UnboundedQueue
from stoatpath.measure.admission_runs import AdmissionRun, WorkItem
from stoatpath.measure.deployments import Deployment
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.measure.seed_statistics import mean, percentile, summary_figures
from stoatpath.measure.strategy_trials import (
    group_results_by_name,
    list_strategy_trials,
)
from stoatpath.measure.workloads import Workload

NAME = "overload"
ROUTER = "router"
QUEUES_BY_STRATEGY = {ROUTER: AdmissionQueue, "never-refuses": UnboundedQueue}
POOL = "model@1"
SLOTS = 32
QUEUE_LIMIT = 1_000
OVERLOAD = 2.0
SECONDS = 300.0
WARM_UP_MS = 20_000.0
TOKEN_MS = 30.0
MAX_SERVICE_TO_TIMEOUT = 0.8
MIN_USEFUL = 0.95


class TrialResult:
    """Shares of useful and wasted capacity and of rejected requests; short waits."""

    __slots__ = ("trial", "useful", "wasted", "early", "late", "short_wait_ms")

    def __init__(self, trial, useful, wasted, early, late, short_wait_ms):
        self.trial = trial
        self.useful = useful
        self.wasted = wasted
        self.early = early
        self.late = late
        self.short_wait_ms = short_wait_ms


def list_trials(seed):
    """Return all trials."""
    return list_strategy_trials(QUEUES_BY_STRATEGY, seed)


def run_trial(trial):
    """Run one trial."""
    deployment = Deployment.from_sample(trial.deployment)
    items = _draw_work_items(deployment, random.Random(f"{trial.seed} overload"))
    queue = QUEUES_BY_STRATEGY[trial.strategy](QUEUE_LIMIT)
    queue.set_capacity(POOL, SLOTS)
    end_ms = SECONDS * 1000
    run = AdmissionRun(queue, WARM_UP_MS, end_ms)
    run.run(items)
    capacity_ms = SLOTS * (end_ms - WARM_UP_MS)
    return TrialResult(
        trial,
        run.useful_ms / capacity_ms,
        run.wasted_ms / capacity_ms,
        run.rejected_count / len(items),
        len(run.abandoned_waits_ms) / len(items),
        percentile(run.short_request_waits_ms, 0.99),
    )


def summarise(seed, results):
    """Return the report of all trials."""
    figures = []
    targets = []
    for name, group in group_results_by_name(results).items():
        figures += _strategy_figures(name, group)
        if name.endswith(f".{ROUTER}"):
            targets.append(Target(f"{name}.useful", "at-least", MIN_USEFUL))
            targets.append(Target(f"{name}.late.highest", "at-most", 0.0))
    return Report(NAME, seed, figures, targets)


def run(seed):
    """Run all trials one after the other."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])


def _strategy_figures(name, group):
    useful = [result.useful for result in group]
    late = [result.late for result in group]
    figures = summary_figures(f"{name}.useful", useful, "of capacity")
    figures += summary_figures(f"{name}.late", late, "of requests")
    for measure, unit in (
        ("wasted", "of capacity"),
        ("early", "of requests"),
        ("short_wait_ms", "ms"),
    ):
        value = mean([getattr(result, measure) for result in group])
        label = measure.replace("_", "-")
        figures.append(Figure(f"{name}.{label}", round(value, 6), unit))
    return figures


def _draw_work_items(deployment, rng):
    """Return work items for twice the slots all day, with additional bursts.

    Callers limit their answers so that they fit their timeout on an idle site.
    """
    mean_tokens = sum(
        traffic.share * traffic.tokens for _, traffic in deployment.traffic()
    )
    rate_per_s = OVERLOAD * SLOTS * 1000 / (mean_tokens * TOKEN_MS)
    tokens_by_purpose = {
        purpose.name: traffic.tokens for purpose, traffic in deployment.traffic()
    }
    items = []
    workload = Workload(deployment, rng, rate_per_s, SECONDS)
    workload.is_flat = True
    for arrival in workload.arrivals():
        expected_ms = tokens_by_purpose[arrival.purpose.name] * TOKEN_MS
        request = AdmissionRequest(
            arrival.request_id,
            arrival.organisation.name,
            arrival.organisation.weight,
            (POOL,),
            arrival.deadline_ms,
            expected_ms,
            arrival.purpose.is_short,
        )
        max_service_ms = MAX_SERVICE_TO_TIMEOUT * arrival.purpose.timeout_ms
        service_ms = min(arrival.tokens * TOKEN_MS, max_service_ms)
        items.append(WorkItem(request, service_ms, arrival.at_ms))
    return items
