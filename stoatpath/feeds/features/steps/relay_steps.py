"""Steps on tables that instances copy from each other, mostly in virtual time."""

import asyncio
import math
import random

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.clock import ManualClock
from stoatpath.feeds.copies import TableCopy
from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.messages import TablesAnswer, TablesRequest, TableUpdate
from stoatpath.feeds.reachability import Reachability
from stoatpath.feeds.sources import SourceSelector
from stoatpath.gateways import Gateway
from stoatpath.measure.relay_models import ModelFleet
from stoatpath.measure.virtual_loops import run_virtually
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, ListedBackend, Member
from stoatpath.platform.boot_files import BootFile
from stoatpath.platform.row_stores import StoredRow
from stoatpath.routing.fleet_loads import FleetLoads
from stoatpath.routing.speeds import ServerSpeeds
from stoatpath.standins.deployments import Deployment, boot_mapping

FANOUT = 8
SETTLE_S = 5.0
LIMIT_MS = 20_000.0
CALM_S = 10.0
TRIALS = settings(derandomize=True, deadline=None)
DEPLOYMENT_TIMEOUT_S = 20

zones = st.sampled_from(["north", "south", "east"])
fleets = st.lists(zones, min_size=1, max_size=40)


def build_members(fleet):
    return [
        Member(f"instance-{index}", "gateway", f"a{index}", zone, 1, LIVE)
        for index, zone in enumerate(fleet)
    ]


def source_names(members, views):
    """Return the name of the source of each member, given the names that it knows."""
    names = {}
    for member in members:
        table = MemberTable(member)
        known = [each for each in members if each.name in views[member.name]]
        table.merge([each for each in known if each is not member], 0.0)
        source = SourceSelector(table).select(0.0)
        names[member.name] = None if source is None else source.name
    return names


@given("any members in some availability zones that all know each other")
def step_impl(context):
    context.results = []

    @TRIALS
    @forall(fleets)
    def collect(fleet):
        members = build_members(fleet)
        all_names = {member.name for member in members}
        sources = source_names(members, {name: all_names for name in all_names})
        context.results.append((members, sources))

    collect()


@then("exactly one of them reads the store")
def step_impl(context):
    for _, sources in context.results:
        assert list(sources.values()).count(None) == 1, sources


@then(
    "none is followed by more than {count:d} of its zone and {others:d} of other zones"
)
def step_impl(context, count, others):
    for members, sources in context.results:
        zone_by_name = {member.name: member.zone for member in members}
        for name in zone_by_name:
            followers = [each for each in sources if sources[each] == name]
            same = [
                each for each in followers if zone_by_name[each] == zone_by_name[name]
            ]
            assert len(same) <= count, sources
            assert len(followers) - len(same) <= others, sources


@given("any members that know any part of each other")
def step_impl(context):
    context.results = []

    @TRIALS
    @forall(fleets, st.randoms(use_true_random=False))
    def collect(fleet, rng):
        members = build_members(fleet)
        names = [member.name for member in members]
        views = {name: {each for each in names if rng.random() < 0.4} for name in names}
        context.results.append(source_names(members, views))

    collect()


@then("following the sources from any of them ends at a reader")
def step_impl(context):
    for sources in context.results:
        for name in sources:
            visited = set()
            while name is not None:
                assert name not in visited, sources
                visited.add(name)
                name = sources[name]


@given("a chain of instances with any clocks and any delays between them")
def step_impl(context):
    context.check = _check_chain


