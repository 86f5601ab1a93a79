"""Steps on the watch over silent exchanges, in virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then

from stoatpath.dispatch.liveness import LivenessWatch
from stoatpath.measure.virtual_loops import VirtualClock, run_virtually

WATCHED_S = 12.0
EVENT_MS = 100.0


@given("a backend server that sends nothing from 0 ms to {until:d} ms")
def step_impl(context, until):
    context.until_ms = until


@given("that {accepts} connections meanwhile, after {delay:d} ms")
def step_impl(context, accepts, delay):
    context.accepts = accepts == "accepts"
    context.delay_ms = delay


def play(context):
    """Return when the exchange was aborted, or None."""

    async def main(loop):
        clock = VirtualClock(loop)
        aborted_ms = []
        deadlines = SimpleNamespace(
            is_writing=False,
            last_received_ms=0.0,
            abort_unreachable=lambda: aborted_ms.append(clock.now_ms()),
        )

        async def is_reachable(address):
            if context.accepts or clock.now_ms() >= context.until_ms:
                return True
            await asyncio.sleep(context.delay_ms / 1000)
            return clock.now_ms() >= context.until_ms

        async def send_events():
            await clock.sleep_until(context.until_ms)
            while True:
                deadlines.last_received_ms = clock.now_ms()
                await clock.sleep_until(clock.now_ms() + EVENT_MS)

        attempt = SimpleNamespace(backend=SimpleNamespace(address="s0"))
        watch = LivenessWatch(attempt, deadlines, clock, is_reachable)
        watch.start()
        sender = asyncio.create_task(send_events())
        await asyncio.sleep(WATCHED_S)
        watch.stop()
        sender.cancel()
        return aborted_ms[0] if aborted_ms else None

    return run_virtually(main)


@then("the exchange goes on")
def step_impl(context):
    assert play(context) is None


@then("the exchange ends within {limit:d} ms")
def step_impl(context, limit):
    assert play(context) <= limit
