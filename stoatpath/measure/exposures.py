"""Requests that a bad version serves before the last router stops.

Compared with a fixed share of 5% for a fixed time, and with no guard, where an
operator acts after the same time. Also: good versions that are halted, by the
same judge over all steps of 1,000 roll-outs.
"""

import random

from stoatpath.measure.deployments import CORAL_COAST, DEPLOYMENTS, Deployment
from stoatpath.measure.exposure_models import (
    RATING_SPREAD,
    REQUESTS_PER_S,
    Disturbance,
    RolloutModel,
)
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.measure.seed_statistics import (
    mean,
    percentile,
    summary_figures,
    trial_seeds,
)
from stoatpath.rollouts.evaluators import SUSPEND, Sample, StepEvaluator
from stoatpath.rollouts.messages import Rollout
from stoatpath.rollouts.samplers import OLD_RATINGS_PER_NEW, rating_level

FIXED_SHARE = 0.05
FIXED_TIME_S = 600
GOOD_ROLLOUTS = 1_000
GOOD_BATCH = 50
GOOD_LOOK_RATINGS = 20
GOOD_QUALITIES = (0.8, 0.95)
TURNS_MS = 5_000.0
TARGET_REQUESTS = 200
TARGET_FALSE_HALTS = 0.01
PLANS = {
    CORAL_COAST: {"steps": [0.05, 0.25, 0.5, 1.0], "rating_share": 0.5},
    "prichard": {"steps": [0.01, 0.05, 0.25, 0.5, 1.0], "rating_share": 1.0},
}
SCENARIOS = {
    "first-step": (0.0, Disturbance()),
    "half": (0.5, Disturbance(TURNS_MS)),
    "full": (1.0, Disturbance(TURNS_MS)),
    "drift": (0.5, Disturbance(TURNS_MS, drift_ms=20_000.0)),
    "late": (0.0, Disturbance(late_ms=5_000.0)),
    "missing": (0.0, Disturbance(missing=0.5)),
    "biased": (0.0, Disturbance(bias=0.1)),
    "few": (0.0, Disturbance(missing=0.9)),
    "late-and-biased": (0.0, Disturbance(late_ms=5_000.0, bias=0.1)),
    "half-and-missing": (0.5, Disturbance(TURNS_MS, missing=0.5)),
}
ON_TARGET = ("first-step", "half", "full")
GOOD = "good"


class ExposureTrial:
    """One deployment, scenario and seed."""

    __slots__ = ("deployment", "scenario", "seed")

    def __init__(self, deployment, scenario, seed):
        self.deployment = deployment
        self.scenario = scenario
        self.seed = seed


class ExposureResult:
    """What one trial came to: a count, and how many ratings it took."""

    __slots__ = ("deployment", "scenario", "count", "ratings", "is_suspended")

    def __init__(self, deployment, scenario, count, ratings, is_suspended):
        self.deployment = deployment
        self.scenario = scenario
        self.count = count
        self.ratings = ratings
        self.is_suspended = is_suspended


def list_trials(seed):
    """Return every deployment and scenario at every seed, and good batches."""
    trials = []
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            trials += [
                ExposureTrial(deployment, scenario, each) for each in trial_seeds(seed)
            ]
        batches = GOOD_ROLLOUTS // GOOD_BATCH // len(DEPLOYMENTS)
        trials += [
            ExposureTrial(deployment, GOOD, seed * 1_000 + batch)
            for batch in range(batches)
        ]
    return trials


def run_trial(trial):
    """Return the result of one trial."""
    if trial.scenario == GOOD:
        return _run_good(trial)
    share, disturbance = SCENARIOS[trial.scenario]
    plan = PLANS[trial.deployment]
    index = 0
    if share > 0:
        index = plan["steps"].index(share)
    deployment = Deployment.from_sample(trial.deployment)
    model = RolloutModel(deployment, plan, index, disturbance, trial.seed)
    model.run()
    return ExposureResult(
        trial.deployment,
        trial.scenario,
        model.exposure,
        model.ratings,
        model.suspended_ms is not None,
    )


def _run_good(trial):
    """Count the halts among good roll-outs, each judged over all its steps."""
    plan = PLANS[trial.deployment]
    rollout = Rollout("trial", "m", "m@2", tuple(plan["steps"]), step_ms=0)
    halts = 0
    ratings = 0
    for index in range(GOOD_BATCH):
        rng = random.Random(f"{trial.deployment}-{trial.seed}-{index}")
        halts += _is_halted(rollout, rng)
        ratings += rollout.min_ratings * len(rollout.steps)
    return ExposureResult(trial.deployment, GOOD, halts, ratings, halts > 0)


def _is_halted(rollout, rng):
    by_purpose = {str(quality): Sample.empty() for quality in GOOD_QUALITIES}
    for _ in rollout.steps:
        judge = StepEvaluator(rollout, by_purpose, 0)
        for count in range(1, rollout.min_ratings + 1):
            quality = rng.choice(GOOD_QUALITIES)
            sample = by_purpose[str(quality)]
            sample.new[_draw_level(quality, rng)] += 1
            for _ in range(int(OLD_RATINGS_PER_NEW)):
                sample.old[_draw_level(quality, rng)] += 1
            if count % GOOD_LOOK_RATINGS == 0:
                if judge.evaluate(by_purpose, count * 1_000).action == SUSPEND:
                    return True
    return False


def _draw_level(quality, rng):
    return rating_level(rng.gauss(quality, RATING_SPREAD), str(rng.random()))


def summarise(seed, results):
    """Return the report of all trials."""
    figures = []
    targets = []
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            found = _select(results, deployment, scenario)
            name = f"exposure.{deployment}.{scenario}"
            counts = [each.count for each in found]
            figures += summary_figures(name, counts, "requests")
            figures.append(Figure(f"{name}.p95", percentile(counts, 0.95), "requests"))
            caught = mean([each.is_suspended for each in found])
            figures.append(Figure(f"{name}.caught", caught, "share"))
            if scenario in ON_TARGET:
                targets.append(Target(name, "at-most", TARGET_REQUESTS))
        found = _select(results, deployment, GOOD)
        halts = sum(each.count for each in found) / (len(found) * GOOD_BATCH)
        name = f"exposure.{deployment}.false-halts"
        figures.append(Figure(name, halts, "share of roll-outs"))
        targets.append(Target(name, "at-most", TARGET_FALSE_HALTS))
    figures += _baselines()
    return Report("exposure", seed, figures, targets)


def _select(results, deployment, scenario):
    return [
        each
        for each in results
        if each.deployment == deployment and each.scenario == scenario
    ]


def _baselines():
    """Return what is expected to be served until the fixed time is over."""
    fixed = FIXED_SHARE * REQUESTS_PER_S * FIXED_TIME_S
    unguarded = REQUESTS_PER_S * FIXED_TIME_S
    return [
        Figure("exposure.fixed-share.first-step", fixed, "requests"),
        Figure("exposure.fixed-share.full", unguarded, "requests"),
        Figure("exposure.no-guard", unguarded, "requests"),
    ]


def run(seed):
    """Run all trials one after the other and return the report."""
    return summarise(seed, [run_trial(trial) for trial in list_trials(seed)])
