"""Builders shared by the steps of roll-outs."""

import random

from stoatpath.configuration.documents import Model, Organisation
from stoatpath.rollouts.assigners import VersionAssigner
from stoatpath.rollouts.evaluators import Sample
from stoatpath.rollouts.messages import RATING_LEVELS, Rollout


def build_model(name="m", trial=1):
    """Return a model with a current version 1 and a new version 2."""
    body = {"cost": 1.0, "current": "1", "versions": {"1": {}, "2": {"trial": trial}}}
    return Model.from_document(name, body)


def build_rollout(model="m", steps=(0.1, 0.5, 1.0), **options):
    """Return a roll-out of version 2."""
    return Rollout(f"{model}-2", model, f"{model}@2", steps, **options)


def build_organisation():
    """Return an organisation that may use everything."""
    return Organisation("guests", 1, 1, {}, {"desk": frozenset(("m", "n"))})


class FixedAssigner(VersionAssigner):
    """An assigner with given roll-outs and no configuration."""

    __slots__ = ("rollouts_by_model",)

    def __init__(self, *rollouts):
        super().__init__()
        self.rollouts_by_model = {each.model: each for each in rollouts}

    def rollout_of(self, model_name):
        """Return the roll-out of a model, or None."""
        return self.rollouts_by_model.get(model_name)


class RatingSource:
    """Seeded random ratings of two versions by purpose, as samples."""

    SPREAD = 0.15
    OLD_PER_NEW = 4

    def __init__(self, seed, purposes=("question",)):
        self.rng = random.Random(seed)
        self.by_purpose = {purpose: Sample.empty() for purpose in purposes}

    def level(self, mean):
        """Return a level drawn around a mean."""
        score = min(max(self.rng.gauss(mean, self.SPREAD), 0.0), 1.0)
        exact = score * (RATING_LEVELS - 1)
        level = int(exact)
        return level + (self.rng.random() < exact - level)

    def add(self, purpose, new_mean, old_mean):
        """Add one rating of the new version and some of the old one."""
        sample = self.by_purpose[purpose]
        if new_mean is not None:
            sample.new[self.level(new_mean)] += 1
        if old_mean is not None:
            for _ in range(self.OLD_PER_NEW):
                sample.old[self.level(old_mean)] += 1
