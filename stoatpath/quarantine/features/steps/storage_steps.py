"""Steps on decisions in the store, with instances in virtual time."""

import asyncio
import logging
from unittest import mock

from behave import given, then, when

from stoatpath.measure.quarantine_models import SERVICE, QuarantineFleet
from stoatpath.measure.relay_models import ModelStoreClient
from stoatpath.measure.virtual_loops import VirtualLoop
from stoatpath.quarantine.messages import Quarantine
from stoatpath.quarantine.storages import QUARANTINE_TABLE

SEED = 1
SETTLE_S = 1.0
CHECK_S = 0.05
UNREADABLE_KEY = "unreadable"
STORAGE_LOGGER = "stoatpath.quarantine.storages"


class StorageFixture:
    """Instances that reach the store alone, with a virtual loop of their own."""

    def __init__(self, count):
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.unreadable = []
        self.run(self._start(count))

    async def _start(self, count):
        self.fleet = QuarantineFleet(self.loop, count, 1, 1, SEED)
        self.fleet.isolated.update(self.fleet.instances_by_name)
        await asyncio.sleep(SETTLE_S)

    @property
    def instances(self):
        return list(self.fleet.instances_by_name.values())

    def run(self, work):
        return self.loop.run_until_complete(work)

    def sleep(self, seconds):
        self.run(asyncio.sleep(seconds))

    def decide(self, number, part, seconds, version=1, is_lifted=False):
        """Let an instance decide on a part, and store that."""

        async def decide():
            self.decide_now(number, part, seconds, version, is_lifted)

        self.run(decide())

    def decide_now(self, number, part, seconds, version=1, is_lifted=False):
        """Do the same from a coroutine."""
        instance = self.instances[number]
        end_ms = instance.clock.now_ms() + 1000 * seconds
        decision = Quarantine(SERVICE, part, version, end_ms, is_lifted=is_lifted)
        instance.table.merge(decision)
        instance.storage.save(decision)

    def seconds_left(self, part):
        """Return how long the quarantine of a part goes on at each instance."""
        return [
            (each.table.until_ms(SERVICE, part) - each.clock.now_ms()) / 1000
            for each in self.instances
        ]

    def stored_rows(self):
        return self.fleet.store.page(QUARANTINE_TABLE).rows

    def emit(self, record):
        self.unreadable.append(record)

    def close(self):
        self.run(self.fleet.stop())
        self.loop.close()


@given("{count:d} instances that reach the store, but not each other")
def step_impl(context, count):
    context.storage = StorageFixture(count)
    context.add_cleanup(context.storage.close)


@when("the first puts part {part} into quarantine for {seconds:d} s")
def step_impl(context, part, seconds):
    context.storage.decide(0, part, seconds)


@when(
    "the first puts part {part} into quarantine for {seconds:d} s, "
    "and the second lifts that later"
)
def step_impl(context, part, seconds):
    storage = context.storage
    storage.decide(0, part, seconds)
    storage.decide(1, part, 0, version=2, is_lifted=True)


@when(
    "the store is away for {away:d} s, "
    "while the first puts part {part} into quarantine for {seconds:d} s"
)
def step_impl(context, away, part, seconds):
    storage = context.storage
    storage.fleet.store.unreachable_from.update(storage.fleet.instances_by_name)
    storage.decide(0, part, seconds)
    storage.sleep(away)
    storage.fleet.store.unreachable_from.clear()


@when("{later:d} s later the second puts part {part} into quarantine for {seconds:d} s")
def step_impl(context, later, part, seconds):
    context.storage.sleep(later)
    context.storage.decide(1, part, seconds)
    context.storage.sleep(1)


@when(
    "the first puts part {later} into quarantine "
    "at the moment at which part {part} is stored"
)
def step_impl(context, later, part):
    storage = context.storage
    write = ModelStoreClient.write

    async def store_both():
        is_stored = asyncio.Event()

        async def write_and_tell(client, writes):
            result = await write(client, writes)
            is_stored.set()
            return result

        patch = mock.patch.object(ModelStoreClient, "write", write_and_tell)
        patch.start()
        context.add_cleanup(patch.stop)
        storage.decide_now(0, part, 60)
        await is_stored.wait()
        storage.decide_now(0, later, 60)
        await asyncio.sleep(SETTLE_S)

    storage.run(store_both())


@when("{later:d} s later another instance starts")
def step_impl(context, later):
    context.storage.sleep(later)
    context.storage.run(context.storage.fleet.disturb(1, "join"))


@when("the store has the decision {value}")
def step_impl(context, value):
    storage = context.storage
    logger = logging.getLogger(STORAGE_LOGGER)
    handler = logging.Handler()
    handler.emit = storage.emit
    logger.addHandler(handler)
    context.add_cleanup(logger.removeHandler, handler)
    storage.fleet.store.put(QUARANTINE_TABLE, UNREADABLE_KEY, value=value.encode())
    storage.sleep(2)


@then(
    "within {seconds:d} s part {part} is in quarantine at {which} "
    "for another {least:d} s to {most:d} s"
)
def step_impl(context, seconds, part, which, least, most):
    storage = context.storage
    for _ in range(int(seconds / CHECK_S)):
        if all(least <= left_s <= most for left_s in storage.seconds_left(part)):
            return
        storage.sleep(CHECK_S)
    raise AssertionError(storage.seconds_left(part))


@then("within {seconds:d} s part {part} is in quarantine nowhere")
def step_impl(context, seconds, part):
    context.storage.sleep(seconds)
    left_s = context.storage.seconds_left(part)
    assert all(each <= 0 for each in left_s), left_s
    for instance in context.storage.instances:
        assert instance.table.version(SERVICE, part) > 0


@then("the store has {count:d} decision")
@then("the store has {count:d} decisions")
def step_impl(context, count):
    rows = context.storage.stored_rows()
    assert len(rows) == count, rows


@then("the row stays when the second puts part {part} into quarantine")
def step_impl(context, part):
    storage = context.storage
    storage.decide(1, part, 60)
    storage.sleep(1)
    assert UNREADABLE_KEY in [row.key for row in storage.stored_rows()]
    assert len(storage.stored_rows()) == 2


@then("the first has tried to write at most {count:d} times")
def step_impl(context, count):
    writes = context.storage.instances[0].store.writes
    assert 2 <= writes <= count, writes


@then("no part is in quarantine at an instance")
def step_impl(context):
    for instance in context.storage.instances:
        assert not instance.table.remembered()


@then("each instance has logged an unreadable row")
def step_impl(context):
    messages = [each.getMessage() for each in context.storage.unreadable]
    expected = ["quarantine.row-unreadable"] * len(context.storage.instances)
    assert messages == expected, messages
