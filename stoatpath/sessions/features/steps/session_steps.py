"""Steps for sessions at a whole site."""

import asyncio
import random
from operator import methodcaller

import aiohttp
from behave import given, then, when

from stoatpath.cascades.messages import Plan, Stage
from stoatpath.cascades.planners import Planner
from stoatpath.configuration.messages import MODEL, ORGANISATION, ROLLOUT, Change
from stoatpath.sessions.archives import PIN_PREFIX
from stoatpath.standins.sites import ZONES, Site
from stoatpath.tools.demonstrations import Demonstration, chat
from stoatpath.utils import decode_json, encode_json

ORGANISATION_NAME = "reef-villages"
SERVICE = "desk-assist"
# The first step reaches almost no sessions, the second one all.
ROLLOUT_STEP_SHARES = [0.0001, 1.0]
WAIT_STEP_S = 0.02
WAIT_STEPS = 750


class Conversation:
    """One session at a running site, with the replies to its turns."""

    def __init__(self, site, client, sends_token):
        self.site = site
        self._client = client
        self._sends_token = sends_token
        self._session = "guest-42"
        self.replies = []

    async def turn(self, router):
        """Send one turn to a router; return the version that answered."""
        secret = f"{ORGANISATION_NAME}.{ORGANISATION_NAME}-sample-secret"
        headers = {
            "Authorization": f"Bearer {secret}",
            "Stoatpath-Session": self._session,
        }
        url = f"http://{router.address}/v1/chat/completions"
        body = chat(SERVICE, f"turn {len(self.replies)}")
        async with self._client.post(url, json=body, headers=headers) as response:
            await response.read()
            self.replies.append((response.status, dict(response.headers)))
        _, headers = self.replies[-1]
        if self._sends_token:
            self._session = headers.get("Stoatpath-Session", self._session)
        return headers.get("Stoatpath-Version")

    async def turn_everywhere(self):
        """Send one turn to each router."""
        for router in list(self.site.routers_by_name.values()):
            await self.turn(router)


def run_at_site(context, sends_token, work):
    """Run `work(site, conversation)` against a started site."""

    async def run():
        site = Site()
        await site.start(routers=context.routers)
        try:
            await Demonstration(site).submit_samples()
            async with aiohttp.ClientSession() as client:
                await wait_until(lambda: all_ready(site, context.routers))
                conversation = Conversation(site, client, sends_token)
                await work(site, conversation)
                context.replies = conversation.replies
        finally:
            await site.stop()

    asyncio.run(run())


class CheapestFirstPlanner(Planner):
    """Plans the cheapest version first, rated, and the most expensive one second."""

    def plan(self, query, versions, now_ms):
        first, *rest = versions
        if not rest:
            return super().plan(query, versions, now_ms)
        stages = [Stage(first, query.purpose.quality), Stage(rest[-1], None)]
        return Plan(stages, "cheap first")


async def wait_until(condition):
    """Return once a condition holds."""
    for _ in range(WAIT_STEPS):
        if condition():
            return
        await asyncio.sleep(WAIT_STEP_S)
    raise AssertionError("the condition was not met in time")


def all_ready(site, count):
    """Return whether every router knows all routers and all backend servers."""
    return all(
        len(router.node.members.live_names("router")) == count
        and len(router.pins._ranking.by_name) == count
        and router.backends.by_name
        and all(each.slots for each in router.backends.by_name.values())
        for router in site.routers_by_name.values()
    )


async def change_configuration(site, kind, name, edit):
    """Apply a changed document at one controller and all routers."""
    node = next(iter(site.controllers_by_name.values())).node
    routers = site.routers_by_name.values()
    snapshot = node.follower.snapshot
    body = decode_json(encode_json(snapshot.by_kind[kind].get(name, {})))
    edit(body)
    snapshot = snapshot.with_changes(snapshot.revision + 1, [Change(kind, name, body)])
    for follower in [node.follower, *(router.follower for router in routers)]:
        follower.apply_snapshot(snapshot, node.clock.now_ms())


def make_current(label):
    """Return an edit of a model that makes a version current."""

    def edit(body):
        body["current"] = label

    return edit


async def another_current(site, conversation):
    for model in ("tern-small", "tern-large"):
        await change_configuration(site, MODEL, model, make_current("2"))
    await conversation.turn_everywhere()


async def start_rollout(site):
    """Start roll-outs of the second versions of both models."""
    for model in ("tern-small", "tern-large"):
        rollout = {"model": model, "to": "2", "steps": ROLLOUT_STEP_SHARES}
        edit = methodcaller("update", rollout)
        await change_configuration(site, ROLLOUT, model, edit)


async def complete_rollout(site, conversation):
    await start_rollout(site)
    await conversation.turn_everywhere()
    await another_current(site, conversation)


async def restart_gracefully(site, conversation):
    await restart_all(site, conversation, lambda router: router.stop())


async def crash_and_restart(site, conversation):
    await restart_all(site, conversation, lambda router: router.kill())


async def restart_all(site, conversation, end):
    """Stop and start each router in turn, with turns in between."""
    for model in ("tern-small", "tern-large"):
        await change_configuration(site, MODEL, model, make_current("2"))
    count = len(site.routers_by_name)
    for index, name in enumerate(list(site.routers_by_name)):
        router = site.routers_by_name.pop(name)
        await end(router)
        await conversation.turn_everywhere()
        await wait_until(lambda: all_ready(site, count - 1))
        await site.start_router(name, ZONES[index % len(ZONES)])
        await wait_until(lambda: all_ready(site, count))
        await conversation.turn_everywhere()