def _check_chain():
    delays = st.tuples(st.integers(0, 400), st.integers(0, 3_000), st.integers(0, 400))
    instances = st.lists(st.integers(-(10**6), 10**6), min_size=2, max_size=4)
    rounds = st.lists(st.lists(delays, min_size=4, max_size=4), min_size=1, max_size=8)

    @TRIALS
    @forall(instances, rounds, st.integers(-(10**6), 10**6))
    def check(offsets, rounds, store_offset):
        copies = [TableCopy() for _ in offsets]
        reachabilities = [Reachability() for _ in offsets]
        produced_true_ms = [None for _ in offsets]
        true_ms = 0.0
        for delays_by_hop in rounds:
            for hop, offset in enumerate(offsets):
                there, hold, back = delays_by_hop[hop]
                sent_ms = true_ms + offset
                answered_true_ms = true_ms + there + hold
                true_ms = answered_true_ms + back
                now_ms = true_ms + offset
                if hop == 0:
                    store_ms = answered_true_ms + store_offset
                    as_of_ms = reachabilities[0].record_answer(
                        sent_ms, now_ms, store_ms
                    )
                    copies[0].apply_full_read([], 1, as_of_ms, store_ms)
                    produced_true_ms[0] = answered_true_ms
                else:
                    sender_now_ms = answered_true_ms + offsets[hop - 1]
                    answer = TablesAnswer(
                        reachabilities[hop - 1].store_ms(sender_now_ms),
                        None,
                        None,
                        False,
                        {},
                    )
                    update = TableUpdate.from_copy(copies[hop - 1], None)
                    reachabilities[hop].record_relayed_answer(sent_ms, answer)
                    as_of_ms = reachabilities[hop].local_ms(
                        update.confirmed_store_ms, now_ms
                    )
                    copies[hop].apply_full_read(
                        [], 1, as_of_ms, update.confirmed_store_ms
                    )
                    produced_true_ms[hop] = produced_true_ms[hop - 1]
                dated_true_ms = copies[hop].confirmed_ms - offset
                assert dated_true_ms <= produced_true_ms[hop] + 1e-6

    check()


@then("no copy is dated later than the store's answer behind it")
@then("no order of them takes a copy back, and the newest brings it up to date")
def step_impl(context):
    context.check()


@given("updates from copies of any ages of a growing table with removals")
def step_impl(context):
    context.check = _check_updates


def _check_updates():
    writes = st.lists(
        st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=15
    )

    @TRIALS
    @forall(writes, st.randoms(use_true_random=False))
    def check(writes, rng):
        history = []
        sender = TableCopy()
        sender.apply_full_read([], 0, 0.0, 0.0)
        snapshots = []
        for version, (key, is_deleted) in enumerate(writes, 1):
            value = None if is_deleted else b"{}"
            row = StoredRow(key, version, value, is_deleted)
            history.append(row)
            sender.apply_changes([row], version, version, version)
            known = rng.choice([None, *range(version + 1)])
            update = TableUpdate.from_copy(sender, known)
            snapshots.append((known, TableUpdate.from_json(update.to_json())))
        receiver = _Receiver()
        rng.shuffle(snapshots)
        newest = TableUpdate.from_copy(sender, None)
        for known, update in [*snapshots, (None, newest)]:
            is_applicable = update.is_whole or (
                receiver.copy.is_known and known <= receiver.copy.version
            )
            if is_applicable:
                receiver.apply(update)
        rows = receiver.copy.rows_by_key
        expected = {row.key: row for row in history}
        expected = {key: row for key, row in expected.items() if not row.is_deleted}
        assert {key: row.version for key, row in rows.items()} == {
            key: row.version for key, row in expected.items()
        }

    check()


class _Receiver:
    """A copy that fails when a version decreases."""

    def __init__(self):
        self.copy = TableCopy()
        self.follower = build_follower(self.copy)

    def apply(self, update):
        before = self.copy.version
        rows = dict(self.copy.rows_by_key)
        self.follower.apply_update(update, update.confirmed_store_ms)
        assert self.copy.version >= before
        for key, row in self.copy.rows_by_key.items():
            assert key not in rows or row.version >= rows[key].version


def build_follower(copy):
    follower = TableFollower(
        None, "desk", 0, 0, Reachability(), None, random.Random(1), lambda changes: None
    )
    follower.copy = copy
    return follower


@given("any JSON in place of a {message}")
def step_impl(context, message):
    context.parse = {"request": TablesRequest, "answer": TablesAnswer}[
        message
    ].from_json


