"""Steps on a store whose answers arrive slowly."""

import asyncio
import base64
import random
import re
import time

from aiohttp import web
from behave import given, then, when
from feed_steps import TABLE, run_follower

from stoatpath.clock import Clock
from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.reachability import Reachability
from stoatpath.platform.row_stores import RowPage, RowStore
from stoatpath.standins.faults import Fault
from stoatpath.utils import cancel_and_wait, encode_json

PARTS = 30
ENDLESS_S = 60.0
NEWS_PERIOD_S = 0.05
MAX_WAIT_MS = 200.0
VALUE = b"x" * 30_000


class SlowStore:
    """Serves one row to all reads, as the scenario says."""

    def __init__(self, course):
        self.course = course
        self.calls = 0

    async def respond(self, request):
        """Send the row in parts."""
        self.calls += 1
        if self.course == "never begins":
            await asyncio.sleep(ENDLESS_S)
        value = base64.b64encode(VALUE).decode()
        row = {"key": "config", "ver": 2, "value": value}
        body = encode_json({"rows": [row], "ver": 2, "now_ms": 1.0})
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        duration = re.fullmatch(r"arrives evenly within (\d+) ms", self.course)
        pause_s = int(duration.group(1)) / 1000 / PARTS if duration else 0.0
        size = len(body) // PARTS + 1
        for start in range(0, len(body), size):
            if self.course == "stops halfway" and start > len(body) // 2:
                await asyncio.sleep(ENDLESS_S)
            try:
                await response.write(body[start : start + size])
            except ConnectionResetError:
                break
            await asyncio.sleep(pause_s)
        return response

    async def run(self, work):
        """Return the result of `work(client)` and the time that it took in ms."""
        app = web.Application()
        app.router.add_get("/-/{path}", self.respond)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        client = RowStore.from_address(f"{host}:{port}")
        try:
            started_s = time.monotonic()
            result = await work(client)
            return result, (time.monotonic() - started_s) * 1000
        finally:
            await client.close()
            await runner.cleanup()


@given("a store whose answer {course}")
def step_impl(context, course):
    context.slow_store = SlowStore(course)


@when("an instance {call} it")
def step_impl(context, call):
    async def work(client):
        if call == "reads":
            return await client.read(TABLE)
        return await client.wait_for_changes(TABLE, 1, 100)

    page, context.time_ms = asyncio.run(context.slow_store.run(work))
    context.rows = page.rows if isinstance(page, RowPage) else None


@when("an instance polls it and hears of a newer version each 50 ms")
def step_impl(context):
    async def work(client):
        follower = TableFollower(
            client,
            TABLE,
            1_000,
            0,
            Reachability(),
            Clock(),
            random.Random(1),
            lambda changes: None,
        )
        follower.copy.apply_full_read([], 1, Clock().now_ms(), 0.0)

        async def hear():
            while True:
                await asyncio.sleep(NEWS_PERIOD_S)
                follower.check_version(2, MAX_WAIT_MS)

        hearing = asyncio.create_task(hear())
        try:
            await follower.step()
        finally:
            await cancel_and_wait([hearing])
        return list(follower.copy.rows_by_key.values())

    context.rows, context.time_ms = asyncio.run(context.slow_store.run(work))


@then("the rows are {outcome} within {limit:d} ms")
def step_impl(context, outcome, limit):
    if outcome == "known":
        assert [row.value for row in context.rows] == [VALUE]
    else:
        assert outcome == "unknown"
        assert context.rows is None
    assert context.time_ms <= limit, context.time_ms


@then("the store was called once")
def step_impl(context):
    assert context.slow_store.calls == 1, context.slow_store.calls


@when("a poll fails and the row changes")
def step_impl(context):
    async def change(store):
        store.faults.add(Fault("feed", "down"))
        await store.put(TABLE, "place", b"new")

    context.value = run_follower(context.world, change)


@then("the table was read whole once")
def step_impl(context):
    assert context.world.store.calls.count("read") == 1, context.world.store.calls
