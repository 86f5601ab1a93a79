"""Steps about sessions that must stay on the old release of a service."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.clock import ManualClock
from stoatpath.dispatch.relay_policies import RelayPolicy
from stoatpath.platform.documents import StatusCodec
from stoatpath.platform.row_stores import Committed
from stoatpath.rollouts.messages import (
    COMPLETED,
    RUNNING,
    ReleaseOrder,
    ReleaseStatus,
)
from stoatpath.rollouts.release_keepers import ReleaseKeeper
from stoatpath.rollouts.releases import ReleaseRegistry
from stoatpath.sessions.releases import SessionReleases
from stoatpath.sessions.shared_releases import SharedSessions

SERVICE = "desk-assist"
ORDER = ReleaseOrder(SERVICE, "v2", 24_000.0, 7)
STARTED_MS = 100_000.0
SESSION_MS = 5_000.0
EXPOSURE = 0.15
OLD, NEW = (
    SimpleNamespace(name=f"server-{release}", release=release)
    for release in ("v1", "v2")
)


class Instance:
    """The releases of one instance, with a clock that equals the store's."""

    def __init__(self):
        self.clock = ManualClock(STARTED_MS - 1_000.0)
        self.keeper = ReleaseKeeper(
            "gateway",
            ReleaseRegistry(EXPOSURE),
            None,
            None,
            SessionReleases(SESSION_MS),
            SimpleNamespace(by_name={}),
            SimpleNamespace(store_ms=lambda now_ms: now_ms),
            self.clock,
            None,
        )

    def start_rollout(self):
        self.keeper.apply_order(ORDER)
        self.clock.advance_to(STARTED_MS)
        self.apply_status(RUNNING, 8)

    def apply_status(self, state, version):
        self.keeper.apply_status(
            ReleaseStatus(
                SERVICE, "v2", state, ORDER.version, STARTED_MS, "gateway", "", version
            )
        )

    def choose(self, session):
        request = build_request(session)
        return self.keeper.choose(request).select([OLD, NEW])[0]


def build_request(session, release=None):
    return SimpleNamespace(
        service=SimpleNamespace(name=SERVICE),
        session=session,
        request_id="r-1",
        release=release,
        releases=None,
    )


def find_canary_session():
    registry = ReleaseRegistry(EXPOSURE)
    return next(
        f"s-{number}"
        for number in range(10_000)
        if registry.is_canary(ORDER, f"s-{number}")
    )


@given("a request that began on the old release")
def step_impl(context):
    instance = context.instance = Instance()
    instance.start_rollout()
    eligible = SimpleNamespace(for_request=lambda request: [OLD, NEW])
    gateway = SimpleNamespace(
        clock=instance.clock,
        eligible=eligible,
        releases=instance.keeper,
        forwarder=SimpleNamespace(is_needed=lambda request: False),
    )
    context.policy = RelayPolicy(gateway)
    context.request = build_request("s-1")
    context.request.releases = instance.keeper.choose(context.request)
    assert context.policy.candidates(context.request, None, None) == [OLD]


@when("the roll-out is completed before it is sent again")
def step_impl(context):
    context.instance.apply_status(COMPLETED, 9)


@then("only backend servers of the new release are candidates")
def step_impl(context):
    assert context.policy.candidates(context.request, None, None) == [NEW]


@given("two instances, and a session of the canary share known to one of them")
def step_impl(context):
    context.first, context.second = Instance(), Instance()
    context.session = find_canary_session()
    context.first.keeper.record_run(build_request(context.session, "v1"))


@when("the roll-out starts and {what}")
def step_impl(context, what):
    context.first.start_rollout()
    context.second.start_rollout()
    if what == "they tell each other":
        told = context.first.keeper.shared_sessions.to_json()
        context.second.keeper.shared_sessions.merge(told)


@then("the other instance keeps the session on the {side} release {after:d} ms later")
def step_impl(context, side, after):
    context.second.clock.advance_to(STARTED_MS + after)
    chosen = context.second.choose(context.session)
    assert chosen is {"old": OLD, "new": NEW}[side], chosen


@given("any sessions of any roll-outs at three instances")
def step_impl(context):
    entries = st.lists(st.tuples(st.integers(1, 3), st.text(max_size=3)), max_size=8)

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(entries, min_size=3, max_size=3))
    def check(entries_by_instance):
        instances = [SharedSessions() for _ in entries_by_instance]
        for sessions in instances:
            sessions.set_open_orders([1, 2, 3])
        for sessions, entries in zip(instances, entries_by_instance):
            for version, session in entries:
                sessions.add(version, session)
        # Along a chain, up and then down, as requests and answers travel.
        for sender, receiver in ((0, 1), (1, 2), (2, 1), (1, 0)):
            instances[receiver].merge(instances[sender].to_json())
        assert len({sessions.digest() for sessions in instances}) == 1
        for entries in entries_by_instance:
            for version, session in entries:
                assert all(each.contains(version, session) for each in instances)
        instances[0].set_open_orders([])
        instances[0].merge(instances[1].to_json())
        assert instances[0].digest() == ""

    context.check = check


@then("they all know all of them after any exchange in both directions")
def step_impl(context):
    context.check()


class FirstWrite:
    """A store that records when the first write came."""

    def __init__(self, clock):
        self.clock = clock
        self.written_ms = None

    async def write(self, writes):
        if self.written_ms is None:
            self.written_ms = self.clock.now_ms()
        return Committed(9, self.written_ms)


@given("an instance that {role}, and an order without a status")
def step_impl(context, role):
    context.keepers = []
    for seed in range(10):
        clock = ManualClock(STARTED_MS)
        keeper = ReleaseKeeper(
            "gateway",
            ReleaseRegistry(EXPOSURE),
            FirstWrite(clock),
            StatusCodec(),
            SessionReleases(SESSION_MS),
            SimpleNamespace(by_name={}),
            SimpleNamespace(store_ms=lambda now_ms: now_ms),
            clock,
            random.Random(seed),
        )
        keeper.reads_store = lambda: role == "reads the store"
        keeper.apply_order(ORDER)
        context.keepers.append(keeper)


@when("nobody else writes the status")
def step_impl(context):
    async def advance(keeper):
        while keeper._store.written_ms is None:
            await keeper._advance_rollout(ORDER)
            keeper._clock.advance_by(100.0)

    for keeper in context.keepers:
        asyncio.run(advance(keeper))


@then("it writes the status after {least:d} to {most:d} ms")
def step_impl(context, least, most):
    for keeper in context.keepers:
        elapsed_ms = keeper._store.written_ms - STARTED_MS
        assert least <= elapsed_ms <= most, elapsed_ms
