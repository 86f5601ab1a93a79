"""Steps about releases of services."""

import asyncio
import itertools
from types import SimpleNamespace

from behave import given, then, when

from stoatpath.clock import ManualClock
from stoatpath.dispatch.messages import AttemptResult
from stoatpath.outcomes import BACKEND_ERROR
from stoatpath.platform.documents import StatusCodec
from stoatpath.platform.row_stores import Committed, RowPage, StoredRow
from stoatpath.rollouts.latency_classifiers import (
    CROWDED,
    SLOW,
    UNCLASSIFIED,
    USUAL,
    LatencyClassifier,
)
from stoatpath.rollouts.messages import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    ReleaseOrder,
    ReleaseStatus,
)
from stoatpath.rollouts.release_evidence import AnswerCounts, ReleaseEvidence
from stoatpath.rollouts.release_keepers import ReleaseKeeper
from stoatpath.rollouts.releases import ReleaseRegistry
from stoatpath.standins.deployments import PLAIN_SERVICE, Deployment
from stoatpath.standins.faults import Fault

from release_callers import send_lookup  # isort: skip

SERVICE = "desk-assist"
DURATION_MS = 10_000.0
STARTED_MS = 50_000.0
EXPOSURE = 0.15
STATES = {"runs": RUNNING, "is completed": COMPLETED, "was rolled back": ROLLED_BACK}
BACKENDS = [
    SimpleNamespace(name="old", release="v1"),
    SimpleNamespace(name="new", release="v2"),
]
ROLLOUT_MS = 4_000
ROLLOUT_LIMIT_S = 30
CLOCK = ManualClock(STARTED_MS)
REACHABILITY = SimpleNamespace(store_ms=lambda now_ms: STARTED_MS + 1_000.0)


def status(state, version, order_version=7):
    return ReleaseStatus(
        SERVICE, "v2", state, order_version, STARTED_MS, "gateway-0", "", version
    )


@given("a roll-out that {state}")
def step_impl(context, state):
    context.registry = ReleaseRegistry(EXPOSURE)
    context.registry.apply_order(ReleaseOrder(SERVICE, "v2", DURATION_MS, 7))
    if state in STATES:
        context.registry.apply_status(status(STATES[state], 8))
    if state == "is suspected":
        context.registry.apply_status(status(RUNNING, 8))
        context.registry.suspect(SERVICE, "bad answers")


@then(
    "a request with an earlier release of {earlier} goes to the {side} release "
    "at {fraction:f} of its duration"
)
def step_impl(context, earlier, side, fraction):
    earlier = None if earlier == "none" else earlier
    store_ms = STARTED_MS + fraction * DURATION_MS
    choice = context.registry.choose(SERVICE, "s-1", earlier, store_ms)
    (chosen,) = choice.select(BACKENDS)
    assert chosen.name == side, chosen.name


@then("of {count:d} requests early in it between {least:d} and {most:d} in 100 go {to}")
def step_impl(context, count, least, most, to):
    store_ms = STARTED_MS + 0.1 * DURATION_MS
    new = 0
    for number in range(count):
        choice = context.registry.choose(SERVICE, f"s-{number}", None, store_ms)
        new += choice.select(BACKENDS)[0].name == "new"
    assert least <= 100 * new / count <= most, new


@then("no backend server of the new release may be chosen")
def step_impl(context):
    choice = context.registry.choose(SERVICE, "s-1", "v2", STARTED_MS)
    assert choice.select(BACKENDS[1:]) == []


@when("the operator orders it again")
def step_impl(context):
    context.registry.apply_order(ReleaseOrder(SERVICE, "v2", DURATION_MS, 20))


@then("it is open, and not suspected")
def step_impl(context):
    assert [order.version for order in context.registry.open_orders()] == [20]
    assert not context.registry.suspicions_by_service


@when("its statuses arrive in any order")
def step_impl(context):
    statuses = [status(RUNNING, 8), status(RUNNING, 9), status(COMPLETED, 12)]
    context.states = []
    for order in itertools.permutations(statuses):
        book = ReleaseRegistry(EXPOSURE)
        book.apply_order(ReleaseOrder(SERVICE, "v2", DURATION_MS, 7))
        for each in order:
            book.apply_status(each)
        context.states.append(book.state(book.orders_by_service[SERVICE]))