STARTED_MS = 10_000.0
ROW = ["config", 7, "e30=", False]
UPDATE = {
    "rows": [ROW],
    "version": 7,
    "confirmed_store_ms": 5_000.0,
    "is_whole": True,
    "changed_store_ms": 4_000.0,
}
REQUEST = {
    "versions": {"op": 7},
    "confirmed_store_ms": 5_000.0,
    "wait_ms": 100.0,
    "sessions_digest": "",
    "sessions": None,
    "encodings": ["zlib"],
    "newest_version": 7,
    "loads": None,
}
ANSWER = {
    "store_ms": 5_010.0,
    "outage_end_store_ms": None,
    "outage_duration_ms": None,
    "is_leaving": False,
    "tables": {"op": UPDATE},
    "sessions_digest": "",
    "sessions": None,
    "expects_news": True,
    "is_arriving": False,
    "age_ms": 10.0,
    "newest_version": 7,
    "loads": None,
}
VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from(["nan", "inf", "-inf", "7", "1e308", "", 10**400, -(10**400)])
    | st.lists(st.integers(), max_size=3)
    | st.dictionaries(st.text(max_size=2), st.integers(), max_size=2)
)


def check_clock(value):
    """Assert that a time is unknown or finite."""
    assert value is None or value == float("-inf") or math.isfinite(value), value


def check_update(update):
    """Assert that an update has versions, rows and times."""
    assert type(update.version) is int and update.version >= 0
    assert type(update.is_whole) is bool
    check_clock(update.changed_store_ms)
    assert math.isfinite(update.confirmed_store_ms)
    for row in update.rows:
        assert type(row.key) is str and type(row.is_deleted) is bool
        assert type(row.version) is int and row.version >= 0


def check_request(request):
    """Assert that a request has versions and times."""
    versions = [*request.versions_by_table.values(), request.newest_version]
    assert all(type(each) is int and each >= 0 for each in versions), versions
    check_clock(request.confirmed_store_ms)
    assert 0 <= request.wait_ms < float("inf")


def check_answer(answer):
    """Assert that an answer has updates and times."""
    for update in answer.updates_by_table.values():
        check_update(update)
    for name in ("store_ms", "outage_end_store_ms", "outage_duration_ms", "age_ms"):
        check_clock(getattr(answer, name))
    assert type(answer.newest_version) is int and answer.newest_version >= 0


@given("any JSON in any field of a {message}")
def step_impl(context, message):
    context.template, context.type, context.check = {
        "request": (REQUEST, TablesRequest, check_request),
        "answer": (ANSWER, TablesAnswer, check_answer),
        "update": (UPDATE, TableUpdate, check_update),
    }[message]


@then("it is rejected as malformed, or has versions and finite times")
def step_impl(context):
    names = st.sampled_from(sorted(context.template))
    rows = st.tuples(st.integers(0, 3), VALUES).map(
        lambda change: ROW[: change[0]] + [change[1]] + ROW[change[0] + 1 :]
    )
    changes = st.dictionaries(names, VALUES, max_size=2) | rows.map(
        lambda row: {"rows": [row]} if "rows" in context.template else {}
    )

    @settings(derandomize=True, deadline=None, max_examples=500)
    @forall(changes)
    def check_property(fields):
        try:
            message = context.type.from_json(context.template | fields)
        except ValueError:
            return
        context.check(message)

    context.check(context.type.from_json(context.template))
    check_property()


@given("an instance whose copies were confirmed by another one")
def step_impl(context):
    context.clock = ManualClock(STARTED_MS)
    mapping = boot_mapping("gateway-0", "127.0.0.1:1", {})
    boot = BootFile.from_mapping(mapping)
    context.relay = Gateway.from_boot(boot, clock=context.clock).tables
    context.other = Member("gateway-1", "gateway", "a1", "zone-a", 1, LIVE)
    context.relay._apply(context.other, TablesAnswer.from_json(ANSWER), STARTED_MS)
    assert 0 <= context.relay.copy_age_ms() <= 20, context.relay.copy_age_ms()


