"""Steps that start a complete site and run the demonstration on it."""

import asyncio

from behave import given, then, when

from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration


@given("a site with {count:d} routers and the sample configurations")
def step_impl(context, count):
    context.routers = count


@when("every kind of request is sent")
def step_impl(context):
    async def run():
        site = Site()
        await site.start(routers=context.routers)
        try:
            demonstration = Demonstration(site)
            await demonstration.submit_samples()
            return await demonstration.run()
        finally:
            await site.stop()

    context.exit_code = asyncio.run(run())


@then("every check of the demonstration passes")
def step_impl(context):
    assert context.exit_code == 0