@then("the newest one is in force")
def step_impl(context):
    assert set(context.states) == {COMPLETED}, context.states


def result(backend, reason=None, began_ms=10.0, gap_ms=20.0, events=10):
    ended_ms = began_ms + gap_ms * (events - 1)
    return AttemptResult(
        backend, "small", reason, None, 0.0, began_ms, ended_ms, "chat", events
    )


@given("these answers of both releases")
def step_impl(context):
    row = {
        name: context.active_outline[name] for name in context.active_outline.headings
    }
    evidence = context.evidence = ReleaseEvidence()
    for number in range(int(row["old_total"])):
        bad = BACKEND_ERROR if number < int(row["old_bad"]) else None
        evidence.record_answer(result(f"old-{number % 4}", bad), False, UNCLASSIFIED)
    for number in range(int(row["total"])):
        bad = BACKEND_ERROR if number < int(row["bad"]) else None
        name = f"new-{number % int(row['backends'])}"
        evidence.record_answer(result(name, bad), True, UNCLASSIFIED)


def build_keeper(registry, servers_by_release, reachability):
    """Return a keeper whose directory has numbers of backend servers by release."""
    backends = [
        SimpleNamespace(name=f"{release}-{number}", service=SERVICE, release=release)
        for release, count in servers_by_release.items()
        for number in range(count)
    ]
    directory = SimpleNamespace(by_name={each.name: each for each in backends})
    return ReleaseKeeper(
        "gateway-0", registry, None, None, None, directory, reachability, CLOCK, None
    )


@given("the only backend server of a release, {bad:d} of whose {total:d} answers {how}")
def step_impl(context, bad, total, how):
    context.evidence = ReleaseEvidence()
    context.has_single_backend = True
    for number in range(total):
        is_bad = number < bad
        reason = BACKEND_ERROR if is_bad and how == "failed" else None
        latency_class = SLOW if is_bad and how == "are slow" else USUAL
        context.evidence.record_answer(result("new-0", reason), True, latency_class)


@given("{count:d} answers of the old release, {bad:d} of which failed")
def step_impl(context, count, bad):
    for number in range(count):
        reason = BACKEND_ERROR if number < bad else None
        context.evidence.record_answer(result("old-0", reason), False, USUAL)


@given("a keeper of a roll-out whose new release has {count:d} backend servers")
def step_impl(context, count):
    context.registry = ReleaseRegistry(EXPOSURE)
    context.elapsed_ms = 0.0
    reachability = SimpleNamespace(
        store_ms=lambda now_ms: STARTED_MS + context.elapsed_ms
    )
    context.keeper = build_keeper(
        context.registry, {"v1": 3, "v2": count}, reachability
    )
    for number in range(60):
        context.keeper.observe(result(f"v1-{number % 3}"))
    context.registry.apply_order(ReleaseOrder(SERVICE, "v2", DURATION_MS, 7))
    context.registry.apply_status(status(RUNNING, 8))


@when(
    "{share:f} of its time is over and one of them fails {bad:d} of {total:d} requests"
)
def step_impl(context, share, bad, total):
    context.elapsed_ms = share * DURATION_MS
    for number in range(total):
        reason = BACKEND_ERROR if number < bad else None
        context.keeper.observe(result("v2-0", reason))


def record_stream(context, stream, is_new):
    latency_class = context.latencies.classify(
        SERVICE, stream, updates_baseline=not is_new
    )
    context.evidence.record_answer(stream, is_new, latency_class)


@given("{count:d} streams of the old release with {gap:d} ms between events")
def step_impl(context, count, gap):
    if "latencies" not in context:
        context.evidence = ReleaseEvidence()
        context.latencies = LatencyClassifier()
    for number in range(count):
        record_stream(context, result(f"old-{number % 4}", gap_ms=gap), False)


@when("{count:d} streams of the new release have {gap:d} ms between events")
def step_impl(context, count, gap):
    for number in range(count):
        record_stream(context, result(f"new-{number % 3}", gap_ms=gap), True)


