"""Steps on whole roll-outs of a plain service, in virtual time."""

from behave import given, then, when

from stoatpath.measure.release_models import (
    DESK_KINDS,
    EXPOSURE_SHARE,
    EXPOSURE_SLACK,
    Regression,
    ReleaseFleet,
)
from stoatpath.measure.virtual_loops import run_virtually
from stoatpath.rollouts.messages import COMPLETED, ROLLED_BACK

REGRESSIONS = {
    "is good": Regression(),
    "answers half of them 8 times slower": Regression(0.5, 8.0),
    "answers all of them 3 times slower": Regression(1.0, 3.0),
    "fails half of them": Regression(0.5, is_failing=True),
}


@given("{count:d} instances that send {rate:g} requests a second to a plain service")
def step_impl(context, count, rate):
    context.size = (count, rate)


@when(
    "a release that {regression} is rolled out in {seconds:g} s, with {seeds:d} seeds"
)
def step_impl(context, regression, seconds, seeds):
    context.states = []
    context.excesses = []
    for seed in range(seeds):

        async def play(loop, seed=seed):
            fleet = ReleaseFleet(
                loop, *context.size, DESK_KINDS, REGRESSIONS[regression], seed
            )
            context.states.append(await fleet.play(seconds))
            allowed = EXPOSURE_SHARE * fleet.requests + EXPOSURE_SLACK
            context.excesses.append(fleet.exposed - allowed)

        run_virtually(play)


@then("it is rolled back with all seeds but {count:d}")
def step_impl(context, count):
    others = len(context.states) - context.states.count(ROLLED_BACK)
    assert others <= count, context.states


@then("it is completed with all seeds but {count:d}")
def step_impl(context, count):
    others = len(context.states) - context.states.count(COMPLETED)
    assert others <= count, context.states


@then("the new release got at most its exposure")
def step_impl(context):
    assert max(context.excesses) <= 0.0, context.excesses
