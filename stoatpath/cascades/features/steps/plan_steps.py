"""Steps for plans and their execution."""

import random

from behave import given, then, when
from hypothesis import given as forall, settings, strategies

from stoatpath.cascades.estimates import Estimates
from stoatpath.cascades.messages import Plan, PlanQuery, RatedAnswer, Stage, StageResult
from stoatpath.cascades.plan_executions import PlanExecution
from stoatpath.cascades.planners import Planner
from stoatpath.configuration.documents import Objective
from stoatpath.measure.deployments import Deployment

HOUR_MS = 3_600_000.0
CHEAP, EXPENSIVE = "cheap", "expensive"


def use_deployment(context, name, purpose):
    """Set up the cascade and one purpose of a sample deployment."""
    context.deployment = Deployment.from_sample(name)
    context.purpose = context.deployment.service.by_purpose[purpose]
    versions = context.deployment.versions
    context.by_role = {CHEAP: versions[0], EXPENSIVE: versions[-1]}
    context.estimates = Estimates()
    context.planner = Planner(context.estimates, random.Random(11))
    context.now_ms = 0.0
    context.deadline_ms = 60_000.0


def add_ratings(context, role, rating, count, is_escalated=False):
    """Add the same rating to the estimates `count` times."""
    rated = RatedAnswer(
        context.deployment.service,
        context.purpose,
        context.by_role[role],
        rating,
        context.purpose.quality,
        is_escalated,
    )
    for _ in range(count):
        context.estimates.record_rating(rated, context.now_ms)
    usage = context.estimates.usage(
        context.deployment.service, context.purpose, context.by_role[role]
    )
    usage.record_answer(100, 1.0)


def build_query(context, kind="buffered"):
    """Return a plan query for a request of `kind`."""
    return PlanQuery(
        context.deployment.service,
        context.purpose,
        kind != "not repeatable",
        kind == "streamed",
        kind == "session",
        context.deadline_ms,
    )


def start_execution(context):
    """Begin an execution of a cheap and an expensive stage."""
    target = context.purpose.quality
    stages = [Stage(context.by_role[role], target) for role in (CHEAP, EXPENSIVE)]
    query = build_query(context)
    context.execution = PlanExecution(context.planner, query, Plan(stages, "test"))


def record_stage_result(context, role, rating):
    """Let the next stage answer."""
    result = StageResult(context.by_role[role].name, 100, 1.0, rating)
    context.execution.record_result(role, result, context.now_ms)


@given("a plan of a cheap and an expensive version at the target 0.7")
def step_impl(context):
    use_deployment(context, "coral-coast", "guest-question")
    start_execution(context)


@given("the {role} version was rated {rating:g} {count:d} times")
def step_impl(context, role, rating, count):
    add_ratings(context, role, rating, count)


@given("the expensive version takes {seconds:g} seconds")
def step_impl(context, seconds):
    usage = context.estimates.usage(
        context.deployment.service, context.purpose, context.by_role[EXPENSIVE]
    )
    usage.record_answer(100, seconds)


@given("the deadline is in {seconds:g} seconds")
def step_impl(context, seconds):
    context.deadline_ms = context.now_ms + seconds * 1000
    start_execution(context)


@when("the {role} answer is rated {rating}")
def step_impl(context, role, rating):
    record_stage_result(context, role, None if rating == "none" else float(rating))


@when("the expensive stage fails")
def step_impl(context):
    context.execution.record_failure()


@then("another stage runs: {runs}")
def step_impl(context, runs):
    assert (context.execution.stage is not None) == (runs == "yes")


@then("the answer of the {role} version is returned")
def step_impl(context, role):
    best = context.execution.best_answer()
    assert best.answer == role, best.answer
    assert best.result.version == context.by_role[role].name


@then("{count:d} stages are billed")
def step_impl(context, count):
    assert len(context.execution.results) == count


@then("for any two ratings the returned answer is the best of those that ran")
def step_impl(context):
    ratings = strategies.floats(min_value=0.0, max_value=1.0)

    @settings(derandomize=True, database=None, deadline=None)
    @forall(ratings, ratings)
    def check(cheap, expensive):
        use_deployment(context, "coral-coast", "guest-question")
        start_execution(context)
        record_stage_result(context, CHEAP, cheap)
        assert (context.execution.stage is None) == (cheap >= 0.7)
        ran = [cheap]
        if context.execution.stage is not None:
            record_stage_result(context, EXPENSIVE, expensive)
            ran.append(expensive)
        assert context.execution.stage is None
        assert context.execution.best_answer().result.rating == max(ran)
        assert [each.rating for each in context.execution.results] == ran

    check()


@given("the cascade of {deployment} and the purpose {purpose}")
def step_impl(context, deployment, purpose):
    use_deployment(context, deployment, purpose)


@given("{hours:g} hours pass")
def step_impl(context, hours):
    context.now_ms += hours * HOUR_MS


@when("{count:d} plans are made for a request that is {kind}")
def step_impl(context, count, kind):
    query = build_query(context, kind)
    versions = context.deployment.versions
    context.plans = [
        context.planner.plan(query, versions, context.now_ms) for _ in range(count)
    ]


@then("{least:d} to {most:d} of them start on the cheap version")
def step_impl(context, least, most):
    cheap = context.by_role[CHEAP]
    count = sum(plan.stages[0].version is cheap for plan in context.plans)
    assert least <= count <= most, count


@then("each has at most {most:d} stages")
def step_impl(context, most):
    assert max(len(plan.stages) for plan in context.plans) <= most


def _first_accept_threshold(context, exposure):
    service = context.deployment.service
    service.objective = Objective(service.objective.latency_weight, exposure)
    for is_escalated in (False, True):
        add_ratings(context, EXPENSIVE, 0.95, 200, is_escalated)
    for rating in (0.3, 0.9):
        add_ratings(context, CHEAP, rating, 100)
    query = build_query(context)
    for _ in range(200):
        plan = context.planner.plan(query, context.deployment.versions, 0.0)
        if len(plan.stages) > 1:
            return plan.stages[0].accept_threshold
    raise AssertionError("no plan of two stages")


@then("the rating that ends its cascade is {rating:g} with an exposure weight near 0")
def step_impl(context, rating):
    found = _first_accept_threshold(context, 1e-9)
    assert found == rating, found


@then("it is between {least:g} and {most:g} with an exposure weight of {weight:g}")
def step_impl(context, least, most, weight):
    found = _first_accept_threshold(context, weight)
    assert least <= found <= most, found
