"""Steps on the split of slots among instances."""

import random
from types import SimpleNamespace

from behave import given, then, when
from multidict import CIMultiDict
from responses import build_response

from stoatpath.backpressure.shares import SlotShares
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.platform.backend_calls import decode_head

SERVICE = "desk"


def build_shares(name, names):
    members = MemberTable(Member(name, "gateway", name, "zone-a", 1, LIVE))
    members.merge(
        [Member(each, "gateway", each, "zone-a", 1, LIVE) for each in names], 0.0
    )
    return SlotShares(members, random.Random(1))


@given("{count:d} instances and {servers:d} backend servers of {slots:d} slots each")
def step_impl(context, count, servers, slots):
    context.names = [f"instance-{index}" for index in range(count)]
    context.backends = [
        SimpleNamespace(name=f"server-{index}", slots=slots, service=SERVICE)
        for index in range(servers)
    ]
    context.slots = slots


@when("they split the slots")
def step_impl(context):
    context.allowed = [
        build_shares(name, context.names).allowed(context.backends)
        for name in context.names
    ]


@then("the shares of each backend server add up to its slots")
def step_impl(context):
    totals = {
        sum(allowed[backend.name] for allowed in context.allowed)
        for backend in context.backends
    }
    assert totals == {context.slots}, totals


@then("each instance has a slot somewhere")
def step_impl(context):
    assert all(any(allowed.values()) for allowed in context.allowed)


@given(
    "answers with Server-Brittle {values} to requests sent {sent} and read {read} ms"
)
def step_impl(context, values, sent, read):
    context.shares = build_shares("instance-0", [])
    for value, sent_ms, read_ms in zip(
        values.split(","), sent.split(","), read.split(",")
    ):
        headers = CIMultiDict({"X-Stoatpath-Replica-Seal": "s"})
        if value != "-":
            headers["Server-Brittle"] = value
        signals = decode_head(build_response(200, headers)).signals
        context.shares.observe(SERVICE, signals, float(sent_ms), float(read_ms))


@then("the service counts as {belief}")
def step_impl(context, belief):
    assert context.shares.limits_rejections(SERVICE) == (belief == "limited")
