"""Steps on the belief that no backend server can be reached, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when

from stoatpath import outcomes
from stoatpath.dispatch.messages import AttemptResult
from stoatpath.forwarding.partitions import PartitionDetector
from stoatpath.measure.virtual_loops import VirtualClock, VirtualLoop

SERVICE = "desk"
SEED = 1
CONNECT_S = 0.4
REASONS = {
    reason.name: reason
    for reason in (
        outcomes.CONNECT_FAILED,
        outcomes.SILENT_CONNECTION,
        outcomes.BROKEN_ANSWER,
    )
}


@given("{total:d} backend servers of a service, of which {count:d} accept connections")
def step_impl(context, total, count):
    context.loop = VirtualLoop()
    context.open = {f"s{index}" for index in range(total - count, total)}
    backends = [SimpleNamespace(address=f"s{index}") for index in range(total)]

    async def is_reachable(address):
        await asyncio.sleep(0.001 if address in context.open else CONNECT_S)
        return address in context.open

    directory = SimpleNamespace(of_service=lambda service: backends)
    context.detector = PartitionDetector(
        directory, is_reachable, VirtualClock(context.loop), random.Random(SEED)
    )
    context.changes = []
    context.detector.observers.append(
        lambda service: context.changes.append(belief(context))
    )

    def close():
        context.loop.run_until_complete(context.detector.close())
        context.loop.close()

    context.add_cleanup(close)


def belief(context):
    return "unreachable" if context.detector.is_unreachable(SERVICE) else "reachable"


@when("an attempt at one of them ends as {reason}")
def step_impl(context, reason):
    request = SimpleNamespace(service=SimpleNamespace(name=SERVICE))
    result = AttemptResult(
        "s0", SERVICE, REASONS[reason], None, 0.0, None, 1.0, request=request
    )

    async def observe():
        context.detector.observe(result)

    context.loop.run_until_complete(observe())


@when("all backend servers accept connections {seconds:d} s later")
def step_impl(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    context.open |= {f"s{index}" for index in range(9)}


@then("within {seconds:d} s the service counts as {expected}")
def step_impl(context, seconds, expected):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    assert belief(context) == expected


@then("the changes of the belief were told: {expected}")
def step_impl(context, expected):
    assert context.changes == expected.split(", "), context.changes
