"""Steps of the evaluation of roll-outs."""

import math

from behave import given, then, when
from common import RatingSource, build_rollout

from stoatpath.rollouts.evaluators import SUSPEND, StepEvaluator
from stoatpath.rollouts.evidence import BetTable, log_evidence
from stoatpath.rollouts.messages import RATING_LEVELS
from stoatpath.rollouts.samplers import rating_level

SEEDS = range(5)
RATINGS_PER_EVALUATION = 4
RATING_PERIOD_MS = 100
GOOD = 0.9


@given("an evaluator of a roll-out that tolerates a drop of {tolerance:g}")
def step_impl(context, tolerance):
    context.rollout = build_rollout(tolerance=tolerance, min_ratings=200, step_ms=1000)


def _ratings_until_suspended(rollout, seed, good, mean, purposes):
    names = ("a", "b", "c", "d") if purposes == "one of four" else ("a",)
    source = RatingSource(seed, names)
    evaluator = StepEvaluator(rollout, source.by_purpose, 0)
    for index in range(good):
        source.add(names[index % len(names)], GOOD, GOOD)
        if index % (5 * RATINGS_PER_EVALUATION) == 0:
            now_ms = index * RATING_PERIOD_MS
            assert evaluator.evaluate(source.by_purpose, now_ms).action != SUSPEND
    for index in range(1000):
        purpose = names[index % len(names)]
        source.add(purpose, mean if purpose == "a" else GOOD, GOOD)
        if index % RATINGS_PER_EVALUATION:
            continue
        now_ms = (good + index) * RATING_PERIOD_MS
        if evaluator.evaluate(source.by_purpose, now_ms).action == SUSPEND:
            return index + 1
    return math.inf


@when(
    "{good:d} ratings are good and then the new version's mean is {mean:g} "
    "for {purposes}"
)
def step_impl(context, good, mean, purposes):
    context.needed = [
        _ratings_until_suspended(context.rollout, seed, good, mean, purposes)
        for seed in SEEDS
    ]


@then("it is suspended within {ratings:d} ratings of the new version")
def step_impl(context, ratings):
    assert max(context.needed) <= ratings, sorted(context.needed)


MEANS_BY_DISTURBANCE = {
    "the same quality": lambda index: (GOOD, GOOD),
    "a better new version": lambda index: (0.95, GOOD),
    "a drop of 0.03": lambda index: (0.87, GOOD),
    "a drop of 0.3 in both versions": lambda index: (
        (0.6, 0.6) if index > 1500 else (GOOD, GOOD)
    ),
    "a bias of 0.1 that comes later": lambda index: (
        (0.8, 0.8) if index > 700 else (GOOD, GOOD)
    ),
    "no ratings of the new version": lambda index: (None, GOOD),
    "no ratings of the old version": lambda index: (GOOD, None),
}


@when("{count:d} ratings are given with {disturbance}")
def step_impl(context, count, disturbance):
    means = MEANS_BY_DISTURBANCE[disturbance]
    context.actions = set()
    for seed in SEEDS:
        source = RatingSource(seed)
        evaluator = StepEvaluator(context.rollout, source.by_purpose, 0)
        for index in range(count):
            source.add("question", *means(index))
            if index % (5 * RATINGS_PER_EVALUATION) == 0:
                now_ms = index * RATING_PERIOD_MS
                context.actions.add(
                    evaluator.evaluate(source.by_purpose, now_ms).action
                )


@then("it is never suspended")
def step_impl(context):
    assert SUSPEND not in context.actions


@when("{ratings:d} good ratings came within {elapsed_ms:d} ms")
def step_impl(context, ratings, elapsed_ms):
    source = RatingSource(1)
    evaluator = StepEvaluator(context.rollout, source.by_purpose, 0)
    for _ in range(ratings):
        source.add("question", GOOD, GOOD)
    context.decision = evaluator.evaluate(source.by_purpose, elapsed_ms)


@then('the decision is "{action}" because "{reason}"')
def step_impl(context, action, reason):
    assert context.decision.action == action, context.decision.reason
    assert reason in context.decision.reason, context.decision.reason


@then("the mean e-value of equal versions over {count:d} samples is at most {bound:g}")
def step_impl(context, count, bound):
    table = BetTable.for_tolerance(0.0)
    total = 0.0
    for seed in range(count):
        source = RatingSource(seed)
        for _ in range(6):
            source.add("question", 0.7, 0.7)
        sample = source.by_purpose["question"]
        total += math.exp(log_evidence(sample.new, sample.old, table))
    assert total / count <= bound, total / count


@then("the mean level of {count:d} ratings of {score:g} is near {score_again:g}")
def step_impl(context, count, score, score_again):
    levels = [rating_level(score, f"request-{index}") for index in range(count)]
    mean = sum(levels) / count / (RATING_LEVELS - 1)
    assert abs(mean - score) < 0.001, mean