@when(
    "{later:d} ms later one without newer copies tells a clock "
    "that is {behind:d} ms behind"
)
def step_impl(context, later, behind):
    now_ms = context.clock.now_ms() + later
    context.clock._now_ms = now_ms
    answer = ANSWER | {"store_ms": 5_010.0 + later - behind, "tables": {}}
    context.relay._apply(context.other, TablesAnswer.from_json(answer), now_ms)


@when("the same copies arrive again without another confirmation")
def step_impl(context):
    now_ms = context.clock.now_ms()
    answer = ANSWER | {"store_ms": ANSWER["store_ms"] + now_ms - STARTED_MS}
    context.relay._apply(context.other, TablesAnswer.from_json(answer), now_ms)


@then("its copies are at least {age:d} ms old")
def step_impl(context, age):
    assert context.relay.copy_age_ms() >= age, context.relay.copy_age_ms()


@then("it is rejected as malformed")
def step_impl(context):
    values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda children: st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(["tables", "versions", "rows", "op", "store_ms"]), children
        ),
        max_leaves=6,
    )

    @TRIALS
    @forall(values)
    def check(value):
        try:
            context.parse(value)
        except ValueError:
            return
        raise AssertionError(f"{value!r} was accepted")

    check()


class FleetRun:
    """The size of a model fleet, and the scenario to run on it."""

    def __init__(self, count, zone_count, bound_ms):
        self.count = count
        self.zone_count = zone_count
        self.bound_ms = bound_ms
        self.fleet = None

    def play(self, scenario):
        """Run `scenario(fleet)` on a fleet that has settled; return its result."""

        async def main(loop):
            fleet = self.fleet = ModelFleet(
                loop, self.count, self.zone_count, self.bound_ms
            )
            fleet.start()
            try:
                await asyncio.sleep(SETTLE_S)
                return await scenario(fleet)
            finally:
                await fleet.stop()

        return run_virtually(main)


@given(
    "{count:d} instances in {zone_count:d} availability zones, "
    "with a bound of {bound:d} ms"
)
def step_impl(context, count, zone_count, bound):
    context.run = FleetRun(count, zone_count, bound)


@when("nothing changes for {seconds:d} s")
def step_impl(context, seconds):
    async def scenario(fleet):
        before = fleet.store.calls
        await asyncio.sleep(seconds)
        calls_per_s = (fleet.store.calls - before) / seconds
        ages_ms = [
            instance.relay.copy_age_ms()
            for instance in fleet.instances_by_name.values()
        ]
        return len(fleet.readers()), calls_per_s, max(ages_ms)

    context.result = context.run.play(scenario)


@then("one instance reads the store, with at most {rate:d} calls a second")
def step_impl(context, rate):
    readers, calls_per_s, _ = context.result
    assert readers == 1, readers
    assert calls_per_s <= rate, calls_per_s


@then("all have routes confirmed within half of the bound")
def step_impl(context):
    assert context.result[2] <= context.run.bound_ms / 2, context.result


async def disturb(fleet, fault, name):
    if fault == "is killed":
        await fleet.kill(name)
    elif fault == "stops answering":
        fleet.silent.add(name)
        fleet.store.unreachable_from.add(name)
    else:
        assert fault == "loses the store"
        fleet.store.unreachable_from.add(name)


@when("the reader {fault} just before a change")
def step_impl(context, fault):
    async def scenario(fleet):
        reader = fleet.readers()[0].name
        await disturb(fleet, fault, reader)
        version = fleet.store.put("op", "config")
        others_ms = await fleet.time_to_all("op", version, LIMIT_MS, {reader})
        if fault != "loses the store":
            return others_ms, None
        rest_ms = await fleet.time_to_all("op", version, LIMIT_MS)
        return others_ms, others_ms + rest_ms

    context.times_ms, context.all_ms = context.run.play(scenario)


@then("all other instances know the change within the bound")
def step_impl(context):
    assert context.times_ms is not None
    assert context.times_ms <= context.run.bound_ms, context.times_ms


