"""Steps that look up the explanations of requests."""

import asyncio
import io
import logging
import tracemalloc

import aiohttp
from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath import log
from stoatpath.clock import ManualClock
from stoatpath.explanations.finders import ExplanationFinder
from stoatpath.explanations.rings import MAX_REQUEST_BYTES, DecisionRing
from stoatpath.outcomes import is_failure
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration, chat
from stoatpath.utils import encode_json

PROFILE = settings(derandomize=True, database=None, deadline=None, max_examples=100)
PROMPT = "Is hut seventeen free for the Fa'aoso wedding?"
SESSION = "guest-secret-session"
KEY = "very-private-idempotency-key"
MAX_BYTES = 50_000
WAIT_STEP_S = 0.02
WAIT_STEPS = 500


@given("a site that served a question, a stream, a keyed call and a refused request")
def step_impl(context):
    """Send the requests and look up all explanations while the site runs."""
    context.explanations_by_member = []

    async def run():
        site = Site()
        await site.start()
        try:
            await Demonstration(site).submit_samples()
            await wait_until(lambda: knows_all(site))
            context.ids = await send_all(site)
            await look_up_all(context, site)
        finally:
            await site.stop()

    stream = io.StringIO()
    logger = logging.getLogger("stoatpath")
    before = (logger.handlers, logger.level, logger.propagate)
    log.setup("site", "test", stream=stream)
    try:
        asyncio.run(run())
    finally:
        logger.handlers, level, logger.propagate = before
        logger.setLevel(level)
    context.logged = stream.getvalue()


async def wait_until(condition):
    """Return once a condition holds."""
    for _ in range(WAIT_STEPS):
        if condition():
            return
        await asyncio.sleep(WAIT_STEP_S)
    raise AssertionError("the condition was not met in time")


def knows_all(site):
    """Return whether all members know each other and all backend servers."""
    nodes = [each.node for each in site.routers_by_name.values()]
    nodes += [each.node for each in site.controllers_by_name.values()]
    return all(len(node.members.live_names("router")) == 2 for node in nodes) and all(
        router.backends.by_name
        and all(each.slots for each in router.backends.by_name.values())
        for router in site.routers_by_name.values()
    )


async def send_all(site):
    """Send one request of each kind; return their identifiers by kind."""
    first, second = site.routers_by_name.values()
    body = chat("desk-assist", PROMPT)
    completions = "/v1/chat/completions"
    booking = "/services/booking-desk/bookings"
    sent = [
        ("question", first, completions, body, {"Stoatpath-Session": SESSION}),
        ("stream", second, completions, {**body, "stream": True}, {}),
        ("keyed", second, booking, {"hut": PROMPT}, {"Idempotency-Key": KEY}),
        ("refused", first, booking, {"hut": 1}, {"Stoatpath-Timeout-Ms": "1"}),
    ]
    ids = {}
    async with aiohttp.ClientSession() as client:
        for kind, router, path, message, headers in sent:
            secret = "reef-villages.reef-villages-sample-secret"
            headers = {"Authorization": f"Bearer {secret}", **headers}
            url = f"http://{router.address}{path}"
            async with client.post(url, json=message, headers=headers) as response:
                await response.read()
                ids[kind] = response.headers["Stoatpath-Request-Id"]
    return ids


async def look_up_all(context, site):
    """Look up every request at every member, then an unknown one."""
    routers = list(site.routers_by_name.values())
    (controller,) = site.controllers_by_name.values()
    finders = [ExplanationFinder(controller.node)]
    finders += [router.explanations for router in routers]
    for finder in finders:
        found = {
            kind: await finder.find_explanations(each)
            for kind, each in context.ids.items()
        }
        context.explanations_by_member.append(found)
    site.routers_by_name.pop("router-2")
    await routers[1].kill()
    context.unknown = await finders[0].find_explanations("req-unknown")


@when("the explanations are looked up at the controller and each router")
@when("an unknown request is looked up after a router went down")
def step_impl(context):
    assert len(context.explanations_by_member) == 3


def steps(explanations):
    """Return the steps of the only explanation."""
    assert not is_failure(explanations), explanations
    (explanation,) = explanations
    return [decision.step for decision in explanation.decisions]


@then("all return the same steps of each request, in order")
def step_impl(context):
    for kind in context.ids:
        seen = {tuple(steps(found[kind])) for found in context.explanations_by_member}
        assert len(seen) == 1, (kind, seen)
        (explanation,) = context.explanations_by_member[0][kind]
        times = [decision.at_ms for decision in explanation.decisions]
        assert times == sorted(times)


@then("the question went through arrival, plan, admission, routing, stages and end")
def step_impl(context):
    seen = steps(context.explanations_by_member[0]["question"])
    wanted = iter(seen)
    expected = ("arrived", "plan", "admission", "route", "stages", "ended")
    assert all(step in wanted for step in expected), seen
    (explanation,) = context.explanations_by_member[0]["question"]
    by_step = {decision.step: decision for decision in explanation.decisions}
    assert by_step["route"].details["candidates"]
    assert by_step["ended"].reason == "completed"
    assert by_step["ended"].details["cost"] > 0


@then("the explanation of the refused request ends with its failure")
def step_impl(context):
    (explanation,) = context.explanations_by_member[0]["refused"]
    last = explanation.decisions[-1]
    assert last.step == "ended" and last.reason != "completed", last.to_json()
    assert last.details["outcome"] in ("not-run", "unknown")


@then("the failure says that no instance remembers it and names the router")
def step_impl(context):
    assert is_failure(context.unknown)
    assert "no instance remembers" in context.unknown.detail
    assert "router-2" in context.unknown.detail, context.unknown.detail


@then("no log line and no explanation contains a key, a session, a prompt or an answer")
def step_impl(context):
    messages = [
        each.to_json()
        for found in context.explanations_by_member
        for explanations in found.values()
        for each in explanations
    ]
    text = context.logged + encode_json(messages).decode()
    assert "decision.ended" in text
    for secret in (PROMPT, "seventeen", SESSION, KEY, "sample-secret", "answers:"):
        assert secret not in text, secret


@then("the ring stays within its bound plus one request and keeps the newest request")
def step_impl(context):
    decision = st.tuples(st.integers(0, 40), st.integers(0, 3_000))

    @PROFILE
    @forall(st.lists(decision, min_size=1, max_size=150))
    def check(decisions):
        ring = DecisionRing(ManualClock(), MAX_BYTES)
        for number, size in decisions:
            ring.record_decision(
                f"req-{number}", "route", "x" * size, backend="engine-1"
            )
            assert ring.size_bytes <= MAX_BYTES + MAX_REQUEST_BYTES
        assert ring.get_decisions(f"req-{decisions[-1][0]}") is not None

    check()
    logging.disable()
    tracemalloc.start()
    ring = DecisionRing(ManualClock(), MAX_BYTES)
    for number in range(2_000):
        ring.record_decision(f"req-{number}", "route", "least time", backend="engine-1")
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    logging.disable(logging.NOTSET)
    assert size < 2 * MAX_BYTES, size
