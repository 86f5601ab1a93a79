"""Steps on answers of members that arrive slowly."""

import asyncio
import re
import time

from aiohttp import web
from behave import given, then, when

from stoatpath.clock import ManualClock
from stoatpath.membership.peers import PeerClient, PeerSigner
from stoatpath.outcomes import is_failure
from stoatpath.utils import encode_json

PARTS = 30
TEXT = "x" * 30_000
ENDLESS_S = 60.0


async def respond(request, course):
    """Send the answer in parts, as the scenario says."""
    if course == "never begins":
        await asyncio.sleep(ENDLESS_S)
    body = encode_json({"text": TEXT})
    response = web.StreamResponse()
    response.content_length = len(body)
    await response.prepare(request)
    duration = re.fullmatch(r"arrives evenly within (\d+) ms", course)
    pause_s = int(duration.group(1)) / 1000 / PARTS if duration else 0.0
    size = len(body) // PARTS + 1
    for start in range(0, len(body), size):
        if course == "stops halfway" and start > len(body) // 2:
            await asyncio.sleep(ENDLESS_S)
        try:
            await response.write(body[start : start + size])
        except ConnectionResetError:
            break
        await asyncio.sleep(pause_s)
    return response


@given("a member whose answer {course}")
def step_impl(context, course):
    context.course = course


async def ask(course, limits):
    """Return the answer or failure, and the time until it came in ms."""
    app = web.Application()
    app.router.add_post("/peers/v1/echo", lambda request: respond(request, course))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    # Without shared keys, answers need no signature.
    client = PeerClient(PeerSigner({}), ManualClock())
    try:
        started_s = time.monotonic()
        answer = await client.ask(f"{host}:{port}", "echo", {}, *limits)
        return answer, (time.monotonic() - started_s) * 1000
    finally:
        await client.close()
        await runner.cleanup()


@when("it is asked with a limit of {limit:d} ms")
@when("it is asked with {limit:d} ms until the answer begins and {total:d} ms in total")
def step_impl(context, limit, total=None):
    limits = (limit,) if total is None else (limit, total)
    context.answer, context.time_ms = asyncio.run(ask(context.course, limits))


@then("the answer {outcome} within {limit:d} ms")
def step_impl(context, outcome, limit):
    if outcome == "is read":
        assert context.answer == {"text": TEXT}, context.answer
    else:
        assert outcome == "is given up"
        assert is_failure(context.answer), context.answer
    assert context.time_ms <= limit, context.time_ms
