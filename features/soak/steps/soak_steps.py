"""Steps that play a short run of the soak."""

import asyncio

from behave import then, when
from soak_runs import SoakRun


@when("{streams:d} streams are played with seed {seed:d} and {framing} answers")
def step_impl(context, streams, seed, framing):
    context.run = SoakRun(seed, streams, unframed=framing == "unframed")
    asyncio.run(context.run.run())


@when("{streams:d} streams are played with seed {seed:d} and planned stops only")
def step_impl(context, streams, seed):
    context.run = SoakRun(seed, streams, unframed=False, planned=True)
    asyncio.run(context.run.run())


@when("{streams:d} streams are played with seed {seed:d} beside odd callers")
def step_impl(context, streams, seed):
    context.run = SoakRun(seed, streams, unframed=False, has_odd_callers=True)
    asyncio.run(context.run.run())


@then("odd callers have sent {count:d} requests of each kind or more")
def step_impl(context, count):
    sent = context.run.odd_callers.sent
    assert min(sent.values()) >= count, sent


@then("at least {count:d} streams were complete")
def step_impl(context, count):
    assert context.run.count_whole() >= count, context.run.report()


@then("no promise was broken")
def step_impl(context):
    assert not context.run.broken, context.run.report()
