"""Steps for rate limits that instances share."""

import asyncio
import random

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.admission.exchanges import RateExchange
from stoatpath.admission.rates import BURST_S, LOAN_DURATION_MS, RateLimits
from stoatpath.clock import ManualClock
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.outcomes import CONNECT_FAILED, RATE_LIMITED, Failure

PROFILE = settings(derandomize=True, database=None, deadline=None, max_examples=120)
TICK_MS = 10
EXCHANGE_EVERY_TICKS = 10


class Organisation:
    """The attributes of an organisation that rate limits use."""

    def __init__(self, rate_per_s):
        self.name = "reef-villages"
        self.rate_per_s = rate_per_s


def make_instances(count):
    """Return the rate limits of instances that count one another."""
    names = [f"router-{index}" for index in range(count)]
    instances = [RateLimits() for _ in names]
    for limits in instances:
        limits.instance_count.update(names, [], 0.0)
    return instances


def transfer_loans(borrower, lender, requested_ms, now_ms, is_lost=False):
    """Lend one instance what it lacks from another; the reply may be lost."""
    for name, shortfall_per_s in borrower.pop_shortfalls(now_ms).items():
        limit = borrower.limit_per_s(name)
        per_s = lender.lend(name, limit, shortfall_per_s, now_ms)
        if per_s and not is_lost:
            borrower.add_borrowed(name, per_s, requested_ms, now_ms)


def send_traffic(context, rates_by_index, seconds, count_from_ms=0):
    """Send evenly spaced requests; return how many each instance admitted."""
    admitted = [0] * len(context.instances)
    due_requests = [0.0] * len(context.instances)
    for tick in range(int(seconds * 1000 / TICK_MS)):
        context.now_ms += TICK_MS
        for index, rate in rates_by_index.items():
            due_requests[index] += rate * TICK_MS / 1000
            while due_requests[index] >= 1.0:
                due_requests[index] -= 1.0
                limits = context.instances[index]
                refusal = limits.acquire_token(context.organisation, context.now_ms)
                if refusal is None and tick * TICK_MS >= count_from_ms:
                    admitted[index] += 1
        if tick % EXCHANGE_EVERY_TICKS == 0:
            exchange_loans(context)
    return admitted


def exchange_loans(context):
    """Have each instance borrow what it lacks from the others in equal parts."""
    now_ms = context.now_ms
    for borrower in context.instances:
        lenders = [each for each in context.instances if each is not borrower]
        for name, shortfall_per_s in borrower.pop_shortfalls(now_ms).items():
            for lender in lenders:
                limit = borrower.limit_per_s(name)
                per_s = lender.lend(name, limit, shortfall_per_s / len(lenders), now_ms)
                borrower.add_borrowed(name, per_s, now_ms, now_ms)


OPERATION = st.tuples(
    st.sampled_from(["take", "burst", "lend", "lose", "delay", "wait", "long wait"]),
    st.integers(0, 3),
    st.integers(0, 3),
)


@then(
    "any loans and message losses admit at most the limit, its burst and one "
    "request per instance"
)
def step_impl(context):
    @PROFILE
    @forall(st.integers(1, 4), st.integers(1, 40), st.lists(OPERATION, max_size=120))
    def check(count, rate, operations):
        instances = make_instances(count)
        organisation = Organisation(rate)
        now_ms = 0.0
        admitted = 0
        for kind, first_index, second_index in operations:
            borrower = instances[first_index % count]
            lender = instances[second_index % count]
            if kind in ("take", "burst"):
                for _ in range(1 if kind == "take" else 30):
                    admitted += borrower.acquire_token(organisation, now_ms) is None
            elif kind in ("lend", "lose") and lender is not borrower:
                transfer_loans(borrower, lender, now_ms, now_ms, kind == "lose")
            elif kind == "delay" and lender is not borrower:
                requested_ms = now_ms
                now_ms += 900.0
                transfer_loans(borrower, lender, requested_ms, now_ms)
            elif kind in ("wait", "long wait"):
                now_ms += 37.0 if kind == "wait" else LOAN_DURATION_MS / 2 + 11.0
            total_per_s = sum(
                each.rate_per_s(organisation.name, now_ms) for each in instances
            )
            assert total_per_s <= rate * (1 + 1e-9), (total_per_s, rate)
        bound = rate * now_ms / 1000 + rate * BURST_S + count
        assert admitted <= bound + 1e-6, (admitted, bound)

    check()


@given("{count:d} instances that share a limit of {rate:d} a second")
def step_impl(context, count, rate):
    context.instances = make_instances(count)
    context.organisation = Organisation(rate)
    context.now_ms = 0.0


@when("one of them is sent {rate:d} requests a second for {seconds:d} seconds")
def step_impl(context, rate, seconds):
    context.sent = rate * seconds
    context.admitted = send_traffic(context, {0: rate}, seconds)


@then("it admits at least {share:g} of them")
def step_impl(context, share):
    assert context.admitted[0] >= share * context.sent, context.admitted


