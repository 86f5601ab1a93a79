"""Trials that compare several strategies, at all sample deployments."""

from stoatpath.measure.deployments import DEPLOYMENTS
from stoatpath.measure.seed_statistics import trial_seeds


class StrategyTrial:
    """One seed of one strategy and deployment."""

    __slots__ = ("deployment", "strategy", "seed")

    def __init__(self, deployment, strategy, seed):
        self.deployment = deployment
        self.strategy = strategy
        self.seed = seed

    @property
    def name(self):
        """Return the name shared by the trials that differ only in their seed."""
        return f"{self.deployment}.{self.strategy}"


def list_strategy_trials(strategies, seed):
    """Return the trials of all strategies, deployments and seeds."""
    return [
        StrategyTrial(deployment, strategy, trial_seed)
        for deployment in DEPLOYMENTS
        for strategy in strategies
        for trial_seed in trial_seeds(seed)
    ]


def group_results_by_name(results):
    """Group results by trial name, so that the seeds of one trial are together."""
    by_name = {}
    for result in results:
        by_name.setdefault(result.trial.name, []).append(result)
    return by_name
