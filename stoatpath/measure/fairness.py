"""The lowest share of any organisation under overload, with restricted pools."""

import random

from stoatpath.admission.messages import AdmissionRequest
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.measure.admission_baselines import FirstComeQueue, PerPoolQueue
from stoatpath.measure.admission_runs import AdmissionRun, WorkItem
from stoatpath.measure.deployments import DEPLOYMENTS, Deployment
from stoatpath.measure.fair_shares import Claim, exact_shares
from stoatpath.measure.reports import Report, Target
from stoatpath.measure.seed_statistics import summary_figures, trial_seeds
from stoatpath.measure.strategy_trials import group_results_by_name

NAME = "fairness"
QUEUE_LIMIT = 2_000
ROUTER = "router"
QUEUES_BY_STRATEGY = {
    ROUTER: AdmissionQueue,
    "first-come": FirstComeQueue,
    "per-pool": PerPoolQueue,
}
SLOTS_BY_POOL = {"cheap@1": 20, "cheap@2": 8, "dear@1": 12, "dear@2": 6}
WARM_UP_MS = 20_000.0
END_MS = 220_000.0
TIMEOUT_MS = 8_000.0
MEAN_SERVICE_MS = 400.0
DEMAND_TO_FAIR_SHARE = (2.0, 6.0)
SHORT_SHARES = (0.0, 0.3)
MIN_WORST_SHARE = 0.98


class Trial:
    """One seed of one strategy and deployment, with a share of short requests."""

    __slots__ = ("deployment", "short_share", "strategy", "seed")

    def __init__(self, deployment, short_share, strategy, seed):
        self.deployment = deployment
        self.short_share = short_share
        self.strategy = strategy
        self.seed = seed

    @property
    def name(self):
        """Return the name shared by the trials that differ only in their seed."""
        return f"{self.deployment}.short-{self.short_share:g}.{self.strategy}"


class TrialResult:
    """Shares of slots relative to exact constrained max-min fairness.

    `worst` is the lowest weighted share over the lowest exact one; `lowest_ratio`
    is the lowest ratio of any organisation's slots to its own exact share.
    """

    __slots__ = ("trial", "worst", "lowest_ratio")

    def __init__(self, trial, worst, lowest_ratio):
        self.trial = trial
        self.worst = worst
        self.lowest_ratio = lowest_ratio


def list_trials(seed):
    """Return all trials."""
    return [
        Trial(deployment, short_share, strategy, each)
        for deployment in DEPLOYMENTS
        for short_share in SHORT_SHARES
        for strategy in QUEUES_BY_STRATEGY
        for each in trial_seeds(seed)
    ]


def run_trial(trial):
    """Run one trial."""
    rng = random.Random(f"{trial.seed} fairness")
    claims = _draw_claims(Deployment.from_sample(trial.deployment), rng)
    queue = QUEUES_BY_STRATEGY[trial.strategy](QUEUE_LIMIT)
    for pool, slots in SLOTS_BY_POOL.items():
        queue.set_capacity(pool, slots)
    run = AdmissionRun(queue, WARM_UP_MS, END_MS)
    run.run(_draw_work_items(claims, trial.short_share, rng))
    exact = exact_shares(claims, SLOTS_BY_POOL)
    slots = {
        claim.name: run.used_ms_by_organisation.get(claim.name, 0.0)
        / (END_MS - WARM_UP_MS)
        for claim in claims
    }
    worst = min(slots[claim.name] / claim.weight for claim in claims)
    exact_worst = min(exact[claim.name] / claim.weight for claim in claims)
    lowest_ratio = min(slots[claim.name] / exact[claim.name] for claim in claims)
    return TrialResult(trial, worst / exact_worst, lowest_ratio)


def summarise(seed, results):
    """Return the report of all trials."""
    figures = []
    targets = []
    for name, group in group_results_by_name(results).items():
        worst = [result.worst for result in group]
        lowest_ratios = [result.lowest_ratio for result in group]
        figures += summary_figures(f"{name}.worst-share", worst, "of exact")
        figures += summary_figures(f"{name}.least-of-own", lowest_ratios, "of exact")
        if name.endswith(ROUTER):
            targets.append(Target(f"{name}.worst-share", "at-least", MIN_WORST_SHARE))
    return Report(NAME, seed, figures, targets)


def run(seed):
    """Run all trials one after the other."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])


def _draw_claims(deployment, rng):
    """Return claims with the weights of the sample and random pools and demands."""
    pools = sorted(SLOTS_BY_POOL)
    organisations = deployment.organisations
    weights = sum(each.weight for each in organisations)
    total_slots = sum(SLOTS_BY_POOL.values())
    claims = []
    for each in organisations:
        allowed = rng.sample(pools, rng.choice((1, 2, 2, 3, 4)))
        fair_slots = total_slots * each.weight / weights
        demand = fair_slots * rng.uniform(*DEMAND_TO_FAIR_SHARE)
        claims.append(Claim(each.name, each.weight, allowed, demand))
    return claims


def _draw_work_items(claims, short_share, rng):
    items = []
    for claim in claims:
        at_ms = 0.0
        while True:
            at_ms += rng.expovariate(claim.demand / MEAN_SERVICE_MS)
            if at_ms >= END_MS:
                break
            pools = list(claim.pools)
            pools.sort()
            rng.shuffle(pools)
            request = AdmissionRequest(
                f"{claim.name}-{len(items)}",
                claim.name,
                claim.weight,
                tuple(pools),
                at_ms + TIMEOUT_MS,
                MEAN_SERVICE_MS,
                rng.random() < short_share,
            )
            items.append(WorkItem(request, rng.expovariate(1 / MEAN_SERVICE_MS), at_ms))
    return items