@then("all instances know the change within the bound")
def step_impl(context):
    assert context.all_ms <= context.run.bound_ms, context.all_ms


@when("{count:d} readers stop answering, one after the other")
def step_impl(context, count):
    async def scenario(fleet):
        times_ms = []
        for _ in range(count):
            reader = max(fleet.readers(), key=lambda each: each.relay.source is None)
            await disturb(fleet, "stops answering", reader.name)
            version = fleet.store.put("op", "config")
            times_ms.append(
                await fleet.time_to_all("op", version, LIMIT_MS, fleet.silent)
            )
            await asyncio.sleep(SETTLE_S)
        return times_ms

    context.times_ms = context.run.play(scenario)


@then("all other instances know each change within the bound")
def step_impl(context):
    for time_ms in context.times_ms:
        assert time_ms is not None and time_ms <= context.run.bound_ms, context.times_ms


@when("the store turns all instances but the lowest in rank away")
def step_impl(context):
    async def scenario(fleet):
        names = list(fleet.instances_by_name)
        selectors = {
            name: fleet.instances_by_name[name].relay._selector for name in names
        }
        lowest = max(names, key=lambda name: selectors[name].depth(0.0))
        fleet.store.unreachable_from.update(set(names) - {lowest})
        version = fleet.store.put("op", "config")
        return await fleet.time_to_all("op", version, LIMIT_MS)

    context.next_time_ms = context.run.play(scenario)


@then("all instances know the next change within {limit:d} ms")
def step_impl(context, limit):
    assert context.next_time_ms is not None, context.next_time_ms
    assert context.next_time_ms <= limit, context.next_time_ms


@when("the store is unreachable for {seconds:d} s and a row changes meanwhile")
def step_impl(context, seconds):
    async def scenario(fleet):
        fleet.store.unreachable_from.update(fleet.instances_by_name)
        await asyncio.sleep(1)
        before = fleet.store.calls
        version = fleet.store.put("servers", "m1")
        await asyncio.sleep(seconds - 1)
        calls_per_s = (fleet.store.calls - before) / (seconds - 1)
        fleet.store.unreachable_from.clear()
        return calls_per_s, await fleet.time_to_all("servers", version, LIMIT_MS)

    context.calls_per_s, context.time_ms = context.run.play(scenario)


@when("the store is unreachable for {seconds:d} s and drops its history after a change")
def step_impl(context, seconds):
    async def scenario(fleet):
        fleet.store.unreachable_from.update(fleet.instances_by_name)
        await asyncio.sleep(seconds)
        version = fleet.store.put("servers", "m1")
        fleet.store.oldest_version = version
        fleet.store.unreachable_from.clear()
        context.time_ms = await fleet.time_to_all("servers", version, LIMIT_MS)
        await asyncio.sleep(CALM_S)
        version = fleet.store.put("op", "config")
        return await fleet.time_to_all("op", version, LIMIT_MS)

    context.next_time_ms = context.run.play(scenario)


@then("all instances know the change within {limit:d} ms of its end")
def step_impl(context, limit):
    assert context.time_ms is not None and context.time_ms <= limit, context.time_ms


@then("at most {rate:d} calls a second were made in the outage")
def step_impl(context, rate):
    assert context.calls_per_s <= rate, context.calls_per_s


@when("the reader's poll of a table is silent while a row of it is added")
def step_impl(context):
    async def scenario(fleet):
        fleet.store.silent_polls.add("servers")
        version = fleet.store.put("servers", "m1")
        return await fleet.time_to_all("servers", version, LIMIT_MS)

    context.time_ms = context.run.play(scenario)


@then("all instances know the row within the bound")
def step_impl(context):
    assert context.time_ms is not None
    assert context.time_ms <= context.run.bound_ms, context.time_ms


