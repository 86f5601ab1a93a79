"""Trials that compare several ways of deciding, at both deployments."""

from stoatpath.measure.deployments import DEPLOYMENTS
from stoatpath.measure.seed_statistics import seeds_from


class WayTrial:
    """One seed of one way and deployment."""

    __slots__ = ("deployment", "way", "seed")

    def __init__(self, deployment, way, seed):
        self.deployment = deployment
        self.way = way
        self.seed = seed

    @property
    def name(self):
        """Return what the trials of several seeds have in common."""
        return f"{self.deployment}.{self.way}"


def list_way_trials(ways, seed):
    """Return the trials of all ways, deployments and seeds."""
    return [
        WayTrial(deployment, way, each)
        for deployment in DEPLOYMENTS
        for way in ways
        for each in seeds_from(seed)
    ]


def group_by_name(results):
    """Return the results of several seeds by the name of their trials."""
    by_name = {}
    for result in results:
        by_name.setdefault(result.trial.name, []).append(result)
    return by_name
