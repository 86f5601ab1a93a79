"""Steps of operator actions on roll-outs."""

from behave import given, then, when

from stoatpath.commands.rollouts import plan_rollout_change
from stoatpath.configuration.messages import KINDS, MODEL, ROLLOUT, Problem
from stoatpath.configuration.snapshots import Snapshot
from stoatpath.configuration.validators import find_problems

NAME = "m-2"


@given("a roll-out whose state is {state}")
def step_impl(context, state):
    by_kind = {kind: {} for kind in KINDS}
    by_kind[MODEL]["m"] = {"cost": 1, "current": "1", "versions": {"1": {}, "2": {}}}
    by_kind[ROLLOUT][NAME] = {"model": "m", "to": "2", "steps": [1.0], "state": state}
    context.snapshot = Snapshot(1, by_kind)


@when("an operator plans to {action} it")
def step_impl(context, action):
    changes = plan_rollout_change(context.snapshot, action, NAME)
    context.snapshot = context.snapshot.with_changes(2, changes)


@when("an operator plans to halt another one")
def step_impl(context):
    context.problem = plan_rollout_change(context.snapshot, "halt", "other")


@then("the configuration stays valid, its state is {state} and the trial is {trial:d}")
def step_impl(context, state, trial):
    assert not find_problems(context.snapshot.by_kind)
    assert context.snapshot.by_kind[ROLLOUT][NAME]["state"] == state
    assert context.snapshot.versions_by_name["m@2"].trial == trial


@then("the problem lists the existing roll-outs")
def step_impl(context):
    assert isinstance(context.problem, Problem) and NAME in context.problem.expected
