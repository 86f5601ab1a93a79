"""Steps for loads that are summed over all instances."""

import base64
import random

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.dispatch.messages import AttemptResult
from stoatpath.membership.directories import DirectoryBackend
from stoatpath.membership.messages import ListedBackend
from stoatpath.routing.fleet_loads import FleetLoads
from stoatpath.routing.load_sums import (
    MAX_SERVERS,
    ServerLoad,
    decode_loads,
    encode_loads,
    server_id,
)
from stoatpath.routing.speeds import ServerSpeeds, speed_of
from stoatpath.utils import decode_json, encode_json

ROUND_MS = 500.0
SLOTS = 32
FANOUT = 3
TRIALS = settings(max_examples=150, deadline=None, database=None)


def build_backend(name, slots=SLOTS):
    entry = ListedBackend(name, "desk-assist", "", "zone-a", "v1", slots, False)
    return DirectoryBackend(entry, 0.0)


class Directory:
    """Backend servers by name, as `BackendDirectory` has them."""

    def __init__(self, names):
        self.by_name = {name: build_backend(name) for name in names}


class Instance:
    """One instance, which follows `source`, or none if it is the first."""

    def __init__(self, name, source, names=("s0",)):
        self.name = name
        self.source = source
        self.directory = Directory(names)
        self.speeds = ServerSpeeds()
        self.loads = FleetLoads(name, self.directory, self.speeds)
        self.loads.is_first = source is None

    def ask(self, now_ms):
        """Exchange one request for tables and its answer with the source."""
        report = wire(self.loads.build_report(now_ms))
        self.source.loads.receive_report(report, now_ms + 1)
        answer = wire(self.source.loads.build_answer(report, now_ms + 2))
        self.loads.receive_answer(answer, now_ms + 3)

    def in_flight(self, now_ms, name="s0"):
        """Return the requests in flight that this instance counts."""
        assert self.loads.has_sums(now_ms)
        return self.loads.load(self.directory.by_name[name])[0]


