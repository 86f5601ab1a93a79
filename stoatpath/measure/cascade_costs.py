"""Cost at the quality target: the planner against fixed strategies and an oracle."""

from stoatpath.measure.answer_models import FAULTS, FAULTS_BY_NAME
from stoatpath.measure.cascade_runs import CascadeRun
from stoatpath.measure.deployments import DEPLOYMENTS, Deployment
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.measure.seed_statistics import mean, summary_figures, trial_seeds

NAME = "cascades"
MAX_COST_RATIO_TO_MOST_EXPENSIVE = 0.45
MAX_COST_RATIO_TO_ORACLE = 1.15
STRATEGIES = ("router", "dearest", "ladder", "oracle")


class Trial:
    """One seed of one deployment and fault of the rating service."""

    __slots__ = ("deployment", "fault", "seed")

    def __init__(self, deployment, fault, seed):
        self.deployment = deployment
        self.fault = fault
        self.seed = seed

    @property
    def key(self):
        """Return the key shared by the trials that differ only in their seed."""
        return f"{self.deployment}.{self.fault}"


class StrategyResult:
    """Means of one strategy: cost, seconds, share of good answers, weighted price.

    `margin` is the lowest difference between mean quality and target of any purpose.
    """

    __slots__ = ("cost", "seconds", "good", "price", "margin")

    def __init__(self, cost, seconds, good, price, margin):
        self.cost = cost
        self.seconds = seconds
        self.good = good
        self.price = price
        self.margin = margin

    @classmethod
    def from_outcomes(cls, outcomes, objective):
        """Summarise the outcomes of one strategy."""
        cost = mean([each.cost for each in outcomes])
        seconds = mean([each.seconds for each in outcomes])
        good = mean([each.is_good for each in outcomes])
        price = cost + objective.latency_weight * seconds
        price += objective.exposure_weight * (1 - good)
        by_purpose = {}
        for each in outcomes:
            by_purpose.setdefault(each.purpose, []).append(each.quality)
        margin = min(
            mean(qualities) - purpose.quality
            for purpose, qualities in by_purpose.items()
        )
        return cls(cost, seconds, good, price, margin)


class TrialResult:
    """The results of one trial by strategy."""

    __slots__ = ("trial", "by_strategy")

    def __init__(self, trial, by_strategy):
        self.trial = trial
        self.by_strategy = by_strategy


def list_trials(seed):
    """Return all trials."""
    return [
        Trial(deployment, fault.name, each)
        for fault in FAULTS
        for deployment in DEPLOYMENTS
        for each in trial_seeds(seed)
    ]


def run_trial(trial):
    """Run all strategies on the same requests."""
    deployment = Deployment.from_sample(trial.deployment)
    run = CascadeRun(deployment, FAULTS_BY_NAME[trial.fault], trial.seed)
    outcomes_by_strategy = {
        "router": run.run_router(),
        "dearest": run.run_most_expensive(),
        "ladder": run.run_cheapest_first(),
        "oracle": run.run_oracle(),
    }
    objective = deployment.service.objective
    by_strategy = {
        strategy: StrategyResult.from_outcomes(outcomes, objective)
        for strategy, outcomes in outcomes_by_strategy.items()
    }
    return TrialResult(trial, by_strategy)


def summarise(seed, results):
    """Return the report of all trials."""
    figures = []
    targets = []
    by_key = {}
    for result in results:
        by_key.setdefault(result.trial.key, []).append(result)
    for key, group in by_key.items():
        figures += _group_figures(key, group)
        most_expensive_ratio = f"{key}.cost-over-dearest"
        oracle_ratio = f"{key}.cost-over-oracle"
        targets.append(
            Target(most_expensive_ratio, "at-most", MAX_COST_RATIO_TO_MOST_EXPENSIVE)
        )
        targets.append(Target(oracle_ratio, "at-most", MAX_COST_RATIO_TO_ORACLE))
        targets.append(Target(f"{key}.router.margin.lowest", "at-least", 0.0))
    return Report(NAME, seed, figures, targets)


def run(seed):
    """Run all trials one after the other."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])


def _group_figures(key, group):
    figures = []
    for strategy in STRATEGIES:
        strategy_results = [result.by_strategy[strategy] for result in group]
        name = f"{key}.{strategy}"
        costs = [each.cost for each in strategy_results]
        figures += summary_figures(f"{name}.cost", costs, "price a request")
        margins = [each.margin for each in strategy_results]
        figures += summary_figures(f"{name}.margin", margins, "quality over target")
        for measure, unit in (("good", "share"), ("seconds", "s"), ("price", "price")):
            value = mean([getattr(each, measure) for each in strategy_results])
            figures.append(Figure(f"{name}.{measure}", round(value, 6), unit))
    for strategy in ("dearest", "oracle"):
        ratios = [
            result.by_strategy["router"].cost / result.by_strategy[strategy].cost
            for result in group
        ]
        figures += summary_figures(f"{key}.cost-over-{strategy}", ratios, "ratio")
    return figures