@given(
    "{count:d} gateways that each saw {crowded:d} of {paced:d} streams of the new "
    "release crowded"
)
def step_impl(context, count, crowded, paced):
    context.evidence = ReleaseEvidence()
    context.stored = []
    for gateway in range(count):
        gateway_evidence = ReleaseEvidence()
        for number in range(paced):
            latency_class = CROWDED if number < crowded else USUAL
            gateway_evidence.record_answer(
                result(f"new-{gateway}"), True, latency_class
            )
        assert gateway_evidence.detect_regression() is None
        context.stored.append(gateway_evidence.to_row(7, 0.0))


@when("one of them evaluates the counts of all")
def step_impl(context):
    published = [ReleaseEvidence.from_row(7, row) for row in context.stored]
    context.evidence = ReleaseEvidence.merged(published, 0.0)


@when(
    "{count:d} streams of the new release begin after {began:d} ms with {gap:d} ms "
    "between events"
)
def step_impl(context, count, began, gap):
    for number in range(count):
        stream = result(f"new-{number % 3}", began_ms=began, gap_ms=gap)
        record_stream(context, stream, True)


@then("the new release is {verdict}")
def step_impl(context, verdict):
    is_single = getattr(context, "has_single_backend", False)
    problem = context.evidence.detect_regression(has_single_backend=is_single)
    assert (problem is not None) == (verdict == "suspected"), problem


@given(
    "{count:d} gateways that follow a roll-out in which the new release is {quality}"
)
def step_impl(context, count, quality):
    context.count = count
    context.quality = quality


@when("requests are sent through all of them for the time of the roll-out")
def step_impl(context):
    context.state, context.bad = asyncio.run(
        _run_rollout(context.count, context.quality)
    )


async def _run_rollout(count, quality):
    deployment = Deployment()
    await deployment.start(models=0, plain=3, gateways=count)
    try:
        new = [
            await deployment.add_replica(f"n{index}", PLAIN_SERVICE, "v2")
            for index in range(3)
        ]
        for replica in new if quality == "bad" else ():
            replica.faults.add(Fault("serve", "error", None))
        await deployment.wait_until_in_sync()
        order = {"service": PLAIN_SERVICE, "to": "v2", "duration_s": ROLLOUT_MS / 1000}
        await deployment.store.put("op", f"rollout/{PLAIN_SERVICE}", order)
        found = None
        number = 0
        ends_s = asyncio.get_running_loop().time() + ROLLOUT_LIMIT_S
        while asyncio.get_running_loop().time() < ends_s:
            await send_lookup(deployment.gateways[number % count], number)
            number += 1
            found = deployment.store.value("status", f"rollout/{PLAIN_SERVICE}")
            if found is not None and found["state"] != "running":
                break
        bad = sum(len(replica.runs) for replica in new) if quality == "bad" else 0
        return found and found["state"], bad
    finally:
        await deployment.stop()


@then("the status in the store is {state}")
def step_impl(context, state):
    assert context.state == state, context.state


@then("the new release got at most {most:d} bad answers")
def step_impl(context, most):
    assert context.bad <= most, context.bad


@given(
    "a keeper that saw {count:d} streams with {gap:d} ms between events "
    "before any roll-out"
)
def step_impl(context, count, gap):
    context.registry = ReleaseRegistry(EXPOSURE)
    context.keeper = build_keeper(context.registry, {"v1": 3, "v2": 3}, REACHABILITY)
    for number in range(count):
        context.keeper.observe(result(f"v1-{number % 3}", gap_ms=gap))


@when(
    "{count:d} streams of a release that is rolled out have {gap:d} ms between events"
)
def step_impl(context, count, gap):
    context.registry.apply_order(ReleaseOrder(SERVICE, "v2", DURATION_MS, 7))
    context.registry.apply_status(status(RUNNING, 8))
    for number in range(count):
        context.keeper.observe(result(f"v2-{number % 3}", gap_ms=gap))


@then("the keeper doesn't suspect it")
def step_impl(context):
    assert SERVICE not in context.registry.suspicions_by_service


