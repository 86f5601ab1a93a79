"""Steps about copies of the store's tables."""

import asyncio
import logging
import random

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.clock import Clock
from stoatpath.feeds.copies import TableCopy
from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.reachability import Reachability
from stoatpath.platform.row_stores import RowStore, StoredRow
from stoatpath.standins.faults import Fault
from stoatpath.standins.row_stores import RowStoreStandin
from stoatpath.utils import cancel_and_wait

TABLE = "desk"
WAIT_MS = 100
GATHER_MS = 40
MOST_READS = 12
HANG_S = 5


class Reach(Reachability):
    """Counts losses of the store."""

    __slots__ = ("losses",)

    def __init__(self):
        super().__init__()
        self.losses = 0

    def record_failure(self, failure, now_ms):
        self.losses += self.lost_ms is None
        super().record_failure(failure, now_ms)


class World:
    """A store, a follower, and the faults to arrange before it reads."""

    def __init__(self):
        self.store = RowStoreStandin()
        self.reach = Reach()
        self.faults = []
        self.follower = None

    async def start(self):
        address = await self.store.start()
        client = RowStore.from_address(address)
        self.follower = TableFollower(
            client,
            TABLE,
            WAIT_MS,
            GATHER_MS,
            self.reach,
            Clock(),
            random.Random(1),
            lambda changes: None,
        )
        return client

    def value(self, key="place"):
        row = self.follower.copy.rows_by_key.get(key)
        return None if row is None else row.value


def play(world, change, expected=b"new"):
    """Read once, apply a change, then read until it shows; return the last value."""

    async def work():
        client = await world.start()
        try:
            await world.store.put(TABLE, "place", b"old")
            for fault in world.faults:
                world.store.faults.add(fault)
            if not any(fault.operation == "read" for fault in world.faults):
                await world.follower.step()
                assert world.value() == b"old"
            await change(world.store)
            for _ in range(MOST_READS):
                await world.follower.step()
                if world.follower.copy.version and world.value() == expected:
                    break
            return world.value()
        finally:
            await client.close()
            await world.store.stop()

    return asyncio.run(work())


@given("a store with a row and a follower of its table")
def step_impl(context):
    context.world = World()


@given("the next {operation} meets {kind}")
def step_impl(context, operation, kind):
    if kind != "none":
        context.world.faults.append(Fault(operation, kind))


@given("a feed that hears nothing while changes are made")
def step_impl(context):
    context.world.store.is_deaf = True


@when("the row changes")
def step_impl(context):
    context.value = play(context.world, lambda store: store.put(TABLE, "place", b"new"))


@when("the history is dropped after the row has changed")
def step_impl(context):
    async def change(store):
        await store.put(TABLE, "place", b"new")
        store.forget_history()
        store.is_deaf = False

    context.value = play(context.world, change)


@when("the row is removed and the history dropped")
def step_impl(context):
    async def change(store):
        await store.remove(TABLE, "place")
        store.forget_history()

    context.value = play(context.world, change, None)


@then("the copy has the new value within a few reads")
def step_impl(context):
    assert context.value == b"new", context.value


@then("the copy has no row within a few reads")
def step_impl(context):
    assert context.value is None, context.value


@then("the loss of the store was noted {count:d} times")
def step_impl(context, count):
    assert context.world.reach.losses == count, context.world.reach.losses


@given("a copy confirmed by answers made at {first:d} and {second:d}")
def step_impl(context, first, second):
    context.copy = TableCopy()
    context.copy.apply_whole([], 1, first)
    context.copy.apply_changes([], 1, second)


@then("its age at {now:d} is {age:d}")
def step_impl(context, now, age):
    assert context.copy.age_ms(now) == age


@then("an answer made at {sent:d} that comes late makes it no younger or older")
def step_impl(context, sent):
    before = context.copy.confirmed_ms
    context.copy.apply_changes([], 1, sent)
    assert context.copy.confirmed_ms == before


@given("a store whose clock read {store:d} in a quick call sent at {sent:d}")
def step_impl(context, store, sent):
    context.reach = Reachability()
    context.reach.record_answer(sent, sent + 2, store)


@then(
    "an answer of a call sent at {sent:d} that the store made at {store:d} "
    "was made at {made:d} here"
)
def step_impl(context, sent, store, made):
    assert context.reach.record_answer(sent, made + 10, store) == made


