"""Steps for pins in memory and in the table."""

import asyncio

from behave import given, then, when
from hypothesis import Phase, given as forall, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from rig import Network

from stoatpath.clock import Clock
from stoatpath.membership.messages import LIVE, Member
from stoatpath.services.tables import Table
from stoatpath.sessions.archives import PIN_PREFIX, PinArchive
from stoatpath.sessions.holders import HolderRanking
from stoatpath.sessions.pins import PinStore, SessionPin
from stoatpath.standins.faults import Fault
from stoatpath.standins.tables import TableStandin

PROFILE = settings(derandomize=True, database=None, deadline=None, max_examples=100)
ZONES = ("zone-a", "zone-b", "zone-c")
SESSIONS = tuple(f"guest-{number}" for number in range(12))
NAMES = tuple(f"router-{number}" for number in range(7))
MIN_INSTANCES = 3
# Messages delivered after each one that may be lost.
MESSAGES_BETWEEN_LOSSES = ("", "", "", "")


def build_ranking(zones):
    """Return a ring with one instance for each element of `zones`."""
    names = [f"router-{index}" for index in range(len(zones))]
    members = [
        Member(name, "router", "", zone, 1, LIVE) for name, zone in zip(names, zones)
    ]
    return HolderRanking(dict(zip(names, members)))


@then("any instances in several zones hold each key in two zones")
def step_impl(context):
    @PROFILE
    @forall(st.lists(st.sampled_from(ZONES), min_size=2, max_size=9), st.text())
    def check(zones, key):
        holders = build_ranking(zones).holders(key)
        assert len(holders) == 2
        if len(set(zones)) > 1:
            assert holders[0].zone != holders[1].zone

    check()


@then("one more instance changes at most one holder of a key")
def step_impl(context):
    @PROFILE
    @forall(st.lists(st.sampled_from(ZONES), min_size=3, max_size=9), st.text())
    def check(zones, key):
        if len(set(zones[:-1])) < 2:
            return
        before = set(build_ranking(zones[:-1]).holder_names(key))
        after = set(build_ranking(zones).holder_names(key))
        assert len(before & after) >= 1

    check()


@then("any pins of one session merge to the same pin in any order")
def step_impl(context):
    pin = st.builds(
        SessionPin,
        st.just("guest-1"),
        st.just("reef-villages"),
        st.just("desk-assist"),
        st.sampled_from(["tern-small@1", "tern-small@2", "tern-large@1"]),
        st.integers(1, 3),
        st.integers(1, 3),
    )

    @PROFILE
    @forall(st.lists(pin, min_size=1, max_size=6), st.randoms(use_true_random=False))
    def check(pins, shuffler):
        results = set()
        for _ in range(4):
            store = PinStore()
            for each in pins + pins:
                current = store.put(each)
            results.add(tuple(current.to_json()))
            shuffler.shuffle(pins)
        assert len(results) == 1, results
        assert current.sequence == max(each.sequence for each in pins)

    check()


