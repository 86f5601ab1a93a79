"""Extra attempts while half of the pool is down, with and without a retry budget."""

from stoatpath.dispatch.retries import RetryBudget
from stoatpath.measure.deployments import Deployment
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.measure.routing_baselines import RandomChooser
from stoatpath.measure.routing_runs import RoutingRun
from stoatpath.measure.seed_statistics import mean, summary_figures
from stoatpath.measure.strategy_trials import (
    group_results_by_name,
    list_strategy_trials,
)
from stoatpath.routing.choosers import LeastTimeChooser

NAME = "retries"
LOAD = 0.4
DOWN_SHARE = 0.5
MAX_ATTEMPTS_PER_REQUEST = 1.1
ROUTER = "router"
BUDGET_ALONE = "budget-without-breakers"
BREAKERS_ALONE = "breakers-without-budget"
NEITHER = "neither"
STRATEGIES = (ROUTER, BUDGET_ALONE, BREAKERS_ALONE, NEITHER)


class UnlimitedBudget:
    """A retry budget that allows every retry."""

    __slots__ = ()

    def record_request(self):
        """Ignore the request."""

    def try_spend(self):
        """Return True: the budget is never exhausted."""
        return True


class TrialResult:
    """Attempts and failures per request that arrived during the outage."""

    __slots__ = ("trial", "attempts", "failed")

    def __init__(self, trial, attempts, failed):
        self.trial = trial
        self.attempts = attempts
        self.failed = failed


def list_trials(seed):
    """Return all trials."""
    return list_strategy_trials(STRATEGIES, seed)


def run_trial(trial):
    """Run one trial."""
    has_breakers = trial.strategy in (ROUTER, BREAKERS_ALONE)
    has_budget = trial.strategy in (ROUTER, BUDGET_ALONE)
    run = RoutingRun(
        Deployment.from_sample(trial.deployment),
        trial.seed,
        _make_chooser if has_breakers else _make_random_chooser,
        LOAD,
        DOWN_SHARE,
        RetryBudget if has_budget else UnlimitedBudget,
    )
    run.run()
    attempts = run.outage_attempts / run.outage_requests
    return TrialResult(trial, attempts, run.failures / run.outage_requests)


def summarise(seed, results):
    """Return the report of all trials."""
    figures = []
    targets = []
    for name, group in group_results_by_name(results).items():
        attempts = [result.attempts for result in group]
        figures += summary_figures(f"{name}.attempts", attempts, "per request")
        failed = round(mean([result.failed for result in group]), 6)
        figures.append(Figure(f"{name}.failed", failed, "share"))
        if name.endswith(f".{ROUTER}"):
            figure = f"{name}.attempts.highest"
            targets.append(Target(figure, "at-most", MAX_ATTEMPTS_PER_REQUEST))
    return Report(NAME, seed, figures, targets)


def run(seed):
    """Run all trials one after the other."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])


def _make_chooser(run, zone):
    return LeastTimeChooser(zone, run.rng)


def _make_random_chooser(run, zone):
    return RandomChooser(run.rng)
