"""Steps on permits, with many instances in virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.backpressure.cold_starts import ColdStartTable
from stoatpath.backpressure.exchanges import PERMIT_TOPIC, PermitExchange
from stoatpath.backpressure.limits import LimitTable
from stoatpath.backpressure.messages import BackendSignals
from stoatpath.backpressure.permits import BURST_S, MIN_BURST, PermitIssuer
from stoatpath.clock import ManualClock
from stoatpath.measure.limit_models import LimitFleet
from stoatpath.measure.virtual_loops import run_virtually
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member

TRIALS = settings(derandomize=True, deadline=None)
SEED = 1
SETTLE_S = 6.0
LIMIT_S = 12.0
FAULT_AFTER_S = 4.0
FREEZE_S = 4.0
ISOLATION_S = 8.0
RESTART_S = 1.0
# Time in which instances hear of a limit and permits begin to be issued.
KNOWN_MS = 2_000.0
# Requests to one server in the model that are enough to use up its limit.
MIN_DEMAND_PER_S = 60.0
LEAST_USED_SHARE = 0.5
FOLLOW_S = 6.0


def request_rate(count, servers, limit):
    """Return a rate of requests an instance that uses up the limits of all servers."""
    return max(1.0, (MIN_DEMAND_PER_S + 2 * limit * servers) / count)


@given("any requests of any instances for permits at any times")
def step_impl(context):
    context.first_counts = []
    steps = st.tuples(st.integers(0, 3_000), st.integers(1, 30), st.integers(0, 5))
    rates = st.sampled_from([0.05, 0.5, 1.9, 19.0, 400.0])

    @TRIALS
    @forall(st.lists(steps, min_size=1, max_size=40), rates)
    def check(steps, rate):
        issuer = PermitIssuer()
        now_ms = 0.0
        grants = []
        for pause_ms, wanted, instance in steps:
            now_ms += pause_ms
            count = issuer.grant("m0", str(instance), wanted, rate, now_ms).count
            assert 0 <= count <= wanted
            grants.append((now_ms, count))
        context.first_counts.append(grants[0][1])
        reserve = max(MIN_BURST, BURST_S * rate)
        for first, (start_ms, _) in enumerate(grants):
            total = 0
            for end_ms, count in grants[first:]:
                total += count
                allowed = reserve + rate * (end_ms - start_ms) / 1000
                assert total <= allowed + 1e-6, (total, allowed)

    context.check = check


@then("in any period it grants at most the rate of the period and its reserve")
def step_impl(context):
    context.check()


@then("a new issuer grants none at once")
def step_impl(context):
    assert not any(context.first_counts)


@given("an issuer of {rate:g} permits a second that {count:d} instances ask at once")
def step_impl(context, rate, count):
    issuer = PermitIssuer()
    context.rate = rate
    context.retry_ms = [
        issuer.grant("m0", str(number), 1, rate, 0.0).retry_at_ms
        for number in range(count)
    ]


@then("none of them is to ask again before a permit is there")
def step_impl(context):
    assert min(context.retry_ms) >= 1000 / context.rate, context.retry_ms


@then("each is to ask again within {seconds:d} s")
def step_impl(context, seconds):
    assert max(context.retry_ms) <= seconds * 1000, context.retry_ms


@given("{count:d} instances before {servers:d} backend servers")
def step_impl(context, count, servers):
    context.size = (count, servers)


def play(context, limit, scenario):
    """Play a scenario, a coroutine function of the fleet, after a calm time."""
    count, servers = context.size

    async def main(loop):
        rate = request_rate(count, servers, limit)
        fleet = LimitFleet(loop, count, servers, rate, SEED)
        fleet.start()
        await asyncio.sleep(SETTLE_S)
        try:
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return run_virtually(main)


@when(
    "{limited:d} of them name a limit of {limit:g} requests a second for {seconds:d} s"
)
def step_impl(context, limited, limit, seconds):
    async def scenario(fleet):
        named_ms = fleet.now_ms()
        servers = fleet.servers(limited)
        for server in servers:
            server.name_limit(limit, named_ms)
        fleet.results.clear()
        await asyncio.sleep(seconds)
        context.rates = [
            server.arrivals_per_s(named_ms + KNOWN_MS, fleet.now_ms())
            for server in servers
        ]
        context.refusals_ms = [ms for is_refused, ms in fleet.results if is_refused]
        context.excesses = [server.worst_excess(limit) for server in servers]

    context.limit = limit
    context.are_all_limited = limited == context.size[1]
    play(context, limit, scenario)


@then("none of these gets more than it allows")
def step_impl(context):
    assert max(context.excesses) <= 0.0, context.excesses


@then("each of these gets at least half of its limit")
def step_impl(context):
    least = LEAST_USED_SHARE * context.limit
    assert min(context.rates) >= least, context.rates


@then(
    "requests are refused only when all backend servers have a limit, "
    "within {limit:d} ms"
)
def step_impl(context, limit):
    assert bool(context.refusals_ms) == context.are_all_limited
    assert max(context.refusals_ms, default=0.0) <= limit


async def disturb(fleet, count, fault):
    await asyncio.sleep(FAULT_AFTER_S)
    names = [] if fault == "join" else fleet.some_names(count)
    if fault == "leave":
        for name in names:
            fleet.leave(name)
        return
    work = {
        "join": lambda: [fleet.join(f"joined-{number}") for number in range(count)],
        "restart": lambda: [fleet.restart(name, RESTART_S) for name in names],
        "freeze": lambda: [fleet.freeze(name, FREEZE_S) for name in names],
        "lose their peers": lambda: [
            fleet.isolate(name, ISOLATION_S) for name in names
        ],
    }
    await asyncio.gather(*work[fault]())


@when(
    "all of them name a limit of {limit:g} requests a second "
    "while {faults:d} instances {fault}"
)
def step_impl(context, limit, faults, fault):
    async def scenario(fleet):
        servers = fleet.servers(context.size[1])
        for server in servers:
            server.name_limit(limit, fleet.now_ms())
        await asyncio.gather(disturb(fleet, faults, fault), asyncio.sleep(LIMIT_S))
        await asyncio.sleep(FAULT_AFTER_S)
        context.excesses = [each.worst_excess(limit, fleet.excused) for each in servers]
        context.all_excesses = [each.worst_excess(limit) for each in servers]

    play(context, limit, scenario)


@then("none of these gets more than it allows, disturbed instances included")
def step_impl(context):
    assert max(context.all_excesses) <= 0.0, context.all_excesses


@when(
    "one names a limit of {first:g}, then {low:g}, then {last:g} requests a second "
    "and then none"
)
def step_impl(context, first, low, last):
    async def scenario(fleet):
        (server,) = fleet.servers(1)
        context.excesses = []
        for limit in (first, low, last):
            server.arrivals.clear()
            server.named_ms = None
            server.name_limit(limit, fleet.now_ms())
            await asyncio.sleep(FOLLOW_S)
            context.excesses.append(server.worst_excess(limit))
        server.name_limit(None, fleet.now_ms())
        await asyncio.sleep(FOLLOW_S)
        from_ms = fleet.now_ms()
        await asyncio.sleep(FOLLOW_S)
        context.rates = [
            each.arrivals_per_s(from_ms, fleet.now_ms())
            for each in fleet.servers(context.size[1])
        ]

    play(context, first, scenario)


@then("it gets no more than each of these allows")
def step_impl(context):
    assert max(context.excesses) <= 0.0, context.excesses


@then("in the end it gets as many requests as the others")
def step_impl(context):
    mean = sum(context.rates) / len(context.rates)
    assert context.rates[0] >= 0.5 * mean, context.rates


def build_exchange(client=None):
    """Return an exchange that has heard of a limit, its clock, and its handlers."""
    handlers = {}
    clock = ManualClock()
    limits = LimitTable()
    members = MemberTable(Member("a", "gateway", "a", "zone-a", 1, LIVE))
    members.merge([Member("b", "gateway", "b", "zone-a", 1, LIVE)], 0.0)
    server = SimpleNamespace(register=handlers.__setitem__)
    cold = ColdStartTable(1.5, 5)
    exchange = PermitExchange(limits, members, client, server, clock, cold)
    for number in range(8):
        limits.observe(f"m{number}", BackendSignals(2.0), 0.0, 1.0)
    return exchange, clock, handlers


class FixedAnswer:
    """A client of peers that returns the same answer to every message."""

    def __init__(self, answer):
        self.answer = answer

    async def ask(self, address, topic, message, timeout_ms):
        return self.answer


json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=5),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=5), children, max_size=3),
    max_leaves=6,
)
answer_fields = st.fixed_dictionaries(
    {}, optional={name: json_values for name in ("count", "wait_ms", "limit", "cold")}
)
request_fields = st.fixed_dictionaries(
    {},
    optional={
        name: json_values for name in ("backend", "instance", "wanted", "limit", "cold")
    },
)


@given("any JSON in place of a {kind} about permits")
def step_impl(context, kind):
    context.check = check_request if kind == "request" else check_answer


def check_request():
    @TRIALS
    @forall(request_fields)
    def check(message):
        async def handle():
            exchange, _, handlers = build_exchange(FixedAnswer({}))
            try:
                answer = await handlers[PERMIT_TOPIC](message)
            except (KeyError, TypeError, ValueError, OverflowError):
                return
            finally:
                await exchange.close()
            assert answer["count"] == 0, answer

        asyncio.run(handle())

    check()


def check_answer():
    @TRIALS
    @forall(answer_fields)
    def check(answer):
        async def ask():
            exchange, _, _ = build_exchange(FixedAnswer(answer))
            granted = [await exchange.acquire(f"m{number}") for number in range(8)]
            await exchange.close()
            return granted

        granted = asyncio.run(ask())
        count = answer.get("count")
        is_count = isinstance(count, (bool, int, float)) and count >= 1
        ended = isinstance(answer.get("limit"), list)
        assert is_count or ended or not any(granted), (answer, granted)

    check()


@then("no permit results from it")
def step_impl(context):
    context.check()
