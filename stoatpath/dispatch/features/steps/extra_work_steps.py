"""Steps for second attempts of requests that begin late."""

import asyncio
import functools
import random
import time
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as forall, strategies as st

from stoatpath.callers.relay_messages import (
    Prompt,
    PromptPart,
    RelayedAnswer,
    RelayedRequest,
)
from stoatpath.clock import Clock
from stoatpath.configuration.routes import STREAMED, Route, RoutedService
from stoatpath.dispatch.attempts import AttemptRunner
from stoatpath.dispatch.event_relays import EventRelay
from stoatpath.dispatch.extra_work import WINDOW_MS, ExtraWorkLimit
from stoatpath.dispatch.hedges import Hedge
from stoatpath.dispatch.messages import Attempt
from stoatpath.dispatch.relay_policies import RelayPolicy
from stoatpath.dispatch.window_budgets import WindowBudget
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.messages import ListedBackend
from stoatpath.outcomes import (
    BROKEN_ANSWER,
    SUPERSEDED,
    UNSURE_ANSWER,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.routing.affinity import AffinityChooser
from stoatpath.stop_times import StopTimes

SERVICE = "assistant"
TARGET_MS = 200.0
SLOTS = 8
EVENTS = 3
EVENT_S = 0.01
LARGER_S = 0.05


def build_request(tokens=100, request_id="r"):
    route = Route(
        "chat",
        "h",
        "/",
        STREAMED,
        8_000.0,
        TARGET_MS,
        0,
        {SERVICE: 1},
        3,
        False,
        True,
        (),
    )
    prompt = Prompt("m", tokens, 10, 10, (PromptPart("p", tokens),))
    now_ms = Clock().now_ms()
    service = RoutedService(SERVICE, {"m": 1.0})
    return RelayedRequest(
        request_id,
        None,
        "",
        service,
        route,
        now_ms,
        now_ms + 8_000.0,
        "",
        "POST",
        "/",
        [],
        b"",
        prompt,
    )


class FakeClock:
    def __init__(self):
        self.time_ms = 0.0

    def now_ms(self):
        return self.time_ms


class FakeStream:
    """The caller's side of a stream."""

    def __init__(self):
        self.has_begun = False
        self.last_event_id = ""
        self.has_gaps = False
        self.ends_unnumbered = False
        self.received = []

    async def begin(self, head):
        self.has_begun = True

    async def write(self, events):
        self.received.append(events)


class FakeSender:
    """Backend servers that answer after a delay, with events that name them.

    Those in `after_first` begin their delay when the first attempt has ended.
    """

    def __init__(self):
        self.delays_s = {}
        self.after_first = set()
        self.first_ended = asyncio.Event()
        self.unsure = set()
        self.cut_counts = {}
        self.cancelled_s = {}

    async def send(self, attempt):
        name = attempt.backend.name
        try:
            return await self._answer(attempt, name)
        except asyncio.CancelledError:
            self.cancelled_s[name] = time.monotonic()
            raise

    async def _answer(self, attempt, name):
        attempt.deadlines = SimpleNamespace(first_byte_ms=None, supersede=lambda: None)
        superseded = asyncio.Event()
        attempt.deadlines.supersede = superseded.set
        if name in self.after_first:
            await self.first_ended.wait()
        try:
            async with asyncio.timeout(self.delays_s.get(name, 0.0)):
                await superseded.wait()
            self.cancelled_s[name] = time.monotonic()
            attempt.request.run_count += 1
            return Failure(SUPERSEDED, "another attempt answers", Outcome.UNKNOWN)
        except TimeoutError:
            pass
        attempt.deadlines.first_byte_ms = Clock().now_ms()
        attempt.request.run_count += 1
        if name in self.unsure:
            self.first_ended.set()
            return Failure(UNSURE_ANSWER, "confidence 10", Outcome.UNKNOWN)
        if not attempt.relay.claim(attempt):
            return Failure(SUPERSEDED, "another attempt answers", Outcome.UNKNOWN)
        await attempt.relay.begin(None)
        if self.cut_counts.get(name):
            self.cut_counts[name] -= 1
            self.delays_s[name] = 0.1
            attempt.relay.release(attempt)
            self.first_ended.set()
            return Failure(BROKEN_ANSWER, "cut", Outcome.UNKNOWN)
        for number in range(1, EVENTS + 1):
            await attempt.relay.write(f"{name} {number}", str(number))
            await asyncio.sleep(EVENT_S)
        attempt.relay.release(attempt)
        return RelayedAnswer(None, None)


class FixedPolicy(RelayPolicy):
    """The rules of gateways with a fixed list of backend servers, the first one first.

    The first attempt is at the first one, which a chooser can't be relied on for.
    """

    __slots__ = ("backends",)

    def candidates(self, request, version, relay):
        return list(self.backends)

    def excluded(self, request):
        return []

    def exclusion_reason(self, request, backend):
        return None

    def check_send(self, request, version):
        return None


def build_backend(name):
    entry = ListedBackend(name, SERVICE, f"{name}:1", "z", "v1", SLOTS, False)
    return DirectoryBackend(entry, 0.0)


class Fleet:
    """Two backend servers, and the attempts of a gateway."""

    def __init__(self, share):
        self.clock = Clock()
        self.sender = FakeSender()
        self.backends = [build_backend("b1"), build_backend("b2")]
        self.limits = {}
        self.chooser = AffinityChooser("z", random.Random(1))
        gate = SimpleNamespace(
            split_withheld=lambda backends, only_permitted: (backends, []),
            limit_per_s=self.limits.get,
            try_acquire=lambda name: True,
            acquire=self._acquire,
            record_send=lambda name: None,
            send_by_ms=lambda name: float("inf"),
            observe_attempt=lambda result: None,
        )
        self.router = SimpleNamespace(
            clock=self.clock,
            retry_budget=WindowBudget(0.9, 10_000, 100, self.clock),
            stop_times=StopTimes(),
            extra_work=ExtraWorkLimit(share, self.clock),
            chooser=self.chooser,
            send_gate=gate,
            sender=self.sender,
            ring=SimpleNamespace(record_decision=lambda *args, **details: None),
        )
        self.router.retry_budget.record_request(SERVICE)
        policy = FixedPolicy(self.router)
        policy.backends = self.backends
        self.attempts = AttemptRunner(self.router, random.Random(1), policy)
        self.policy = policy

    async def _acquire(self, name):
        return True

    async def run(self, request, stream, version, min_confidence):
        for _ in range(20):
            self.policy.record_first_byte(request, version, 20.0)
        # The second backend server is only a candidate once the first one is tried.
        self.policy.backends = self.backends[:1]
        asyncio.get_running_loop().call_later(0.05, self._add_second)
        return await self.attempts.run(request, version, stream, min_confidence)

    def _add_second(self):
        self.policy.backends = self.backends


@given("a limit of {share:g} on extra work")
def step_impl(context, share):
    context.share = share


@when("requests of any size and second attempts come in any order")
def step_impl(context):
    steps = st.lists(
        st.tuples(st.booleans(), st.integers(1, 5_000), st.integers(0, 3_000)),
        max_size=150,
    )

    @forall(steps)
    def check(each_steps):
        clock = FakeClock()
        limit = ExtraWorkLimit(context.share, clock)
        log = []
        for is_extra, tokens, pause_ms in each_steps:
            clock.time_ms += pause_ms
            request = build_request(tokens)
            if not is_extra:
                limit.record_request(request)
                log.append((clock.time_ms, False, tokens + 10))
                continue
            if not limit.try_spend(request):
                continue
            log.append((clock.time_ms, True, tokens + 10))
            since = [each for each in log if each[0] > clock.time_ms - WINDOW_MS]
            # Buckets of 250 ms may keep requests that much longer.
            older = [each for each in log if each[0] > clock.time_ms - WINDOW_MS - 250]
            extras = [size for _, extra, size in since if extra]
            sizes = [size for _, extra, size in older if not extra]
            assert len(extras) <= context.share * len(sizes)
            assert sum(extras) <= context.share * sum(sizes)

    context.check = check


@then("the window before each second attempt holds no more of them than the share")
def step_impl(context):
    context.check()


@given("two backend servers, of which the first one begins after {delay:g} s")
def step_impl(context, delay):
    context.delay_s = delay
    context.changes = []


@given("two backend servers that begin after {delay:d} ms and {more:d} ms after that")
def step_impl(context, delay, more):
    context.delay_s = delay / 1000
    context.changes = [
        lambda fleet: fleet.sender.delays_s.update(b2=more / 1000),
        lambda fleet: fleet.sender.after_first.add("b2"),
    ]


@given("the first one is unsure")
def step_impl(context):
    context.changes.append(lambda fleet: fleet.sender.unsure.add("b1"))


@given("the first one is cut after its head")
def step_impl(context):
    context.changes.append(lambda fleet: fleet.sender.cut_counts.update(b1=1))


@given("two attempts of one stream, of which the {winner} one begins")
def step_impl(context, winner):
    relay = EventRelay(FakeStream())
    context.winner = winner
    context.superseded = []
    context.attempts = {}
    for name in ("first", "second"):
        attempt = Attempt(build_request(), None, name, 1, 0.0, relay)
        supersede = functools.partial(context.superseded.append, name)
        attempt.deadlines = SimpleNamespace(supersede=supersede)
        context.attempts[name] = attempt


@given("the {other} one is found unsure at that moment")
def step_impl(context, other):
    context.other = other


@when("both run")
def step_impl(context):
    async def work():
        is_claimed = asyncio.Event()

        async def run(name):
            if name == context.other:
                await is_claimed.wait()
                return Failure(UNSURE_ANSWER, "confidence 10", Outcome.UNKNOWN)
            await asyncio.sleep(EVENT_S)
            attempt = context.attempts[name]
            if name == "first":
                # The other one ends before it can be cancelled.
                is_claimed.set()
                await asyncio.sleep(0)
            assert attempt.relay.claim(attempt)
            is_claimed.set()
            await asyncio.sleep(EVENT_S)
            return name

        def is_unsure(failure):
            return failure.reason is UNSURE_ANSWER

        first = context.attempts["first"]
        hedge = Hedge(first, lambda: run("second"), is_unsure)
        context.result = await hedge.run(run("first"), 0.0)

    asyncio.run(work())


@then("the answer is that of the {winner} one, which wasn't superseded")
def step_impl(context, winner):
    assert context.result == winner, context.result
    assert winner not in context.superseded


@given("the second one is unsure")
def step_impl(context):
    context.changes.append(lambda fleet: fleet.sender.unsure.add("b2"))


@given("the second one is nearly full")
def step_impl(context):
    def fill(fleet):
        fleet.backends[1].in_flight = SLOTS - 1

    context.changes.append(fill)


@given("the second one names a limit")
def step_impl(context):
    context.changes.append(lambda fleet: fleet.limits.update(b2=5.0))


@given("the retry budget is spent")
def step_impl(context):
    def spend(fleet):
        while fleet.router.retry_budget.try_spend(SERVICE):
            pass

    context.changes.append(spend)


@given("the share is used")
def step_impl(context):
    def spend(fleet):
        while fleet.router.extra_work.try_spend(build_request()):
            pass

    context.changes.append(spend)


@when(
    "a stream is requested with a limit of {share:g} on extra work, "
    "and then a larger model"
)
def step_impl(context, share):
    request_stream(context, share, has_larger=True)


@when("a stream is requested with a limit of {share:g} on extra work")
def step_impl(context, share):
    request_stream(context, share)


def request_stream(context, share, has_larger=False):
    fleet = context.fleet = Fleet(share)
    fleet.sender.delays_s["b1"] = context.delay_s
    version = SimpleNamespace(
        name="m", prompt_work=lambda prompt: 0.0, work_for_tokens=lambda tokens: 0.0
    )
    for _ in range(20):
        fleet.router.extra_work.record_request(build_request())
        fleet.router.retry_budget.record_request(SERVICE)
    for change in context.changes:
        change(fleet)
    context.stream = FakeStream()
    context.request = build_request()

    async def work():
        started_s = time.monotonic()
        needed = 10.0 if fleet.sender.unsure else None
        context.result = await fleet.run(
            context.request, context.stream, version, needed
        )
        if has_larger:
            assert context.result.reason is UNSURE_ANSWER, context.result
            fleet.sender.unsure.clear()
            fleet.sender.delays_s["b1"] = LARGER_S
            fleet.policy.backends = fleet.backends[:1]
            context.result = await fleet.attempts.run(
                context.request, version, context.stream
            )
        context.ended_s = time.monotonic()
        context.took_s = context.ended_s - started_s
        await asyncio.sleep(0.3)
        await fleet.attempts.close()

    asyncio.run(work())


@then("its events come from the {which} one, each once")
def step_impl(context, which):
    name = {"first": "b1", "second": "b2"}[which]
    assert not is_failure(context.result), context.result.detail
    expected = [f"{name} {number}" for number in range(1, EVENTS + 1)]
    assert context.stream.received == expected, context.stream.received


@then("the events are those of the larger model, each once")
def step_impl(context):
    assert not is_failure(context.result), context.result
    expected = [f"b1 {number}" for number in range(1, EVENTS + 1)]
    assert context.stream.received == expected, context.stream.received


@then("the attempt at the first one was cancelled within {limit:d} ms")
def step_impl(context, limit):
    cancelled_s = context.fleet.sender.cancelled_s["b1"]
    assert cancelled_s - context.ended_s <= limit / 1000


@then("the request counts as run twice")
def step_impl(context):
    assert context.request.run_count == 2, context.request.run_count


@then('the stage ends as "{reason}" within {seconds:g} s')
def step_impl(context, reason, seconds):
    assert is_failure(context.result)
    assert context.result.reason.name == reason, context.result.reason
    assert context.took_s <= seconds, context.took_s


@then('"{reason}" was counted')
def step_impl(context, reason):
    counts = context.fleet.router.extra_work.refused_by_reason
    assert counts[reason] == 1, counts
