"""Steps on copies of the store's tables."""

import asyncio
import logging
import random

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.clock import Clock
from stoatpath.feeds.copies import TableCopy
from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.messages import TableUpdate
from stoatpath.feeds.reachability import Reachability
from stoatpath.platform.row_stores import RowStore, StoredRow
from stoatpath.standins.faults import Fault
from stoatpath.standins.row_stores import RowStoreStandin
from stoatpath.utils import cancel_and_wait

TABLE = "desk"
WAIT_MS = 100
BATCH_DELAY_MS = 40
MAX_READS = 12
STOP_TIMEOUT_S = 5


class CountingReachability(Reachability):
    """Counts outages of the store."""

    __slots__ = ("outages",)

    def __init__(self):
        super().__init__()
        self.outages = 0

    def record_failure(self, failure, now_ms):
        self.outages += self.outage_start_ms is None
        super().record_failure(failure, now_ms)


class FeedScenario:
    """A store, a follower, and the faults to inject before it reads."""

    def __init__(self):
        self.store = RowStoreStandin()
        self.reachability = CountingReachability()
        self.faults = []
        self.follower = None
        self.after_read = lambda: None

    async def start(self):
        address = await self.store.start()
        client = RowStore.from_address(address)
        self.follower = TableFollower(
            client,
            TABLE,
            WAIT_MS,
            BATCH_DELAY_MS,
            self.reachability,
            Clock(),
            random.Random(1),
            lambda changes: None,
        )
        return client

    def value(self, key="place"):
        row = self.follower.copy.rows_by_key.get(key)
        return None if row is None else row.value


def run_follower(world, change, expected=b"new"):
    """Read, apply a change, then read until it is visible; return the last value."""

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
            for _ in range(MAX_READS):
                await world.follower.step()
                world.after_read()
                if world.follower.copy.version and world.value() == expected:
                    break
            return world.value()
        finally:
            await client.close()
            await world.store.stop()

    return asyncio.run(work())


@given("a store with a row and a follower of its table")
def step_impl(context):
    context.world = FeedScenario()


@given("the next {operation} meets {kind}")
def step_impl(context, operation, kind):
    if kind != "none":
        context.world.faults.append(Fault(operation, kind))


@given("a feed that returns no changes while they are made")
def step_impl(context):
    context.world.store.withholds_changes = True


@when("the row changes")
def step_impl(context):
    context.value = run_follower(
        context.world, lambda store: store.put(TABLE, "place", b"new")
    )


@when("the history is dropped after the row has changed")
def step_impl(context):
    async def change(store):
        await store.put(TABLE, "place", b"new")
        store.discard_history()
        store.withholds_changes = False

    context.value = run_follower(context.world, change)


@when(
    "the history is dropped, and another instance answers without news after each read"
)
def step_impl(context):
    world = context.world

    def receive_copy():
        copy = world.follower.copy
        update = TableUpdate([], world.old_version, copy.confirmed_store_ms, False)
        world.follower.apply_update(update, copy.confirmed_ms)

    async def change(store):
        world.old_version = world.follower.copy.version
        world.after_read = receive_copy
        await store.put(TABLE, "place", b"new")
        store.discard_history()

    context.value = run_follower(world, change)


@when("the row is removed and the history dropped")
def step_impl(context):
    async def change(store):
        await store.remove(TABLE, "place")
        store.discard_history()

    context.value = run_follower(context.world, change, None)


@then("the copy has the new value within a few reads")
def step_impl(context):
    assert context.value == b"new", context.value


@then("the copy has no row within a few reads")
def step_impl(context):
    assert context.value is None, context.value


@then("{count:d} outages of the store were recorded")
def step_impl(context, count):
    assert (
        context.world.reachability.outages == count
    ), context.world.reachability.outages


@given("a copy confirmed by answers produced at {first:d} and {second:d}")
def step_impl(context, first, second):
    context.copy = TableCopy()
    context.copy.apply_full_read([], 1, first)
    context.copy.apply_changes([], 1, second)


@then("its age at {now:d} is {age:d}")
def step_impl(context, now, age):
    assert context.copy.age_ms(now) == age


@then("an answer produced at {sent:d} that arrives late does not change its age")
def step_impl(context, sent):
    before = context.copy.confirmed_ms
    context.copy.apply_changes([], 1, sent)
    assert context.copy.confirmed_ms == before


@given("a store whose clock reads {store:d} in a fast call sent at {sent:d}")
def step_impl(context, store, sent):
    context.reachability = Reachability()
    context.reachability.record_answer(sent, sent + 2, store)


@then(
    "the answer of a call sent at {sent:d} at store time {store:d} "
    "is dated at local time {expected_ms:d}"
)
def step_impl(context, sent, store, expected_ms):
    assert (
        context.reachability.record_answer(sent, expected_ms + 10, store) == expected_ms
    )