@when(
    "one borrows all it can, and later both are sent {rate:d} a second for "
    "{seconds:d} seconds"
)
def step_impl(context, rate, seconds):
    send_traffic(context, {0: 95}, 10)
    borrowed = context.instances[0].rate_per_s("reef-villages", context.now_ms)
    assert borrowed > 80, borrowed
    context.admitted = send_traffic(context, {0: rate, 1: rate}, seconds, 10_000)


@then("both admit at least {share:g} of half the limit in the last {seconds:d} seconds")
def step_impl(context, share, seconds):
    half = context.organisation.rate_per_s / 2 * seconds
    assert min(context.admitted) >= share * half, context.admitted


@when("all of them are sent {rate:d} requests a second for {seconds:d} seconds")
def step_impl(context, rate, seconds):
    context.sent = rate * seconds
    rates_by_index = dict.fromkeys(range(len(context.instances)), rate)
    context.admitted = send_traffic(context, rates_by_index, seconds)


@then("each admits at least {share:g} of them")
def step_impl(context, share):
    assert min(context.admitted) >= share * context.sent, context.admitted


@given("{count:d} instances of which one {event}")
def step_impl(context, count, event):
    names = [f"router-{index}" for index in range(count)]
    context.limits = RateLimits()
    context.limits.instance_count.update(names, [], 0.0)
    context.membership = {
        "joins": ([*names, "router-new"], []),
        "leaves": (names[1:], names[:1]),
        "left and ended": (names[1:], []),
        "disappears": (names[1:], []),
    }[event]
    if event == "left and ended":
        context.limits.instance_count.update(names[1:], names[:1], 0.0)


@then("the limit is divided by {divisor:d} after {seconds:d} seconds")
def step_impl(context, divisor, seconds):
    live, leaving = context.membership
    context.limits.instance_count.update(live, leaving, seconds * 1000.0)
    assert context.limits.instance_count.divisor() == divisor


@given("an instance with a limit of {rate:d} a second that is used up")
def step_impl(context, rate):
    (context.limits,) = make_instances(1)
    context.organisation = Organisation(rate)
    while (refusal := context.limits.acquire_token(context.organisation, 0.0)) is None:
        pass
    context.refusal = refusal


@then("a request is refused just before the retry time, and admitted after it")
def step_impl(context):
    assert context.refusal.reason is RATE_LIMITED
    retry_at_ms = context.refusal.retry_at_ms
    assert 0 < retry_at_ms <= 500
    assert (
        context.limits.acquire_token(context.organisation, retry_at_ms - 1) is not None
    )
    assert (
        context.limits.acquire_token(context.organisation, retry_at_ms + 0.01) is None
    )


class _Link:
    """Carries loan requests between exchanges; loses every second reply."""

    def __init__(self):
        self.handlers_by_address = {}
        self.request_count = 0

    async def ask(self, address, topic, message, timeout_ms=1_000):
        answer = await self.handlers_by_address[address](message)
        self.request_count += 1
        if self.request_count % 2:
            return Failure(CONNECT_FAILED, "lost")
        return answer


class _PeerServer:
    def __init__(self, link, address):
        self._link = link
        self._address = address

    def register(self, topic, handler):
        self._link.handlers_by_address[self._address] = handler


class _Node:
    """The attributes of a node that an exchange uses."""

    def __init__(self, name, link, clock):
        self.members = MemberTable(Member(name, "router", name, "zone-a", 1, LIVE))
        self.peer_client = link
        self.peer_server = _PeerServer(link, name)
        self.clock = clock


@given("two routers' exchanges connected by a link that loses every second reply")
def step_impl(context):
    context.clock = ManualClock()
    link = _Link()
    nodes = [_Node(name, link, context.clock) for name in ("router-1", "router-2")]
    nodes[0].members.merge([nodes[1].members.local], 0.0)
    nodes[1].members.merge([nodes[0].members.local], 0.0)
    context.instances = [RateLimits(), RateLimits()]
    context.exchanges = [
        RateExchange(limits, node, random.Random(1))
        for limits, node in zip(context.instances, nodes)
    ]
    for exchange in context.exchanges:
        exchange.count_instances()


@when("one router is sent all of a limit of {rate:d} a second for {seconds:d} seconds")
def step_impl(context, rate, seconds):
    context.organisation = Organisation(rate)
    context.seconds = seconds
    context.admitted = 0

    async def run():
        for tick in range(seconds * 100):
            context.clock.advance_by(TICK_MS)
            for _ in range(2):
                refusal = context.instances[0].acquire_token(
                    context.organisation, context.clock.now_ms()
                )
                context.admitted += refusal is None
            if tick % EXCHANGE_EVERY_TICKS == 0:
                await context.exchanges[0].request_loans()

    asyncio.run(run())


@then("at most the limit is admitted, and the loans were used")
def step_impl(context):
    rate = context.organisation.rate_per_s
    bound = rate * context.seconds + rate * BURST_S + 2
    assert context.admitted <= bound, (context.admitted, bound)
    assert context.admitted >= 0.65 * rate * context.seconds, context.admitted
