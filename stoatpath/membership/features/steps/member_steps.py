"""Steps on members, their messages and gossip."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as forall, settings, strategies
from networks import Network, run

from stoatpath.clock import ManualClock
from stoatpath.membership import peers, signatures
from stoatpath.membership.gossip import Gossip
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import DEAD, LEAVING, LIVE, SUSPECT, Member
from stoatpath.membership.peers import PeerClient, PeerServer, PeerSigner
from stoatpath.outcomes import is_failure
from stoatpath.utils import encode_json

WARM_UP_S = 20
VICTIM = "router-3"
NAMES = ("a", "b", "c")
PROFILE = settings(derandomize=True, database=None, deadline=None, max_examples=200)


class MemberGroup:
    """A network of routers, and the actions to run on it."""

    def __init__(self, size):
        self.size = size
        self.actions = []

    def run(self):
        async def main():
            net = Network()
            for index in range(self.size):
                net.add(f"router-{index}", "router", "abcd"[index % 4])
            await net.run_for(WARM_UP_S + self.size / 5)
            for action in self.actions:
                await action(net)
            return net

        self.net = run(main())
        return self.net


def _others(net):
    return [
        member
        for name, member in net.members_by_name.items()
        if name != VICTIM and not member.is_ended
    ]


def _state_at(member, name=VICTIM):
    known = member.members.by_name.get(name)
    return known.state if known is not None else "unknown"


@given("{size:d} members that know each other")
def step_impl(context, size):
    context.group = MemberGroup(size)


@when("one of them is paused for {seconds:d} s")
def step_impl(context, seconds):
    async def action(net):
        net.members_by_name[VICTIM].is_paused = True
        await net.run_for(seconds)

    context.group.actions.append(action)


@when("it resumes and {seconds:d} s pass")
def step_impl(context, seconds):
    async def action(net):
        net.members_by_name[VICTIM].is_paused = False
        await net.run_for(seconds)

    context.group.actions.append(action)


@when("one of them starts again with a lower incarnation")
def step_impl(context):
    async def action(net):
        old = net.members_by_name[VICTIM]
        old.is_ended = True
        old.members.local.incarnation = 5
        await net.run_for(5)
        net.add(VICTIM, "router", incarnation=0)
        await net.run_for(30)

    context.group.actions.append(action)


@when("one of them misses all updates about a new member")
def step_impl(context):
    async def action(net):
        isolated = net.members_by_name[VICTIM]
        net.add("router-new", "router", is_listed=False)
        net.members_by_name["router-new"].gossip.update_candidates(
            [entry for name, entry in net.listed.items() if name != VICTIM]
        )
        net.groups = [
            [VICTIM],
            [name for name in net.members_by_name if name != VICTIM],
        ]
        await net.run_for(3)
        for member in net.members_by_name.values():
            member.members.updates._sends_left_by_name.clear()
        isolated.gossip.contacts._candidates = {}
        net.groups = None
        seconds = 0
        while "router-new" not in isolated.members.by_name and seconds < 60:
            await net.run_for(1)
            seconds += 1
        context.seconds = seconds

    context.group.actions.append(action)
    context.group.run()


@then("it knows the new member within {bound:d} s")
def step_impl(context, bound):
    assert context.seconds <= bound, context.seconds


@when("one of them {what}")
def step_impl(context, what):
    async def action(net):
        victim = net.members_by_name[VICTIM]
        context.start_ms = net.clock.now_ms()
        victim.is_ended = what == "ends"
        victim.is_paused = what in ("vanishes with its host", "is paused")
        if what == "leaves":
            victim.members.leave()
        context.detected_after_s = None
        context.false_deaths = set()
        await net.run_for(30, lambda: _observe(context, net))

    context.group.actions.append(action)


def _observe(context, net):
    expected_state = context.expected_state
    if all(_state_at(member) == expected_state for member in _others(net)):
        if context.detected_after_s is None:
            seconds = (net.clock.now_ms() - context.start_ms) / 1000
            context.detected_after_s = seconds
    for member in _others(net):
        for each in member.members.dead():
            if each.name != VICTIM:
                context.false_deaths.add((member.name, each.name))


@then("all others count it as {state} within {bound:d} s")
def step_impl(context, state, bound):
    context.expected_state = state
    context.group.run()
    assert context.detected_after_s is not None
    assert context.detected_after_s <= bound, context.detected_after_s


@then("no other member was ever counted as dead")
def step_impl(context):
    assert not context.false_deaths, context.false_deaths


@when("this holds for {seconds:d} s: {fault}")
def step_impl(context, seconds, fault):
    async def action(net):
        if "is lost" in fault:
            net.loss_rate = 0.1
        if "twice" in fault:
            net.duplicate_rate = 1 / 3
        if "missing" in fault:
            del net.listed[VICTIM]
        if "can't be read" in fault:
            net.is_list_down = True
        if "stays on the list" in fault:
            gone = net.add("router-gone", "router")
            gone.is_ended = True
        context.expected_state = ""
        context.detected_after_s = None
        context.false_deaths = set()
        await net.run_for(seconds, lambda: _observe(context, net))

    context.group.actions.append(action)


@then("no member is counted as dead")
def step_impl(context):
    net = context.group.run()
    assert not context.false_deaths, context.false_deaths
    for member in _others(net):
        assert _state_at(member) in (LIVE, SUSPECT)
        assert "router-gone" not in member.members.live_names("router")


@then("all count it as live under a higher incarnation")
def step_impl(context):
    net = context.group.run()
    for member in _others(net):
        known = member.members.by_name[VICTIM]
        assert known.state == LIVE, (member.name, known.state)
        assert known.incarnation > 1, known.incarnation


def _build_gossip(name="m", incarnation=10):
    """Return a `Gossip` whose member table knows one other member."""
    clock = ManualClock()
    members = MemberTable(Member(name, "router", f"{name}:1", "a", incarnation, LIVE))
    members.merge([Member("peer", "router", "peer:1", "a", 5, LIVE)], 0.0)
    client = SimpleNamespace(ask=None)
    server = SimpleNamespace(register=lambda topic, handler: None)
    return Gossip(members, client, server, clock, random.Random(1)), members


class NumberTopic:
    """A topic whose data is a number."""

    name = "number"

    def collect(self):
        return 1

    def merge(self, sender, data):
        return data + 1 > 1


@given("a member that knows another")
def step_impl(context):
    context.gossip, context.members = _build_gossip()
    context.gossip.add_topic(NumberTopic())


@when("it gets a message with {defect}")
def step_impl(context, defect):
    sender = Member("new", "router", "new:1", "a", 7, LIVE).to_json()
    message = {"from": sender, "digest": "", "members": [], "topics": {}}
    own = {**sender, "name": "m", "address": "m:1", "incarnation": 10, "state": DEAD}
    peer = {**sender, "name": "peer", "address": "old:1", "incarnation": 4}
    edits = {
        "an unknown field": lambda: sender.update(colour="x", incarnation=7),
        "no zone and no state": lambda: (sender.pop("zone"), sender.pop("state")),
        "no topics and no members": lambda: (
            message.pop("topics"),
            message.pop("members"),
        ),
        "no sender": lambda: message.pop("from"),
        "a sender that is a number": lambda: message.update({"from": 7}),
        "a negative incarnation": lambda: sender.update(incarnation=-1),
        "an unknown state": lambda: sender.update(state="asleep"),
        "members that are a string": lambda: message.update(members="all"),
        "a malformed member": lambda: message.update(members=[{"name": 3}, None]),
        "topics that are a list": lambda: message.update(topics=[1]),
        "a topic of another form": lambda: message.update(topics={"number": {}}),
        "an older incarnation": lambda: message.update(members=[peer]),
        "a claim that it is dead": lambda: message.update(members=[own]),
    }
    edits[defect]()

    async def answer():
        try:
            return await context.gossip._handle_gossip(message)
        except ValueError:
            return None

    context.answer = run(answer())


@then("it adds the sender")
def step_impl(context):
    assert context.answer is not None
    assert context.members.by_name["new"].state == LIVE


@then("it refuses it")
def step_impl(context):
    assert context.answer is None
    assert set(context.members.by_name) == {"peer"}


@then("it keeps its record")
def step_impl(context):
    assert context.members.by_name["peer"].address == "peer:1"


@then("it refutes it")
def step_impl(context):
    assert context.members.local.incarnation == 11
    assert context.answer["from"]["incarnation"] == 11


_json = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(
            ("from", "members", "topics", "digest", "name", "address", "state")
        )
        | strategies.text(max_size=4),
        inner,
        max_size=5,
    ),
    max_leaves=12,
)


@then("no JSON value in place of a message stops a member")
def step_impl(context):
    @PROFILE
    @forall(strategies.dictionaries(strategies.text(max_size=8), _json, max_size=5))
    def check(message):
        gossip, members = _build_gossip()

        async def answer():
            try:
                await gossip._handle_gossip(message)
            except ValueError:
                pass

        run(answer())
        assert members.by_name["peer"].state == LIVE

    check()


_updates = strategies.builds(
    Member,
    strategies.sampled_from(NAMES),
    strategies.just("router"),
    strategies.just("x:1"),
    strategies.just("a"),
    strategies.integers(0, 3),
    strategies.sampled_from((LIVE, SUSPECT, LEAVING, DEAD)),
)


@then("members that receive the same updates in any order, twice or late, agree")
def step_impl(context):
    @PROFILE
    @forall(strategies.lists(_updates, max_size=12), strategies.randoms())
    def check(updates, rng):
        tables = []
        for _ in range(2):
            received = [Member.from_json(each.to_json()) for each in updates + updates]
            rng.shuffle(received)
            own = Member("own", "router", "own:1", "a", 1, LIVE)
            table = MemberTable(own)
            first = [Member(name, "router", "x:1", "a", 0, LIVE) for name in NAMES]
            table.merge(first, 0.0)
            table.merge(received, 0.0)
            tables.append(table)
        assert tables[0].digest() == tables[1].digest()
        states = [{n: m.state for n, m in each.by_name.items()} for each in tables]
        assert states[0] == states[1]

    check()


@given("two members connected by sockets with a shared key")
def step_impl(context):
    context.clock = ManualClock()


@when("a message is sent {how}")
def step_impl(context, how):
    async def main():
        server = PeerServer(PeerSigner({"1": "old-key", "2": "new-key"}), context.clock)
        context.received = 0

        async def handler(message):
            context.received += 1
            return {"echo": message["text"]}

        server.register("echo", handler)
        server.register("other", handler)
        await server.start("127.0.0.1:0")
        client = PeerClient(_signer_for(how), context.clock)
        try:
            await _send(context, how, client, server)
        finally:
            await client.close()
            await server.stop()

    asyncio.run(main())


def _signer_for(how):
    if "older" in how:
        return PeerSigner({"1": "old-key"})
    if "unknown" in how:
        return PeerSigner({"3": "third-key"})
    if "no signature" in how:
        return PeerSigner({})
    return PeerSigner({"1": "old-key", "2": "new-key"})


class _ReplayingSigner:
    """Signs once and sends that signature with every later message."""

    def __init__(self, signer, change):
        self._signer = signer
        self._change = change
        self._signature = None

    def sign(self, topic, payload, nonce):
        if self._signature is None:
            signed_topic = "other" if self._change == "under another topic" else topic
            body = b"{}" if self._change == "with another body" else payload
            self._signature = self._signer.sign(signed_topic, body, nonce)
        return self._signature

    def verify(self, *details):
        return self._signer.verify(*details)


async def _send(context, how, client, server):
    if how in ("with another body", "under another topic"):
        client._signer = _ReplayingSigner(client._signer, how)
    if how == "and answered with a forged signature":
        server._signer = SimpleNamespace(
            verify=lambda *details: True,
            sign=lambda *details: "2:forged",
            sign_answer=lambda *details: "2:forged",
        )
    make_nonce = signatures.new_nonce
    if how == "with an old nonce":
        peers.new_nonce = lambda wall_ms: make_nonce(wall_ms - 61_000)
    if how == "a second time":
        nonce = make_nonce(context.clock.wall_ms())
        peers.new_nonce = lambda wall_ms: nonce
    try:
        ask = client.ask(server.address, "echo", {"text": "hello"}, 5_000)
        context.answer = await ask
        if how == "a second time":
            ask = client.ask(server.address, "echo", {"text": "hello"}, 5_000)
            context.answer = await ask
    finally:
        peers.new_nonce = make_nonce


@then("it is answered")
def step_impl(context):
    assert context.answer == {"echo": "hello"}, context.answer
    assert context.received == 1


@then("it is refused")
def step_impl(context):
    assert is_failure(context.answer), context.answer
    assert context.received <= 1


@then("it is dropped")
def step_impl(context):
    assert is_failure(context.answer), context.answer


class FixedSizeTopic:
    """A topic that always sends a given number of bytes."""

    def __init__(self, name, size, is_vital=False):
        self.name = name
        self.is_vital = is_vital
        self._data = "x" * size

    def collect(self):
        return self._data

    def merge(self, sender, data):
        return False


@given("a member whose topics always have data to send")
def step_impl(context):
    context.gossip, context.members = None, None
    context.topics = [
        FixedSizeTopic(f"topic-{size}", size) for size in (900, 1400, 9000)
    ]
    context.topics.append(FixedSizeTopic("vital", 30, is_vital=True))


@when("it gossips for {seconds:d} s with {rate:d} bytes a second")
def step_impl(context, seconds, rate):
    async def main():
        net = Network()
        context.seen = []
        for index in range(30):
            net.add(f"router-{index}", "router")
        await net.run_for(15)
        member = net.members_by_name["router-0"]
        context.sent = 0

        async def ask(address, topic, message, timeout_ms=1_000):
            context.sent += len(encode_json(message))
            context.seen.append(message)
            return await net.ask("router-0", address, topic, message, timeout_ms)

        member.gossip._client = SimpleNamespace(ask=ask)
        answer = member.gossip._handle_gossip

        async def count_answer(message):
            response = await answer(message)
            context.sent += len(encode_json(response))
            return response

        member.handlers_by_topic["gossip"] = count_answer
        for topic in context.topics:
            member.gossip.add_topic(topic)
        for _ in range(seconds):
            member.gossip.trigger_push()
            await net.run_for(1)
        context.rate = context.sent / seconds

    run(main())


@then("it sent at most {rate:d} bytes a second")
def step_impl(context, rate):
    assert 3_000 < context.rate <= rate, context.rate


@then("every message carried the vital topic")
def step_impl(context):
    gossip = [each for each in context.seen if "topics" in each]
    assert all("vital" in each["topics"] for each in gossip)


@then("every topic was carried")
def step_impl(context):
    carried = {name for each in context.seen for name in each.get("topics", ())}
    assert {topic.name for topic in context.topics} <= carried, carried