class Fleet:
    """Instances that follow each other in a tree, and the time."""

    def __init__(self, count, names=("s0",)):
        self.now_ms = 1_000.0
        self.instances = []
        for number in range(count):
            source = self.instances[(number - 1) // FANOUT] if number else None
            self.instances.append(Instance(f"i{number}", source, names))

    def run(self, rounds):
        """Let every instance ask its source, once in each round."""
        for _ in range(rounds):
            self.now_ms += ROUND_MS
            for instance in self.instances[1:]:
                instance.ask(self.now_ms)


def wire(message):
    return decode_json(encode_json(message))


@given("{count:d} instances that follow each other, of which each has 2 requests at s0")
def step_impl(context, count):
    context.tree = Fleet(count)
    for instance in context.tree.instances:
        instance.directory.by_name["s0"].in_flight = 2


@when("they exchange tables for {rounds:d} rounds")
def step_impl(context, rounds):
    context.tree.run(rounds)


@when("each of them ends its requests at s0")
def step_impl(context):
    for instance in context.tree.instances:
        instance.directory.by_name["s0"].in_flight = 0


@then("every instance counts {expected:d} requests at s0")
@then("every remaining instance counts {expected:d} requests at s0")
def step_impl(context, expected):
    instances = context.tree.instances
    counts = [each.in_flight(context.tree.now_ms + 10) for each in instances]
    assert counts == [expected] * len(counts), counts


@then("the first instance counts {expected:d} requests at s0")
def step_impl(context, expected):
    counted = context.tree.instances[0].in_flight(context.tree.now_ms)
    assert counted == expected, counted


@when("a report of one request at s0 overtakes one of 9")
def step_impl(context):
    first, second = context.tree.instances
    second.directory.by_name["s0"].in_flight = 9
    late = wire(second.loads.build_report(1_000.0))
    second.directory.by_name["s0"].in_flight = 1
    early = wire(second.loads.build_report(2_000.0))
    context.tree.now_ms = 2_010.0
    first.loads.receive_report(early, 2_001.0)
    first.loads.receive_report(late, 2_002.0)


@when("{elapsed:d} ms pass without messages")
def step_impl(context, elapsed):
    context.tree.now_ms += elapsed


@then("no instance has sums")
@then("that one has no sums")
def step_impl(context):
    now_ms = context.tree.now_ms
    for instance in context.tree.instances[1:] or context.tree.instances:
        assert not instance.loads.has_sums(now_ms)


@when("the last instance leaves and the others exchange tables for {rounds:d} rounds")
def step_impl(context, rounds):
    context.tree.instances.pop()
    context.tree.run(rounds)


@when("the source of one is of an older build")
def step_impl(context):
    for _ in range(3):
        context.tree.now_ms += ROUND_MS
        context.tree.instances[1].loads.build_report(context.tree.now_ms)
        context.tree.instances[1].loads.receive_answer(None, context.tree.now_ms)


@then("after any exchanges no load is negative, and the own part counts once at most")
def step_impl(context):
    kinds = ["report", "deliver", "answer", "take", "load", "restart", "wait", "move"]
    events = st.lists(
        st.tuples(
            st.sampled_from(kinds), st.integers(0, 5), st.integers(0, 40), st.integers()
        ),
        max_size=120,
    )

    @TRIALS
    @forall(events)
    def check(events):
        fleet = Fleet(6)
        reports, answers = [], []
        for kind, number, value, pick in events:
            instance = fleet.instances[number]
            backend = instance.directory.by_name["s0"]
            fleet.now_ms += 50.0
            if kind == "load":
                backend.in_flight = value
                backend.pending_prompt_work = value * 1_000.0
            elif kind == "wait":
                fleet.now_ms += value * 100.0
            elif kind == "restart":
                replaced = Instance(instance.name, instance.source)
                instance.loads, instance.directory = replaced.loads, replaced.directory
            elif kind == "move" and number > 1:
                instance.source = fleet.instances[value % number]
            elif kind == "report" and number:
                report = wire(instance.loads.build_report(fleet.now_ms))
                reports.append((instance.source, report))
            elif kind == "deliver" and reports:
                source, report = reports[pick % len(reports)]
                source.loads.receive_report(report, fleet.now_ms)
            elif kind == "answer" and number:
                request = {"from": instance.name}
                answer = instance.source.loads.build_answer(request, fleet.now_ms)
                answers.append((instance, wire(answer)))
            elif kind == "take" and answers:
                receiver, answer = answers[pick % len(answers)]
                receiver.loads.receive_answer(answer, fleet.now_ms)
            for each in fleet.instances:
                each.loads.has_sums(fleet.now_ms)
                own = each.directory.by_name["s0"]
                in_flight, work = each.loads.load(own)
                assert in_flight >= own.in_flight
                assert work >= own.pending_prompt_work

    check()
    _check_own_part_once()


def _check_own_part_once():
    """Only the load of the others changes what an instance adds to its own."""
    rng = random.Random(5)
    fleet = Fleet(12)
    for _ in range(400):
        fleet.now_ms += 100.0
        instance = rng.choice(fleet.instances[1:])
        instance.ask(fleet.now_ms)
        rng.choice(fleet.instances).directory.by_name["s0"].in_flight = rng.randrange(9)
        only = fleet.instances[7].directory.by_name["s0"]
        for each in fleet.instances:
            if each.directory.by_name["s0"] is not only:
                each.directory.by_name["s0"].in_flight = 0
        if fleet.instances[7].loads.has_sums(fleet.now_ms) and _ > 100:
            counted = fleet.instances[7].loads.load(only)[0]
            assert counted == only.in_flight, (counted, only.in_flight)


@when("a report and an answer with {fault} arrive")
def step_impl(context, fault):
    first, second = context.tree.instances
    now_ms = context.tree.now_ms
    report = second.loads.build_report(now_ms + 400)
    answer = {"counted": 1, "count": 2, "age_ms": 5, "sums": report["sums"]}
    many = {number: ServerLoad(1) for number in range(MAX_SERVERS + 1)}
    field, value = {
        "sums of 257 servers": ("sums", encode_loads(many)),
        "sums that are not base64": ("sums", "?"),
        "sums that end in an entry": ("sums", base64.b64encode(b"12345").decode()),
        "sums that are a number": ("sums", 7),
        "an age that is a text": ("age_ms", "old"),
        "an age that is negative": ("age_ms", -1),
        "a count that is a fraction": ("count", 0.5),
        "a number that is true": ("number", True),
    }.get(fault, (None, None))
    for message in (report, answer):
        if field is None:
            continue
        message["counted" if field == "number" and message is answer else field] = value
    if fault == "a list for an object":
        report, answer = [report], [answer]
    if fault == "no fields":
        report = answer = {}
    first.loads.receive_report(report, now_ms + 5)
    second.loads.receive_answer(answer, now_ms + 5)


@then("both messages are counted as malformed")
def step_impl(context):
    assert [each.loads.rejected for each in context.tree.instances] == [1, 1]


@given(
    "an instance with {followers:d} followers, and requests at {count:d} "
    "backend servers"
)
def step_impl(context, followers, count):
    context.tree = tree = Fleet(1 + followers, [f"s{each}" for each in range(count)])
    rng = random.Random(3)
    for instance in tree.instances:
        instance.source = tree.instances[0] if instance.source else None
        for backend in instance.directory.by_name.values():
            backend.in_flight = rng.randrange(6)


@then("its messages carry at most {most:d} bytes of sums a second")
def step_impl(context, most):
    tree = context.tree
    tree.run(4)
    first = tree.instances[0]
    first.loads.is_first = False
    sent = 0
    for _ in range(20):
        tree.now_ms += ROUND_MS
        sent += len(encode_json(first.loads.build_report(tree.now_ms)))
        for instance in tree.instances[1:]:
            report = wire(instance.loads.build_report(tree.now_ms))
            first.loads.receive_report(report, tree.now_ms)
            first.loads.is_first = True
            answer = first.loads.build_answer(report, tree.now_ms)
            sent += len(encode_json(answer))
    assert 0 < sent / 10 <= most, sent / 10


@then("a report carries the {count:d} with the most requests")
def step_impl(context, count):
    instance = context.tree.instances[1]
    report = instance.loads.build_report(context.tree.now_ms + 5_000)
    loads_by_id = decode_loads(report["sums"])
    backends = instance.directory.by_name.values()
    least_told = min(each.in_flight for each in loads_by_id.values())
    assert len(loads_by_id) == count
    left_out = [each for each in backends if server_id(each.name) not in loads_by_id]
    assert max(each.in_flight for each in left_out) <= least_told


@given("{count:d} instances that send streams to servers of speeds {speeds}")
def step_impl(context, count, speeds):
    speeds = [float(each) for each in speeds.replace(" and ", ", ").split(", ")]
    context.speeds_by_name = {
        f"s{number}": speeds[number % len(speeds)] for number in range(9)
    }
    context.tree = Fleet(count, list(context.speeds_by_name))


def end_stream(context, instance, name, ended_ms, duration_ms, speed):
    result = AttemptResult(
        name, "small", None, None, 0.0, ended_ms - duration_ms, ended_ms, "chat", 101
    )
    result.ended_ms = ended_ms
    result.first_byte_ms = ended_ms - duration_ms / speed
    instance.speeds.observe(result, 8, SLOTS)


@when("each has seen {count:d} streams and they exchange tables")
def step_impl(context, count):
    rng = random.Random(11)
    tree = context.tree
    tree.run(3)
    names = list(context.speeds_by_name)
    for _ in range(count):
        for instance in tree.instances:
            name = rng.choice(names)
            slowness = 2.5 if rng.random() < 0.15 else 1.0
            speed = context.speeds_by_name[name] / slowness
            end_stream(context, instance, name, tree.now_ms, 1_500.0, speed)
    tree.run(5)


@then("every instance knows the speeds to within a quarter")
def step_impl(context):
    # Speeds are relative to what the instances found on average.
    for instance in context.tree.instances:
        assert instance.loads.has_sums(context.tree.now_ms + 10)
        known = {
            name: instance.loads.speed(backend)
            for name, backend in instance.directory.by_name.items()
        }
        ratio = sum(known.values()) / sum(context.speeds_by_name.values())
        for name, speed in context.speeds_by_name.items():
            assert 0.75 * speed < known[name] / ratio < 1.25 * speed, known


@when("the first server is 2.5 times slower for 600 ms")
def step_impl(context):
    tree = context.tree
    tree.run(3)
    for moment in range(20):
        tree.now_ms += 600.0
        for number, instance in enumerate(tree.instances):
            name = f"s{(number + moment) % 9}"
            is_slow = moment == 19 and name == "s0"
            end_stream(
                context, instance, name, tree.now_ms, 600.0, 0.4 if is_slow else 1.0
            )
    tree.run(4)


@then("every instance takes its speed for at least {least:f}")
def step_impl(context, least):
    for instance in context.tree.instances:
        assert instance.loads.has_sums(context.tree.now_ms + 10)
        speed = instance.loads.speed(instance.directory.by_name["s0"])
        assert speed >= least, speed


@when("one stream of 100 ms has ended")
def step_impl(context):
    instance = context.tree.instances[0]
    end_stream(context, instance, "s0", 900.0, 100.0, 0.25)
    context.times = instance.speeds.times(1_000.0)


@then("every speed is between {least:f} and {most:f}")
def step_impl(context, least, most):
    for _, expected_ms, observed_ms in context.times:
        assert least <= speed_of(expected_ms, observed_ms) <= most
