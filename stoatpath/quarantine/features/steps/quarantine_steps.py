"""Steps on prompt parts that end backend servers, with instances in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.clock import ManualClock
from stoatpath.dispatch.messages import AttemptResult
from stoatpath.measure.quarantine_models import ModelRequest, QuarantineFleet
from stoatpath.measure.virtual_loops import VirtualClock, run_virtually
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.outcomes import BROKEN_ANSWER, Outcome
from stoatpath.quarantine.exchanges import (
    DECISION_TOPIC,
    HISTORY_TOPIC,
    REPORT_TOPIC,
    QuarantineExchange,
)
from stoatpath.quarantine.messages import (
    LostAttempt,
    Quarantine,
    is_whole_request,
    whole_request_name,
)
from stoatpath.quarantine.quarantines import QuarantineTable
from stoatpath.quarantine.reporters import CrashReporter
from stoatpath.quarantine.suspicions import SuspicionTable

TRIALS = settings(derandomize=True, deadline=None)
SEED = 1
SETTLE_S = 4.0
DRAIN_S = 5.0
FAULT_AFTER_S = 1.0
RUN_MS = 20.0
CRASHES_BY_ORDINAL = {"third": 3, "fifth": 5}


@given("attempts with their request, backend server, time, stage and parts: {attempts}")
def step_impl(context, attempts):
    context.suspicion_table = SuspicionTable()
    context.now_ms = 0.0
    lost = []
    for text in attempts.split(";"):
        request, backend, lost_ms, stage, parts = text.split()
        context.now_ms = float(lost_ms)
        lost.append(
            LostAttempt(
                backend,
                request,
                () if parts == "-" else tuple(parts.split(",")),
                whole_request_name(request),
                stage == "begun",
                context.now_ms - RUN_MS,
                context.now_ms,
            )
        )
    context.suspicion_table.record_lost(lost)


@given("parts that were answered at these times: {answered}")
def step_impl(context, answered):
    for text in answered.split(";") if answered != "none" else ():
        part, answered_ms = text.split()
        context.suspicion_table.record_answered(part, float(answered_ms))


@when("part {part} is dismissed")
def step_impl(context, part):
    context.suspicion_table.dismiss(part)


def check_suspected(context, known, suspected):
    expected = [] if suspected == "none" else suspected.split(",")
    parts = [name for name in find(context, known) if not is_whole_request(name)]
    assert parts == expected, parts


def find(context, known=()):
    """Return the names under suspicion, of parts and of whole requests."""
    table = context.suspicion_table
    return [each.part for each in table.find(context.now_ms, known.__contains__)]


@then("the parts under suspicion are {suspected}")
def step_impl(context, suspected):
    check_suspected(context, (), suspected)


@when("request {request} is dismissed")
def step_impl(context, request):
    context.suspicion_table.dismiss(whole_request_name(request))


@then("the requests under suspicion are {suspected}")
def step_impl(context, suspected):
    expected = [] if suspected == "none" else suspected.split(",")
    names = [name for name in find(context) if is_whole_request(name)]
    assert names == [whole_request_name(each) for each in expected], names


@then("with {known} known from before, the parts under suspicion are {suspected}")
def step_impl(context, known, suspected):
    check_suspected(context, (known,), suspected)


@given("a backend server that {state}, and others that {others}")
def step_impl(context, state, others):
    context.accepting = {"s1": state == "accepts", "s2": others == "accept"}
    context.accepting["s3"] = others != "accept nothing"
    _, _, down_ms = state.partition(" nothing for ")
    context.back_s = float(down_ms.removesuffix(" ms") or "inf") / 1000
    context.services_by_name = {"s1": "desk", "s2": "desk", "s3": "assist"}


@when("a request with the parts {parts} loses its connection there {stage}")
def step_impl(context, parts, stage):
    events = 1 if stage.startswith("after") else 0
    request = SimpleNamespace(
        request_id="r1",
        shared_part_names=tuple(parts.split(",")),
        content="c1",
        crashes=0,
        service=SimpleNamespace(name="desk"),
    )
    result = AttemptResult(
        "s1",
        "m",
        BROKEN_ANSWER,
        Outcome.UNKNOWN,
        0.0,
        1.0,
        2.0,
        events=events,
        request=request,
    )
    backends = [
        SimpleNamespace(name=name, address=name, service=service)
        for name, service in context.services_by_name.items()
    ]
    directory = SimpleNamespace(by_name={each.name: each for each in backends})
    context.reports = []

    async def is_reachable(address):
        is_back = asyncio.get_running_loop().time() >= context.back_s
        return context.accepting[address] or (address == "s1" and is_back)

    async def report(service, attempts):
        context.reports.append((service, [each.request_id for each in attempts]))

    async def main(loop):
        reporter = CrashReporter(
            directory, is_reachable, report, VirtualClock(loop), random.Random(SEED)
        )
        reporter.observe(result)
        await asyncio.sleep(1)

    run_virtually(main)


@then("a lost attempt {reported}")
def step_impl(context, reported):
    expected = [("desk", ["r1"])] if reported == "is reported" else []
    assert context.reports == expected, context.reports


@given(
    "{count:d} instances before {servers:d} backend servers, "
    "{rate:d} requests a second"
)
def step_impl(context, count, servers, rate):
    context.size = count, servers, rate


@given("backend servers that come back under their names")
def step_impl(context):
    context.keeps_names = True


def play(context, scenario, is_plain=False):
    """Run a scenario against a fleet that has run for some time without trouble."""

    async def main(loop):
        fleet = QuarantineFleet(loop, *context.size, SEED)
        fleet.is_plain = is_plain
        fleet.keeps_names = getattr(context, "keeps_names", False)
        context.fleet = fleet
        fleet.start()
        await asyncio.sleep(SETTLE_S)
        try:
            await scenario(fleet)
            await asyncio.sleep(DRAIN_S)
            context.innocent_parts = fleet.innocent_parts()
        finally:
            await fleet.stop()

    run_virtually(main)


@when("1 in {ratio:d} requests has a poison part for {seconds:d} s")
def step_impl(context, ratio, seconds):
    async def scenario(fleet):
        fleet.poison_ratio = 1 / ratio
        await asyncio.sleep(seconds)
        fleet.poison_ratio = 0.0

    play(context, scenario)


@when(
    "1 in {ratio:d} requests has a poison part for {seconds:d} s, "
    "while {faults:d} instances {fault}"
)
def step_impl(context, ratio, seconds, faults, fault):
    async def scenario(fleet):
        fleet.poison_ratio = 1 / ratio
        await asyncio.sleep(FAULT_AFTER_S)
        await asyncio.gather(fleet.disturb(faults, fault), asyncio.sleep(seconds))
        fleet.poison_ratio = 0.0

    play(context, scenario)


@when(
    "1 in {ratio:d} requests has a poison part for {seconds:d} s, "
    "and then it is harmless again"
)
def step_impl(context, ratio, seconds):
    async def scenario(fleet):
        fleet.poison_ratio = 1 / ratio
        await asyncio.sleep(seconds)
        fleet.is_poison = False
        fleet.served_ms.clear()
        context.sound_from_ms = fleet.now_ms()
        await asyncio.sleep(100)

    play(context, scenario)


@then("within {seconds:d} s requests with the part are served")
def step_impl(context, seconds):
    served_ms = context.fleet.served_ms
    assert served_ms and served_ms[0] <= context.sound_from_ms + 1000 * seconds
    quiet_ms = [after - before for before, after in zip(served_ms, served_ms[1:])]
    assert max(quiet_ms) < 15_000, max(quiet_ms)


@when(
    "one {kind} request that ends backend servers comes {rate:d} times a second "
    "for {seconds:d} s"
)
def step_impl(context, kind, rate, seconds):
    play_request(context, kind, rate, seconds, lambda fleet: asyncio.sleep(0))


@when(
    "one {kind} request that ends backend servers comes {rate:d} times a second "
    "for {seconds:d} s, while {faults:d} instances {fault}"
)
def step_impl(context, kind, rate, seconds, faults, fault):
    async def disturb(fleet):
        await asyncio.sleep(FAULT_AFTER_S)
        await fleet.disturb(faults, fault)

    play_request(context, kind, rate, seconds, disturb)


def play_request(context, kind, rate, seconds, disturb):
    """Let a request that ends backend servers come again beside a disturbance."""

    async def scenario(fleet):
        await asyncio.gather(disturb(fleet), fleet.repeat_request(rate, seconds))

    play(context, scenario, is_plain=kind == "plain")


@when("a tenth of the backend servers end together every {pause:d} s for {seconds:d} s")
def step_impl(context, pause, seconds):
    async def scenario(fleet):
        for _ in range(seconds // pause):
            await fleet.crash_some(len(fleet.backends) // 10)
            await asyncio.sleep(pause)

    play(context, scenario)


@then(
    "at most {count:d} of these reach backend servers "
    "later than {seconds:d} s after the {nth} crash"
)
def step_impl(context, count, seconds, nth):
    fleet = context.fleet
    context.crashes = CRASHES_BY_ORDINAL[nth]
    assert fleet.crashes_ms
    from_ms = fleet.crashes_ms[: context.crashes][-1] + 1000 * seconds
    late = [at_ms for at_ms in fleet.poison_ms if at_ms > from_ms]
    assert len(late) <= count, (len(late), len(fleet.crashes_ms))


@then(
    "from {seconds:d} s after it at least {least:d} in {total:d} "
    "of the other requests are served at once"
)
def step_impl(context, seconds, least, total):
    crashes_ms = context.fleet.crashes_ms
    from_ms = crashes_ms[: context.crashes][-1] + 1000 * seconds
    later = [is_served for at_ms, is_served in context.fleet.results if at_ms > from_ms]
    assert sum(later) * total >= least * len(later), (sum(later), len(later))


@then("no part of the other requests is in quarantine at the end")
def step_impl(context):
    assert not context.innocent_parts, context.innocent_parts


@then("at most {count:d} backend servers end")
def step_impl(context, count):
    assert len(context.fleet.crashes_ms) <= count, len(context.fleet.crashes_ms)


@given(
    "a lost attempt with the parts {parts} "
    "as an instance of an older release reports it"
)
def step_impl(context, parts):
    data = {
        "backend": "s1",
        "request": "r1",
        "parts": parts.split(","),
        "begun": True,
        "age_ms": 5.0,
    }
    context.attempt = LostAttempt.from_json(data, 1_000.0)


@then("it counts for the parts {parts} and for no whole request")
def step_impl(context, parts):
    assert context.attempt.names == tuple(parts.split(","))
    assert context.attempt.started_ms == context.attempt.lost_ms == 995.0


json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=5),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=5), children, max_size=3),
    max_leaves=6,
)
TOPICS = {
    "report": (REPORT_TOPIC, ("service", "attempts")),
    "question": (HISTORY_TOPIC, ("service", "parts")),
    "decision": (DECISION_TOPIC, ("service", "part", "version", "left_ms", "lifted")),
}


@given("any JSON in place of a {kind} about parts")
def step_impl(context, kind):
    topic, fields = TOPICS[kind]

    @TRIALS
    @forall(st.fixed_dictionaries({}, optional={name: json_values for name in fields}))
    def check(message):
        async def handle():
            handlers = {}
            clock = ManualClock()
            table = QuarantineTable(clock)
            exchange = QuarantineExchange(
                table,
                MemberTable(Member("a", "gateway", "a", "zone-a", 1, LIVE)),
                None,
                SimpleNamespace(register=handlers.__setitem__),
                clock,
                random.Random(SEED),
            )
            try:
                await handlers[topic](message)
            except (AttributeError, KeyError, TypeError, ValueError):
                pass
            await exchange.close()
            assert not table.count_in_force(), message

        asyncio.run(handle())

    context.check = check


@then("no part is in quarantine after it")
def step_impl(context):
    context.check()


@given("a part whose quarantine has ended")
def step_impl(context):
    clock = ManualClock()
    context.quarantine_table = QuarantineTable(clock)
    context.quarantine_table.merge(Quarantine("desk", "a", 1, clock.now_ms()))


@when("{count:d} requests with the part and one identifier are checked, each twice")
def step_impl(context, count):
    requests = [
        ModelRequest(
            request_id="same",
            service=SimpleNamespace(name="desk"),
            quarantine_names=("a",),
            lost_runs=0,
        )
        for _ in range(count)
    ]
    context.may_be_sent = [
        context.quarantine_table.check(request) is None
        for request in requests + requests
    ]


@then("only the first one of them may be sent")
def step_impl(context):
    half = len(context.may_be_sent) // 2
    assert context.may_be_sent == 2 * ([True] + [False] * (half - 1))
