"""Requests that a bad version serves before the last router stops using it.

The baselines are a fixed share of 5% for a fixed time, and no guard, where an
operator acts after the same time. Also measured: the share of good versions that
the same evaluator halts, over all steps of 1,000 roll-outs.
"""

import random

from stoatpath.measure.deployments import CORAL_COAST, DEPLOYMENTS, Deployment
from stoatpath.measure.exposure_models import (
    RATING_DEVIATION,
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
ROLLOUTS_PER_TRIAL = 50
RATINGS_PER_EVALUATION = 20
GOOD_QUALITIES = (0.8, 0.95)
ONSET_MS = 5_000.0
TARGET_REQUESTS = 200
TARGET_FALSE_HALTS = 0.01
PLANS = {
    CORAL_COAST: {"steps": [0.05, 0.25, 0.5, 1.0], "rating_share": 0.5},
    "prichard": {"steps": [0.01, 0.05, 0.25, 0.5, 1.0], "rating_share": 1.0},
}
SCENARIOS = {
    "first-step": (0.0, Disturbance()),
    "half": (0.5, Disturbance(ONSET_MS)),
    "full": (1.0, Disturbance(ONSET_MS)),
    "drift": (0.5, Disturbance(ONSET_MS, drift_ms=20_000.0)),
    "late": (0.0, Disturbance(extra_delay_ms=5_000.0)),
    "missing": (0.0, Disturbance(missing_share=0.5)),
    "biased": (0.0, Disturbance(rating_bias=0.1)),
    "few": (0.0, Disturbance(missing_share=0.9)),
    "late-and-biased": (0.0, Disturbance(extra_delay_ms=5_000.0, rating_bias=0.1)),
    "half-and-missing": (0.5, Disturbance(ONSET_MS, missing_share=0.5)),
}
SCENARIOS_WITH_TARGET = ("first-step", "half", "full")
GOOD_VERSION = "good"


class ExposureTrial:
    """One deployment, scenario and seed."""

    __slots__ = ("deployment", "scenario", "seed")

    def __init__(self, deployment, scenario, seed):
        self.deployment = deployment
        self.scenario = scenario
        self.seed = seed


class ExposureResult:
    """Result of a trial; `count` is exposed requests, or halts of good versions."""

    __slots__ = ("deployment", "scenario", "count", "ratings", "is_suspended")

    def __init__(self, deployment, scenario, count, ratings, is_suspended):
        self.deployment = deployment
        self.scenario = scenario
        self.count = count
        self.ratings = ratings
        self.is_suspended = is_suspended


def list_trials(seed):
    """Return trials of all deployments, scenarios and seeds, and of good roll-outs."""
    trials = []
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            trials += [
                ExposureTrial(deployment, scenario, each) for each in trial_seeds(seed)
            ]
        batches = GOOD_ROLLOUTS // ROLLOUTS_PER_TRIAL // len(DEPLOYMENTS)
        trials += [
            ExposureTrial(deployment, GOOD_VERSION, seed * 1_000 + batch)
            for batch in range(batches)
        ]
    return trials


def run_trial(trial):
    """Return the result of one trial."""
    if trial.scenario == GOOD_VERSION:
        return _run_good_rollouts(trial)
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
        model.exposed_requests,
        model.ratings,
        model.suspended_ms is not None,
    )


def _run_good_rollouts(trial):
    """Count the halts among good roll-outs, each evaluated over all its steps."""
    plan = PLANS[trial.deployment]
    rollout = Rollout("trial", "m", "m@2", tuple(plan["steps"]), step_ms=0)
    halts = 0
    ratings = 0
    for index in range(ROLLOUTS_PER_TRIAL):
        rng = random.Random(f"{trial.deployment}-{trial.seed}-{index}")
        halts += _is_halted(rollout, rng)
        ratings += rollout.min_ratings * len(rollout.steps)
    return ExposureResult(trial.deployment, GOOD_VERSION, halts, ratings, halts > 0)


def _is_halted(rollout, rng):
    by_purpose = {str(quality): Sample.empty() for quality in GOOD_QUALITIES}
    for _ in rollout.steps:
        evaluator = StepEvaluator(rollout, by_purpose, 0)
        for count in range(1, rollout.min_ratings + 1):
            quality = rng.choice(GOOD_QUALITIES)
            sample = by_purpose[str(quality)]
            sample.new[_draw_level(quality, rng)] += 1
            for _ in range(int(OLD_RATINGS_PER_NEW)):
                sample.old[_draw_level(quality, rng)] += 1
            if count % RATINGS_PER_EVALUATION == 0:
                if evaluator.evaluate(by_purpose, count * 1_000).action == SUSPEND:
                    return True
    return False


def _draw_level(quality, rng):
    return rating_level(rng.gauss(quality, RATING_DEVIATION), str(rng.random()))


def summarise(seed, results):
    """Return the report of all trials."""
    figures = []
    targets = []
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            group = _select(results, deployment, scenario)
            name = f"exposure.{deployment}.{scenario}"
            counts = [each.count for each in group]
            figures += summary_figures(name, counts, "requests")
            figures.append(Figure(f"{name}.p95", percentile(counts, 0.95), "requests"))
            suspended_share = mean([each.is_suspended for each in group])
            figures.append(Figure(f"{name}.caught", suspended_share, "share"))
            if scenario in SCENARIOS_WITH_TARGET:
                targets.append(Target(name, "at-most", TARGET_REQUESTS))
        group = _select(results, deployment, GOOD_VERSION)
        halts = sum(each.count for each in group) / (len(group) * ROLLOUTS_PER_TRIAL)
        name = f"exposure.{deployment}.false-halts"
        figures.append(Figure(name, halts, "share of roll-outs"))
        targets.append(Target(name, "at-most", TARGET_FALSE_HALTS))
    figures += _baseline_figures()
    return Report("exposure", seed, figures, targets)


def _select(results, deployment, scenario):
    return [
        each
        for each in results
        if each.deployment == deployment and each.scenario == scenario
    ]


def _baseline_figures():
    """Return the expected requests that the baselines serve in the fixed time."""
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