@then("the keeper suspects it")
def step_impl(context):
    assert SERVICE in context.registry.suspicions_by_service


@given("a roll-out with an allowed exposure of {exposure:f}")
def step_impl(context, exposure):
    context.registry = ReleaseRegistry(exposure)
    context.registry.apply_order(ReleaseOrder(SERVICE, "v2", DURATION_MS, 7))
    context.registry.apply_status(status(RUNNING, 8))


@then(
    "at most {exposure:f} of {count:d} requests over its duration go to the new release"
)
def step_impl(context, exposure, count):
    new = 0
    for number in range(count):
        store_ms = STARTED_MS + DURATION_MS * number / count
        choice = context.registry.choose(SERVICE, f"s-{number}", None, store_ms)
        new += choice.select(BACKENDS)[0].name == "new"
    assert new <= exposure * count, new


class SharedRows:
    """A store with the counts of other instances; it accepts and counts every write."""

    def __init__(self, count):
        evidence = ReleaseEvidence()
        evidence.new_by_route["chat"] = AnswerCounts(total=1)
        counts = evidence.to_row(7, 0.0)
        self.rows = [
            StoredRow(f"{SERVICE}/other-{number}", 1, counts) for number in range(count)
        ]
        self.writes = 0

    async def write(self, writes):
        self.writes += 1
        return Committed(self.writes, 0.0)

    async def read(self, table, start=""):
        return RowPage(self.rows, 1, 0.0, True)


@given("a keeper among {count:d} instances that publish counts of a running roll-out")
def step_impl(context, count):
    context.clock = ManualClock(STARTED_MS)
    context.store = SharedRows(count)
    context.order = ReleaseOrder(SERVICE, "v2", DURATION_MS, 7)
    book = ReleaseRegistry(EXPOSURE)
    book.apply_order(context.order)
    book.apply_status(status(RUNNING, 8))
    names = [f"v2-{number}" for number in range(3)]
    directory = SimpleNamespace(
        by_name={
            name: SimpleNamespace(name=name, service=SERVICE, release="v2")
            for name in names
        }
    )
    context.keeper = ReleaseKeeper(
        "gateway-0",
        book,
        context.store,
        None,
        None,
        directory,
        REACHABILITY,
        context.clock,
        None,
    )
    # The test is about how often counts are published, not about their evaluation.
    book.suspect(SERVICE, "bad answers")


@when("it sees one bad answer of the new release in each 100 ms for 10 s")
def step_impl(context):
    async def observe_failures():
        for number in range(100):
            bad = result(f"v2-{number % 3}", BACKEND_ERROR)
            context.keeper.observe(bad)
            await context.keeper._publish_counts(context.order)
            context.clock.advance_by(100.0)

    asyncio.run(observe_failures())


@then("it has written its counts at most {most:d} times, and at least once")
def step_impl(context, most):
    assert 1 <= context.store.writes <= most, context.store.writes


@given("a keeper of a roll-out that {known}, in whose store it {stored}")
def step_impl(context, known, stored):
    codec = StatusCodec()
    context.store = SharedRows(0)
    if stored in STATES:
        value = codec.encode_status(status(STATES[stored], 20))
        context.store.rows.append(StoredRow(codec.status_key(SERVICE), 20, value))
    context.registry = ReleaseRegistry(EXPOSURE)
    context.registry.apply_order(ReleaseOrder(SERVICE, "v2", DURATION_MS, 7))
    context.registry.apply_status(status(STATES[known], 8))
    context.keeper = ReleaseKeeper(
        "gateway-0",
        context.registry,
        context.store,
        codec,
        None,
        None,
        REACHABILITY,
        CLOCK,
        None,
    )


@when("the store has begun a new era, and the keeper confirms its statuses")
def step_impl(context):
    context.keeper.restore_statuses()
    asyncio.run(context.keeper._confirm_statuses())


@then("the roll-out {after}, and the store was written {writes:d} times")
def step_impl(context, after, writes):
    state = context.registry.state(context.registry.orders_by_service[SERVICE])
    assert state is STATES[after], state
    assert context.store.writes == writes, context.store.writes
