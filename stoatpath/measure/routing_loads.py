"""Latency of routing policies under load, with a slow replica and stale reports."""

from stoatpath.measure.deployments import DEPLOYMENTS, Deployment
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.measure.routing_baselines import (
    LeastReportedChooser,
    OracleChooser,
    RandomChooser,
    RoundRobinChooser,
)
from stoatpath.measure.routing_runs import RoutingRun
from stoatpath.measure.seed_statistics import (
    mean,
    percentile,
    summary_figures,
    trial_seeds,
)
from stoatpath.routing.choosers import LeastTimeChooser

NAME = "routing"
LOADS = (0.5, 0.8, 0.95)
ROUTER = "router"
ORACLE = "oracle"
BASELINES = ("random", "round-robin", "least-reported")
POLICIES = (ROUTER, ORACLE, *BASELINES)
MAX_RATIO_TO_ORACLE = 1.25


class Trial:
    """One seed of one policy, deployment, load and share of engines that go down."""

    __slots__ = ("deployment", "load", "down_share", "policy", "seed")

    def __init__(self, deployment, load, down_share, policy, seed):
        self.deployment = deployment
        self.load = load
        self.down_share = down_share
        self.policy = policy
        self.seed = seed

    @property
    def key(self):
        """Return the key shared by the trials of all policies and seeds."""
        fault = "zone-lost" if self.down_share else "slow-stale"
        return f"{self.deployment}.{fault}.load-{self.load}"


class TrialResult:
    """Latencies of one trial; `failed` is a share of requests."""

    __slots__ = ("trial", "p95_ms", "p99_ms", "slowdown", "failed")

    def __init__(self, trial, p95_ms, p99_ms, slowdown, failed):
        self.trial = trial
        self.p95_ms = p95_ms
        self.p99_ms = p99_ms
        self.slowdown = slowdown
        self.failed = failed


def list_trials(seed):
    """Return all trials, the longest first."""
    conditions = [(load, 0.0) for load in sorted(LOADS, reverse=True)]
    conditions.append((LOADS[0], 1 / 3))
    return [
        Trial(deployment, load, down_share, policy, each)
        for load, down_share in conditions
        for deployment in DEPLOYMENTS
        for policy in POLICIES
        for each in trial_seeds(seed)
    ]


def run_trial(trial):
    """Run one trial."""
    deployment = Deployment.from_sample(trial.deployment)
    make_chooser = _CHOOSER_FACTORIES_BY_POLICY[trial.policy]
    run = RoutingRun(deployment, trial.seed, make_chooser, trial.load, trial.down_share)
    run.run()
    return TrialResult(
        trial,
        percentile(run.latencies_ms, 0.95),
        percentile(run.latencies_ms, 0.99),
        percentile(run.slowdowns, 0.99),
        run.failures / run.requests,
    )


def summarise(seed, results):
    """Return the report of all trials."""
    figures = []
    targets = []
    by_key = {}
    for result in results:
        policies = by_key.setdefault(result.trial.key, {})
        policies.setdefault(result.trial.policy, []).append(result)
    for key, by_policy in by_key.items():
        figures += _condition_figures(key, by_policy)
        for measure in ("", "slowdown-"):
            name = f"{key}.{measure}ratio-to"
            targets.append(Target(f"{name}-oracle", "at-most", MAX_RATIO_TO_ORACLE))
            targets.append(Target(f"{name}-best-baseline", "at-most", 1.0))
    return Report(NAME, seed, figures, targets)


def run(seed):
    """Run all trials one after the other."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])


def _condition_figures(key, by_policy):
    figures = []
    p99_by_policy = {}
    slowdown_by_policy = {}
    for policy, results in by_policy.items():
        p99s = [result.p99_ms for result in results]
        p99_by_policy[policy] = mean(p99s)
        figures += summary_figures(f"{key}.{policy}.p99", p99s, "ms")
        p95 = mean([result.p95_ms for result in results])
        figures.append(Figure(f"{key}.{policy}.p95", round(p95, 3), "ms"))
        slowdowns = [result.slowdown for result in results]
        slowdown_by_policy[policy] = mean(slowdowns)
        figures += summary_figures(f"{key}.{policy}.slowdown-p99", slowdowns, "ratio")
        failed = mean([result.failed for result in results])
        figures.append(Figure(f"{key}.{policy}.failed", round(failed, 6), "share"))
    figures += _ratios(key, "", p99_by_policy)
    figures += _ratios(key, "slowdown-", slowdown_by_policy)
    return figures


def _ratios(key, measure, value_by_policy):
    router_value = value_by_policy[ROUTER]
    best_baseline = min(value_by_policy[policy] for policy in BASELINES)
    oracle = round(router_value / value_by_policy[ORACLE], 4)
    return [
        Figure(f"{key}.{measure}ratio-to-oracle", oracle, "ratio"),
        Figure(
            f"{key}.{measure}ratio-to-best-baseline",
            round(router_value / best_baseline, 4),
            "ratio",
        ),
    ]


def _make_router(run, zone):
    return LeastTimeChooser(zone, run.rng)


def _make_oracle(run, zone):
    return OracleChooser(run.rng, run.engines_by_name, run.arrivals_by_id)


_CHOOSER_FACTORIES_BY_POLICY = {
    ROUTER: _make_router,
    ORACLE: _make_oracle,
    "random": lambda run, zone: RandomChooser(run.rng),
    "round-robin": lambda run, zone: RoundRobinChooser(run.rng),
    "least-reported": lambda run, zone: LeastReportedChooser(run.rng),
}
