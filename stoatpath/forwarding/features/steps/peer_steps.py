"""Steps on peers that reach backend servers, with instances in virtual time."""

import asyncio
import json
import random
from types import SimpleNamespace

from behave import given, then, when

from stoatpath.forwarding.peers import Acceptance, PeerFinder
from stoatpath.measure.limit_models import ModelPeerClient
from stoatpath.measure.relay_models import Handlers, model_member
from stoatpath.measure.virtual_loops import VirtualClock, run_virtually
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import Member

SERVICE = "desk"
# Heads of a question and of its answer.
HEAD_BYTES = 600
NOW_MS = 10_000.0


class PeerFleet:
    """Instances with the fields that `ModelPeerClient` uses."""

    def __init__(self, loop, count, cut_count):
        self.loop = loop
        self.messages = 0
        self.bytes_sent = 0
        self.killed = set()
        self.handlers_by_name = {}
        self.cut_names = {f"instance-{index}" for index in range(cut_count)}
        self.finders_by_name = {}
        names = [f"instance-{index}" for index in range(count)]
        records = [model_member(name, "zone-0").to_json() for name in names]
        for name in names:
            self._add(name, records)

    def is_connected(self, one, other):
        return True

    def _add(self, name, records):
        members = MemberTable(model_member(name, "zone-0"))
        members.merge([Member.from_json(each) for each in records], 0.0)
        partitions = SimpleNamespace(
            observers=[],
            unreachable_services=lambda: [SERVICE] * (name in self.cut_names),
            is_unreachable=lambda service: name in self.cut_names,
        )
        finder = PeerFinder(
            partitions,
            members,
            ModelPeerClient(self, name),
            Handlers(self.handlers_by_name.setdefault(name, {})),
            lambda: Acceptance(name),
            VirtualClock(self.loop),
            random.Random(name),
        )
        self.finders_by_name[name] = finder
        if name in self.cut_names:
            for observer in partitions.observers:
                self.loop.call_soon(observer, SERVICE)


@given(
    "{count:d} instances that know each other, "
    "of which {cut:d} reach no backend server"
)
def step_impl(context, count, cut):
    context.size = count, cut


@when("these have asked for {seconds:d} s")
def step_impl(context, seconds):
    async def main(loop):
        fleet = PeerFleet(loop, *context.size)
        await asyncio.sleep(seconds)
        context.found = [
            {peer.name for peer in fleet.finders_by_name[name].find(SERVICE)}
            for name in fleet.cut_names
        ]
        context.cut_names = fleet.cut_names
        sent_bytes = fleet.bytes_sent + HEAD_BYTES * fleet.messages
        context.bytes_per_s = sent_bytes / len(fleet.cut_names) / seconds
        for finder in fleet.finders_by_name.values():
            await finder.close()

    run_virtually(main)


@then("each of these knows peers that reach backend servers, and no others")
def step_impl(context):
    assert all(context.found), context.found
    assert not any(names & context.cut_names for names in context.found)


@then("no more than {limit:d} KB a second were sent for each")
def step_impl(context, limit):
    assert context.bytes_per_s <= 1000 * limit, context.bytes_per_s


@given("the answer of a peer: {text}")
def step_impl(context, text):
    try:
        context.acceptance = Acceptance.from_json(json.loads(text), NOW_MS)
    except (KeyError, TypeError, ValueError):
        context.acceptance = None


def describe_time(until_ms):
    if until_ms == float("inf"):
        return "without end"
    return f"for {until_ms - NOW_MS:.0f} ms"


@then("it takes requests {requests} and streams {streams}")
def step_impl(context, requests, streams):
    acceptance = context.acceptance
    found = ("never", "never")
    if acceptance is not None:
        times_ms = (acceptance.until_ms, acceptance.streams_until_ms)
        found = tuple(describe_time(each) for each in times_ms)
    assert found == (requests, streams), found


@then("none of these knows a peer")
def step_impl(context):
    assert not any(context.found), context.found
