"""Steps for cascades by confidence."""

from types import SimpleNamespace

from behave import given, then, when

from stoatpath.callers.relay_messages import Prompt
from stoatpath.cascades.confidence import ConfidencePlanner

SERVICE = "desk-assist"
NOW_MS = 50_000.0
COSTS = {"small": 0.02, "medium": 0.1, "large": 0.3}


class Budget:
    def __init__(self):
        self.extras = 50.0

    def remaining(self, service):
        return self.extras


def request(model="*", runs=3, last_event_id="", is_repeatable=True):
    models = ("small", "large") if model == "*" else ()
    return SimpleNamespace(
        service=SimpleNamespace(name=SERVICE, cost_by_model=COSTS),
        route=SimpleNamespace(models=models, max_attempts=runs),
        run_count=0,
        prompt=Prompt(model, 100, 50, 50, ()),
        last_event_id=last_event_id,
        is_repeatable=is_repeatable,
    )


@given("a cascade whose larger model began {count:d} of its last 20 answers late")
def step_impl(context, count):
    context.budget = Budget()
    context.planner = ConfidencePlanner(context.budget)
    for number in range(20):
        context.planner.lateness.record_answer(SERVICE, number < count, NOW_MS + number)


def accept_threshold(context, after_ms):
    plan = context.planner.plan(request(), NOW_MS + 20 + after_ms)
    return plan.stages[0].accept_threshold


@then("an answer is accepted from a confidence of at most {most:d}")
def step_impl(context, most):
    assert accept_threshold(context, 0) <= most


@then("after {seconds:d} seconds without answers the threshold is at least {least:d}")
def step_impl(context, seconds, least):
    assert accept_threshold(context, seconds * 1_000) >= least


@then("an answer is accepted from a confidence of {exactly:d}")
def step_impl(context, exactly):
    assert accept_threshold(context, 0) == exactly


@when("a request is planned {how}")
def step_impl(context, how):
    if how == "without retry budget":
        context.budget.extras = 0.0
    requests_by_how = {
        "with one attempt": request(runs=1),
        "that can't be repeated": request(is_repeatable=False),
        "to resume after an event": request(last_event_id="4"),
        "without retry budget": request(),
        "for medium": request(model="medium"),
    }
    context.plan = context.planner.plan(requests_by_how[how], NOW_MS)


@then("it runs on {models}")
def step_impl(context, models):
    names = [stage.version.name for stage in context.plan.stages]
    assert names == models.split(), names
