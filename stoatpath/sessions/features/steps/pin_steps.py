"""Steps about pins in memory and in the table."""

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
from stoatpath.sessions.holders import HolderRing
from stoatpath.sessions.pins import PinStore, SessionPin
from stoatpath.standins.faults import Fault
from stoatpath.standins.tables import TableStandin

PROFILE = settings(derandomize=True, database=None, deadline=None, max_examples=100)
ZONES = ("zone-a", "zone-b", "zone-c")
SESSIONS = tuple(f"guest-{number}" for number in range(12))
NAMES = tuple(f"router-{number}" for number in range(7))
MIN_INSTANCES = 3
SPACING = ("", "", "", "")


def ring_of(zones):
    """Return a ring of one instance for each given zone."""
    names = [f"router-{index}" for index in range(len(zones))]
    members = [
        Member(name, "router", "", zone, 1, LIVE) for name, zone in zip(names, zones)
    ]
    return HolderRing(dict(zip(names, members)))


@then("any instances in several zones hold each key in two zones")
def step_impl(context):
    @PROFILE
    @forall(st.lists(st.sampled_from(ZONES), min_size=2, max_size=9), st.text())
    def check(zones, key):
        holders = ring_of(zones).holders(key)
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
        before = set(ring_of(zones[:-1]).names(key))
        after = set(ring_of(zones).names(key))
        assert len(before & after) >= 1

    check()


@then("any pins of one session merge to the same one in any order")
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
    def check(pins, chance):
        results = set()
        for _ in range(4):
            store = PinStore()
            for each in pins + pins:
                standing = store.put(each)
            results.add(tuple(standing.to_json()))
            chance.shuffle(pins)
        assert len(results) == 1, results
        assert standing.sequence == max(each.sequence for each in pins)

    check()


class Sessions(RuleBasedStateMachine):
    """Turns of sessions among changes of membership and lost messages.

    Instances crash one at a time: the pins of two that are lost before anybody
    noticed can't be kept in memory.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.network = Network()
        self.versions_by_session = {}
        self.current = 1
        for index in range(4):
            self.network.start(NAMES[index], ZONES[index % 3])
        self.run(self.network.settle())

    def teardown(self):
        self.loop.close()

    def run(self, work):
        return self.loop.run_until_complete(work)

    @rule(first=st.integers(0, 99), spread=st.integers(0, 3))
    def turns(self, first, spread):
        """Every session has a turn, each at some instance, on a new version if it
        has none."""
        instances = list(self.network.instances_by_name.values())
        for index, session in enumerate(SESSIONS):
            instance = instances[(first + index * spread) % len(instances)]
            self.current += 1
            version = self.run(instance.turn(session, f"tern-small@{self.current}"))
            if version is None:
                continue
            expected = self.versions_by_session.setdefault(session, version)
            assert version == expected, (session, version, expected)

    @rule(losses=st.lists(st.sampled_from(["", "ask", "reply"]), max_size=8))
    def lose_messages(self, losses):
        spaced = [[loss, *SPACING] for loss in losses]
        self.network.losses = [each for part in spaced for each in part]

    @rule(choice=st.integers(0, 99))
    def one_hears(self, choice):
        instances = list(self.network.instances_by_name.values())
        instance = instances[choice % len(instances)]
        self.network.tell(instance)
        self.run(instance.pins.hand_over())

    @rule()
    def all_hear(self):
        self.run(self.network.settle())
        self.network.clock.advance_by(20_000)
        self.run(self.network.settle())

    @rule(choice=st.integers(0, 99))
    @precondition(lambda self: len(self.network.instances_by_name) > MIN_INSTANCES)
    def crash(self, choice):
        self.run(self.network.settle())
        names = sorted(self.network.instances_by_name)
        del self.network.instances_by_name[names[choice % len(names)]]

    @rule(choice=st.integers(0, 99))
    @precondition(lambda self: len(self.network.instances_by_name) > MIN_INSTANCES)
    def leave(self, choice):
        names = sorted(self.network.instances_by_name)
        instance = self.network.instances_by_name[names[choice % len(names)]]
        self.run(self.network.settle())
        instance.members.leave()
        assert self.run(instance.pins.leave()) == 0
        del self.network.instances_by_name[instance.members.local.name]

    @rule(zone=st.sampled_from(ZONES))
    @precondition(lambda self: len(self.network.instances_by_name) < len(NAMES))
    def join(self, zone):
        name = next(
            name for name in NAMES if name not in self.network.instances_by_name
        )
        instance = self.network.start(name, zone)
        self.run(instance.pins.hand_over())


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
    context.pins = [pin_of(number) for number in range(count + 1)]
    for pin in context.pins[:count]:
        context.store.put(pin)


def pin_of(number, version="tern-small@1", sequence=1):
    """Return the pin of a numbered session."""
    name = f"guest-{number}"
    return SessionPin(name, "reef-villages", "desk-assist", version, 1, sequence)


@when("the oldest is used and another is added")
def step_impl(context):
    assert context.store.find(context.pins[0].key) is context.pins[0]
    context.store.put(context.pins[-1])


@then("the one that was used longest ago is gone")
def step_impl(context):
    found = [context.store.find(pin.key) is not None for pin in context.pins]
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


def with_archive(context, work):
    """Run `work(archive, standin)` against a table stand-in."""

    async def run():
        standin = TableStandin()
        table = Table.from_url(await standin.start())
        archive = PinArchive(table, _Follower(context.state), Clock())
        try:
            return await work(archive, standin)
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
    per_s = context.members * 1000 / context.archive.period_ms()
    assert 0 < per_s <= writes, per_s


@when("{count:d} pins are added")
def step_impl(context, count):
    async def work(archive, standin):
        for number in range(count):
            archive.add(pin_of(number))
        assert await archive.flush()
        context.rows = [key for key in standin.rows if key.startswith(PIN_PREFIX)]
        context.writes = standin.writes

    with_archive(context, work)


@then("{rows:d} rows are written in {writes:d} transactions")
def step_impl(context, rows, writes):
    assert (len(context.rows), context.writes) == (rows, writes)


@when("a session moves twice while the table is down")
def step_impl(context):
    async def work(archive, standin):
        archive.add(pin_of(1))
        standin.faults.add(Fault("transact", "down", count=1))
        assert not await archive.flush()
        archive.add(pin_of(1, "tern-small@2", 2))
        archive.add(pin_of(1, "tern-small@3", 3))
        assert await archive.flush()
        ((_, value),) = standin.rows.values()
        context.row = value

    with_archive(context, work)


@then("its last pin is written once the table is back")
def step_impl(context):
    assert SessionPin.from_json(context.row).version == "tern-small@3"