@when("the reader announces that it leaves")
def step_impl(context):
    async def scenario(fleet):
        reader = fleet.readers()[0]
        reader.members.leave()
        reader.relay.announce_leaving()
        started_s = fleet.loop.time()
        while all(each is reader for each in fleet.readers()):
            assert fleet.loop.time() - started_s < LIMIT_MS / 1000
            await asyncio.sleep(0.005)
        return (fleet.loop.time() - started_s) * 1000

    context.time_ms = context.run.play(scenario)


@then("another instance reads the store within {limit:d} ms")
def step_impl(context, limit):
    assert context.time_ms <= limit, context.time_ms


@given("a deployment of {count:d} gateways that have the address of one")
def step_impl(context, count):
    context.loop = asyncio.new_event_loop()
    context.deployment = Deployment()
    context.add_cleanup(context.loop.close)
    context.add_cleanup(
        lambda: context.loop.run_until_complete(context.deployment.stop())
    )

    async def start():
        await context.deployment.start(gateways=1)
        seed = context.deployment.gateways[0].peer_server.address
        for index in range(1, count):
            zone = f"zone-{'ab'[index % 2]}"
            await context.deployment.add_gateway(f"g{index}", zone, [seed])
        await context.deployment.wait_until_in_sync()

    context.loop.run_until_complete(start())


@then("they all follow one reader in the end")
def step_impl(context):
    async def wait():
        gateways = context.deployment.gateways
        async with asyncio.timeout(DEPLOYMENT_TIMEOUT_S):
            while (
                sum(gateway.tables.is_reading_store for gateway in gateways) != 1
                or sum(gateway.tables.source is None for gateway in gateways) != 1
            ):
                await asyncio.sleep(0.02)

    context.loop.run_until_complete(wait())


@then("all of them know a change of the configuration")
def step_impl(context):
    context.loop.run_until_complete(context.deployment.update_config())


class OneBackend:
    """A directory of one backend server, at which there are two requests."""

    def __init__(self):
        entry = ListedBackend("s0", "desk-assist", "", "zone-0", "v1", 32, False)
        backend = DirectoryBackend(entry, 0.0)
        backend.in_flight = 2
        self.by_name = {"s0": backend}


def share_loads(fleet, excluded=()):
    """Let instances send the sums of their loads with the tables."""
    for name, instance in fleet.instances_by_name.items():
        if name not in excluded:
            loads = FleetLoads(name, OneBackend(), ServerSpeeds())
            instance.relay.fleet_loads = loads


def count_requests(instance):
    """Return the requests that an instance counts, and the age of its sums in ms."""
    loads = instance.relay.fleet_loads
    age_ms = loads.age_ms(instance.clock.now_ms())
    return loads.others_in_flight() + 2, age_ms


@when("each has {count:d} requests at a backend server for {seconds:d} s")
def step_impl(context, count, seconds):
    async def scenario(fleet):
        share_loads(fleet)
        await asyncio.sleep(seconds)
        return [count_requests(each) for each in fleet.instances_by_name.values()]

    context.counted = context.run.play(scenario)


@then("all of them count {count:d} requests there, with sums younger than {most:d} ms")
def step_impl(context, count, most):
    assert {counted for counted, _ in context.counted} == {count}, context.counted
    assert max(age_ms for _, age_ms in context.counted) < most, context.counted


@when(
    "{count:d} of them are of an older build, and each has 2 requests at a "
    "backend server"
)
def step_impl(context, count):
    async def scenario(fleet):
        old = set(list(fleet.instances_by_name)[::4][:count])
        share_loads(fleet, old)
        await asyncio.sleep(6.0)
        version = fleet.store.put("op", "config")
        late_ms = await fleet.time_to_all("op", version, LIMIT_MS)
        counted = [
            count_requests(each)[0]
            for name, each in fleet.instances_by_name.items()
            if name not in old
        ]
        return late_ms, counted

    context.late_ms, context.counted = context.run.play(scenario)


@then("all have the tables, and none counts more than {most:d} requests there")
def step_impl(context, most):
    assert context.late_ms is not None and context.late_ms <= context.run.bound_ms
    assert max(context.counted) <= most, context.counted