CHANGES = {
    "another version becomes current": another_current,
    "a roll-out reaches everyone": complete_rollout,
    "all routers restart gracefully one by one": restart_gracefully,
    "all routers crash and restart one by one": crash_and_restart,
}


@given("a site of {count:d} routers in two zones")
def step_impl(context, count):
    context.routers = count


@when("a session that sends {what} has turns at every router while {change}")
def step_impl(context, what, change):
    async def work(site, conversation):
        await conversation.turn_everywhere()
        await CHANGES[change](site, conversation)

    run_at_site(context, what == "its token", work)


@then("every turn was completed on the version of the first")
def step_impl(context):
    seen = [
        (status, headers.get("Stoatpath-Version"))
        for status, headers in context.replies
    ]
    assert len(seen) >= 6 and set(seen) == {(200, seen[0][1])}, seen
    assert seen[0][1].endswith("@1"), seen
    assert not any(
        "Stoatpath-Session-Moved" in headers for _, headers in context.replies
    )


def replace_version(label, state):
    """Return an edit that sets the state of a version and makes version 2 current."""

    def edit(body):
        body["versions"][label]["state"] = state
        body["current"] = "2"

    return edit


def allow_second_only(body):
    """Allow only the second versions."""
    models = ["tern-small@2", "tern-large@2"]
    body["parameters"]["assistant_models"] = models


@when("the version of a session is {change}")
def step_impl(context, change):
    async def work(site, conversation):
        routers = list(site.routers_by_name.values())
        version = await conversation.turn(routers[0])
        model, _, label = version.partition("@")
        if change == "no longer allowed":
            edit = allow_second_only
            await change_configuration(site, ORGANISATION, ORGANISATION_NAME, edit)
        else:
            await change_configuration(
                site, MODEL, model, replace_version(label, change)
            )
        await conversation.turn(routers[1])
        await conversation.turn(routers[2])

    run_at_site(context, False, work)


@then("the next turn runs on another version and reports that the old one {reason}")
def step_impl(context, reason):
    (_, first), (status, second), _ = context.replies
    assert status == 200
    assert first["Stoatpath-Version"] != second["Stoatpath-Version"]
    assert reason in second["Stoatpath-Session-Moved"], second
    assert "Stoatpath-Session-Moved" not in first


@then("the turn after that stays on it and reports no move")
def step_impl(context):
    _, (_, second), (status, third) = context.replies
    assert status == 200
    assert third["Stoatpath-Version"] == second["Stoatpath-Version"]
    assert "Stoatpath-Session-Moved" not in third


@when("the first turn of a session escalates to the expensive model")
def step_impl(context):
    async def work(site, conversation):
        for name, engine in site.engines_by_name.items():
            if "small" in name:
                engine.quality_by_version = dict.fromkeys(
                    engine.quality_by_version, 0.1
                )
        routers = list(site.routers_by_name.values())
        routers[0].planner = CheapestFirstPlanner(
            routers[0].estimates, random.Random(1)
        )
        await conversation.turn(routers[0])
        await conversation.turn(routers[1])
        await conversation.turn(routers[2])
        context.runs = versions_run(site, conversation)

    run_at_site(context, False, work)


def versions_run(site, conversation):
    """Return the sorted versions that each turn of a conversation ran on.

    A slow turn may be hedged: a version that ran twice for one turn counts once.
    """
    executions = [
        execution
        for engine in site.engines_by_name.values()
        for execution in engine.executions
    ]
    wanted = [headers["Stoatpath-Request-Id"] for _, headers in conversation.replies]
    return [
        sorted({each.version for each in executions if each.request_id == request_id})
        for request_id in wanted
    ]


@then("later turns run on the expensive model's version alone")
def step_impl(context):
    versions = [headers["Stoatpath-Version"] for _, headers in context.replies]
    assert versions == ["tern-large@1"] * 3, versions
    expected = [["tern-large@1", "tern-small@1"], ["tern-large@1"], ["tern-large@1"]]
    assert context.runs == expected, context.runs


def has_pin_row(site):
    """Return whether a pin was written to the table."""
    return any(key.startswith(PIN_PREFIX) for key in site.table.rows)


@when("all routers are lost at once during a roll-out that then reaches everyone")
def step_impl(context):
    async def work(site, conversation):
        await start_rollout(site)
        await conversation.turn_everywhere()
        await wait_until(lambda: has_pin_row(site))
        node = next(iter(site.controllers_by_name.values())).node
        for model in ("tern-small", "tern-large"):
            await change_configuration(site, MODEL, model, make_current("2"))
        for router in list(site.routers_by_name.values()):
            await router.kill()
        site.routers_by_name.clear()
        for index in range(context.routers):
            name = f"router-{index + 1}"
            router = await site.start_router(name, ZONES[index % len(ZONES)])
            router.follower.apply_snapshot(node.follower.snapshot, node.clock.now_ms())
        await wait_until(lambda: all_ready(site, context.routers))
        await conversation.turn_everywhere()

    run_at_site(context, False, work)