@then("an answer received at {received_ms:d} is dated no later")
def step_impl(context, received_ms):
    assert context.reachability.record_answer(6_000, received_ms, 2_600) == received_ms


@given("calls with any delays to a store whose clock differs")
def step_impl(context):
    delays = st.tuples(st.integers(0, 500), st.integers(0, 3_000), st.integers(0, 500))

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(delays, max_size=20), st.integers(-100_000, 100_000))
    def check_property(calls, difference):
        reachability = Reachability()
        now_ms = 1_000
        for request_ms, wait_ms, response_ms in calls:
            produced_ms = now_ms + request_ms + wait_ms
            received_ms = produced_ms + response_ms
            estimated_ms = reachability.record_answer(
                now_ms, received_ms, produced_ms + difference
            )
            assert now_ms <= estimated_ms <= produced_ms
            now_ms = received_ms

    context.property = check_property


@then("no answer is dated later than it was produced")
def step_impl(context):
    context.property()


@given("any order of full reads and changes of a growing table")
def step_impl(context):
    reads = st.tuples(st.booleans(), st.sampled_from("abc"), st.integers(1, 20))

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(reads, max_size=30))
    def check_property(items):
        copy = TableCopy()
        seen = {}
        for is_whole, key, version in items:
            rows = [StoredRow(key, version, b"")]
            if is_whole:
                copy.apply_full_read(rows, version, 0.0)
                seen = {each: seen.get(each, 0) for each in copy.rows_by_key}
            else:
                copy.apply_changes(rows, version, 0.0)
            for each, row in copy.rows_by_key.items():
                assert row.version >= seen.get(each, 0)
                seen[each] = row.version

    context.property = check_property


@then("every row of the copy only grows in version")
def step_impl(context):
    context.property()


class TableHistory:
    """All versions of a table: the versions of its rows by key, and what changed."""

    def __init__(self):
        self.tables = [{}]
        self.changes = []

    @property
    def version(self):
        return len(self.tables) - 1

    def change(self, key):
        """Write a new row, or remove the one that exists."""
        table = dict(self.tables[-1])
        is_removal = table.pop(key, None) is not None
        if not is_removal:
            table[key] = self.version + 1
        self.tables.append(table)
        row = StoredRow(key, self.version, None if is_removal else b"", is_removal)
        self.changes.append(row)

    def read(self, base_version):
        """Return the rows of an answer: the table, or the changes after a version."""
        if base_version is None:
            table = self.tables[-1]
            return [StoredRow(key, version, b"") for key, version in table.items()]
        rows_by_key = {row.key: row for row in self.changes[base_version:]}
        return list(rows_by_key.values())


@given("a table whose rows are written and removed, and reads with late answers")
def step_impl(context):
    steps = st.one_of(
        st.tuples(st.just("change"), st.sampled_from("abc")),
        st.tuples(st.just("read"), st.booleans()),
        st.tuples(st.just("deliver"), st.integers(0, 3)),
    )

    @settings(derandomize=True, deadline=None, max_examples=300)
    @forall(st.lists(steps, max_size=40))
    def check_property(items):
        history, copy, answers = TableHistory(), TableCopy(), []
        copy.apply_full_read([], 0, 0.0)
        for kind, value in items:
            if kind == "change":
                history.change(value)
            elif kind == "read":
                base_version = None if value else copy.version
                answers.append((value, history.read(base_version), history.version))
            elif answers:
                is_whole, rows, version = answers.pop(value % len(answers))
                apply = copy.apply_full_read if is_whole else copy.apply_changes
                apply(rows, version, 0.0)
            found = {key: row.version for key, row in copy.rows_by_key.items()}
            assert found == history.tables[copy.version], (found, copy.version)

    context.property = check_property


@then("the copy is at each moment as the table was at the version of the copy")
def step_impl(context):
    context.property()


@given("a table of {count:d} rows")
def step_impl(context, count):
    context.count = count


@when("a follower reads the whole table")
def step_impl(context):
    world = context.world = FeedScenario()

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


async def ignore_first_cancellation():
    """Ignore the first cancellation, as a library that takes it for its timeout."""
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


@given("a task that takes its first cancellation for a timeout")
def step_impl(context):
    context.job = ignore_first_cancellation


@given("a task that fails when it is cancelled")
def step_impl(context):
    context.job = fail_when_cancelled


@when("it is stopped")
def step_impl(context):
    async def stop():
        context.task = asyncio.create_task(context.job())
        await asyncio.sleep(0)
        stopping = asyncio.create_task(cancel_and_wait([context.task]))
        # Reached only if the stop hangs.
        await asyncio.wait([stopping], timeout=STOP_TIMEOUT_S)
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