class Sessions(RuleBasedStateMachine):
    """Turns of sessions during changes of membership and message loss.

    Instances crash one at a time: when both holders of a pin crash before the
    others notice, the pin is lost from memory.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.network = Network()
        self.versions_by_session = {}
        self.current = 1
        for index in range(4):
            self.network.start(NAMES[index], ZONES[index % 3])
        self.run_coroutine(self.network.synchronize())

    def teardown(self):
        self.loop.close()

    def run_coroutine(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(first=st.integers(0, 99), spread=st.integers(0, 3))
    def take_turns(self, first, spread):
        """Run one turn of each session at some instance.

        Every turn offers a new current version, which only a new session may use.
        """
        instances = list(self.network.instances_by_name.values())
        for index, session in enumerate(SESSIONS):
            instance = instances[(first + index * spread) % len(instances)]
            self.current += 1
            version = self.run_coroutine(
                instance.turn(session, f"tern-small@{self.current}")
            )
            if version is None:
                continue
            expected = self.versions_by_session.setdefault(session, version)
            assert version == expected, (session, version, expected)

    @rule(losses=st.lists(st.sampled_from(["", "ask", "reply"]), max_size=8))
    def lose_messages(self, losses):
        spaced = [[loss, *MESSAGES_BETWEEN_LOSSES] for loss in losses]
        self.network.losses = [each for part in spaced for each in part]

    @rule(choice=st.integers(0, 99))
    def update_one_instance(self, choice):
        instances = list(self.network.instances_by_name.values())
        instance = instances[choice % len(instances)]
        self.network.update(instance)
        self.run_coroutine(instance.pins.hand_over())

    @rule()
    def update_all_instances(self):
        self.run_coroutine(self.network.synchronize())
        self.network.clock.advance_by(20_000)
        self.run_coroutine(self.network.synchronize())

    @rule(choice=st.integers(0, 99))
    @precondition(lambda self: len(self.network.instances_by_name) > MIN_INSTANCES)
    def crash(self, choice):
        self.run_coroutine(self.network.synchronize())
        names = sorted(self.network.instances_by_name)
        del self.network.instances_by_name[names[choice % len(names)]]

    @rule(choice=st.integers(0, 99))
    @precondition(lambda self: len(self.network.instances_by_name) > MIN_INSTANCES)
    def leave(self, choice):
        names = sorted(self.network.instances_by_name)
        instance = self.network.instances_by_name[names[choice % len(names)]]
        self.run_coroutine(self.network.synchronize())
        instance.members.leave()
        assert self.run_coroutine(instance.pins.hand_over_all()) == 0
        del self.network.instances_by_name[instance.members.local.name]

    @rule(zone=st.sampled_from(ZONES))
    @precondition(lambda self: len(self.network.instances_by_name) < len(NAMES))
    def join(self, zone):
        name = next(
            name for name in NAMES if name not in self.network.instances_by_name
        )
        instance = self.network.start(name, zone)
        self.run_coroutine(instance.pins.hand_over())


@then("no order of turns, changes of membership and lost messages moves a session")
def step_impl(context):
    run_state_machine_as_test(
        Sessions,
        settings=settings(
            PROFILE,
            max_examples=60,
            stateful_step_count=25,
            phases=(Phase.generate,),
        ),
    )


@given("a store of {count:d} pins that is full")
def step_impl(context, count):
    context.store = PinStore(count)
    context.pins = [build_pin(number) for number in range(count + 1)]
    for pin in context.pins[:count]:
        context.store.put(pin)


def build_pin(number, version="tern-small@1", sequence=1):
    """Return the pin of a numbered session."""
    name = f"guest-{number}"
    return SessionPin(name, "reef-villages", "desk-assist", version, 1, sequence)


@when("the oldest pin is read and another is added")
def step_impl(context):
    assert context.store.get_pin(context.pins[0].key) is context.pins[0]
    context.store.put(context.pins[-1])


@then("the least recently used pin is gone")
def step_impl(context):
    found = [context.store.get_pin(pin.key) is not None for pin in context.pins]
    assert found == [True, False, True, True], found


class _Follower:
    """A configuration with a roll-out in some state."""

    def __init__(self, state):
        bodies = {
            "is running": {"r": {"model": "tern-small"}},
            "is halted": {"r": {"model": "tern-small", "state": "halted"}},
            "is absent": {},
        }
        self.snapshot = self
        self.rollouts_by_name = bodies[state]


@given("an archive of a site whose roll-out {state}")
def step_impl(context, state):
    context.state = state


def run_with_archive(context, operation):
    """Run `operation(archive, standin)` against a table stand-in."""

    async def run():
        standin = TableStandin()
        table = Table.from_url(await standin.start())
        archive = PinArchive(table, _Follower(context.state), Clock())
        try:
            return await operation(archive, standin)
        finally:
            await table.close()
            await standin.stop()

    return asyncio.run(run())


@when("the site has {count:d} members")
def step_impl(context, count):
    follower = _Follower(context.state)
    follower.count_members = lambda: count
    context.members = count
    context.archive = PinArchive(None, follower, Clock())


@then("all archives together write at most {writes:d} times a second")
def step_impl(context, writes):
    per_s = context.members * 1000 / context.archive.batch_period_ms()
    assert 0 < per_s <= writes, per_s


@when("{count:d} pins are added")
def step_impl(context, count):
    async def operation(archive, standin):
        for number in range(count):
            archive.enqueue(build_pin(number))
        assert await archive.flush()
        context.rows = [key for key in standin.rows if key.startswith(PIN_PREFIX)]
        context.writes = standin.writes

    run_with_archive(context, operation)


@then("{rows:d} rows are written in {writes:d} transactions")
def step_impl(context, rows, writes):
    assert (len(context.rows), context.writes) == (rows, writes)


@when("a session moves twice while the table is down")
def step_impl(context):
    async def operation(archive, standin):
        archive.enqueue(build_pin(1))
        standin.faults.add(Fault("transact", "down", count=1))
        assert not await archive.flush()
        archive.enqueue(build_pin(1, "tern-small@2", 2))
        archive.enqueue(build_pin(1, "tern-small@3", 3))
        assert await archive.flush()
        ((_, value),) = standin.rows.values()
        context.row = value

    run_with_archive(context, operation)


@then("its last pin is written once the table is back")
def step_impl(context):
    assert SessionPin.from_json(context.row).version == "tern-small@3"