@then("an answer that came at {came:d} was made by then")
def step_impl(context, came):
    assert context.reach.record_answer(6_000, came, 2_600) == came


@given("calls with any delays to a store whose clock differs")
def step_impl(context):
    delays = st.tuples(st.integers(0, 500), st.integers(0, 3_000), st.integers(0, 500))

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(delays, max_size=20), st.integers(-100_000, 100_000))
    def holds(calls, difference):
        reach = Reachability()
        now_ms = 1_000
        for there, waited, back in calls:
            made_ms = now_ms + there + waited
            came_ms = made_ms + back
            taken_ms = reach.record_answer(now_ms, came_ms, made_ms + difference)
            assert now_ms <= taken_ms <= made_ms
            now_ms = came_ms

    context.property = holds


@then("each answer was made no earlier than it is taken for")
def step_impl(context):
    context.property()


@given("any order of whole reads and changes of a growing table")
def step_impl(context):
    news = st.tuples(st.booleans(), st.sampled_from("abc"), st.integers(1, 20))

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(news, max_size=30))
    def holds(items):
        copy = TableCopy()
        seen = {}
        for is_whole, key, version in items:
            rows = [StoredRow(key, version, b"")]
            if is_whole:
                copy.apply_whole(rows, version, 0.0)
                seen = {each: seen.get(each, 0) for each in copy.rows_by_key}
            else:
                copy.apply_changes(rows, version, 0.0)
            for each, row in copy.rows_by_key.items():
                assert row.version >= seen.get(each, 0)
                seen[each] = row.version

    context.property = holds


@then("every row of the copy only grows in version")
def step_impl(context):
    context.property()


@given("a table of {count:d} rows")
def step_impl(context, count):
    context.count = count


@when("a follower reads it whole")
def step_impl(context):
    world = context.world = World()

    async def work():
        client = await world.start()
        for number in range(context.count):
            await world.store.put(TABLE, f"row-{number:05}", b"x")
        await world.follower.step()
        await client.close()
        await world.store.stop()

    asyncio.run(work())


@then("the copy has {count:d} rows")
def step_impl(context, count):
    assert len(context.world.follower.copy.rows_by_key) == count


@when("{count:d} changes come within {series:d} ms")
def step_impl(context, count, series):
    world = context.world

    async def work():
        client = await world.start()
        follower = asyncio.create_task(world.follower.run())
        for number in range(count):
            value = b"new" if number == count - 1 else str(number).encode()
            await world.store.put(TABLE, "place", value)
            await asyncio.sleep(series / count / 1000)
        while world.value() != b"new":
            await asyncio.sleep(0.01)
        follower.cancel()
        await client.close()
        await world.store.stop()
        return world.value()

    context.value = asyncio.run(work())


@then("no more than {most:d} reads were made")
def step_impl(context, most):
    assert len(context.world.store.calls) <= most, context.world.store.calls


async def miss_first_cancellation():
    """Go on after the first cancellation, as a library does that mistakes it."""
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        pass
    await asyncio.Event().wait()


async def fail_when_cancelled():
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        raise ValueError("a half-written page") from None


@given("a task whose first cancellation is taken for a time-out")
def step_impl(context):
    context.job = miss_first_cancellation


@given("a task that fails when it is cancelled")
def step_impl(context):
    context.job = fail_when_cancelled


@when("it is stopped")
def step_impl(context):
    async def stop():
        context.task = asyncio.create_task(context.job())
        await asyncio.sleep(0)
        stopping = asyncio.create_task(cancel_and_wait([context.task]))
        # A bound that only a stop that hangs reaches.
        await asyncio.wait([stopping], timeout=HANG_S)
        context.is_stopped = stopping.done()
        context.has_ended = context.task.done()

    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    logger = logging.getLogger("stoatpath.utils")
    logger.addHandler(handler)
    try:
        asyncio.run(stop())
    finally:
        logger.removeHandler(handler)


@then("it has ended, and so has the stop")
def step_impl(context):
    assert context.has_ended and context.is_stopped


@then("the log names the error")
def step_impl(context):
    (line,) = context.lines
    assert line.msg == "task.failed" and "half-written" in line.why, line.why
