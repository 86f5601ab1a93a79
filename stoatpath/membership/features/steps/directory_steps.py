"""Steps on the directory of backend servers."""

import re

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.feeds.copies import RowChange
from stoatpath.feeds.messages import TablesAnswer
from stoatpath.feeds.reachability import Reachability
from stoatpath.membership.directories import BackendDirectory
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure
from stoatpath.platform.documents import decode_backend
from stoatpath.platform.row_stores import StoredRow
from stoatpath.utils import encode_json

NOW_MS = 100_000.0


def entry(**changes):
    fields = {
        "service": "booking-desk",
        "address": "10.0.0.1:8080",
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
        **changes,
    }
    return {name: value for name, value in fields.items() if value is not None}


def change(name, value, version=2):
    data = value if isinstance(value, bytes) else encode_json(value)
    return RowChange(name, StoredRow(name, version, data))


CHANGES = {
    "stays as it is": entry(),
    "is marked as draining": entry(state="draining"),
    "is not JSON": b"\xff\x00",
    "is empty": b"",
    "lacks its address": entry(address=None),
    "has a number as its zone": entry(zone=7),
    "has an unknown state": entry(state="resting"),
    "has an address without a port": entry(address="10.0.0.1"),
    "is of another service": entry(service="desk-assist"),
    "has fields of a later release": entry(colour="grey", weights=[1, 2]),
}


def build_directory():
    directory = BackendDirectory(decode_backend, Reachability())
    directory.apply(
        [change("p0", entry()), change("p1", entry(address="10.0.0.2:80"))], NOW_MS
    )
    return directory


@given("a directory that lists p0 and p1")
def step_impl(context):
    context.directory = build_directory()


def record_outage(reachability, start_ms, end_ms):
    reachability.record_failure(Failure(PLATFORM_UNAVAILABLE, "busy"), start_ms)
    reachability.record_answer(end_ms - 5, end_ms, end_ms)


@when("an outage of {long:d} ms is followed by one of {short:d} ms {where}")
def step_impl(context, long, short, where):
    reachability = context.directory._reachability
    end_ms = NOW_MS - short - 20
    record_outage(reachability, end_ms - long, end_ms)
    if where == "here":
        record_outage(reachability, NOW_MS - short, NOW_MS)
    else:
        answer = TablesAnswer(NOW_MS, NOW_MS, float(short), False, {})
        reachability.record_relayed_answer(NOW_MS - 5, answer)


@when("the entry of p0 {what}")
def step_impl(context, what):
    if what == "is renewed":
        context.directory.apply([change("p0", entry(), 9)], NOW_MS + 500)
        return
    outage = re.search(r"outage of (\d+) ms", what)
    if outage:
        reachability = context.directory._reachability
        record_outage(reachability, NOW_MS - int(outage[1]), NOW_MS)
    if what.startswith("is removed"):
        context.directory.apply([RowChange("p0", None)], NOW_MS)
    else:
        context.directory.apply([change("p0", CHANGES[what])], NOW_MS)


@when("p0 restarts while requests of its former process are in flight")
def step_impl(context):
    context.directory.by_name["p0"].in_flight = 3
    context.directory.apply([change("p0", entry(born=1_700_000_009_000))], NOW_MS)


def accepts_work(directory, name):
    return name in {each.name for each in directory.of_service("booking-desk")}


@then("p0 {verdict}, and p1 gets work")
def step_impl(context, verdict):
    assert accepts_work(context.directory, "p0") == (verdict == "gets work")
    assert accepts_work(context.directory, "p1")


@then("p0 gets work after {early:d} ms and none after {late:d} ms")
def step_impl(context, early, late):
    context.directory.expire_lapsed(NOW_MS + early)
    assert accepts_work(context.directory, "p0")
    context.directory.expire_lapsed(NOW_MS + late)
    assert not accepts_work(context.directory, "p0")


@then("p0 gets work after {late:d} ms")
def step_impl(context, late):
    context.directory.expire_lapsed(NOW_MS + late)
    assert accepts_work(context.directory, "p0")


@then("p0 has no requests in flight")
def step_impl(context):
    assert context.directory.by_name["p0"].in_flight == 0


@then("p1 gets work whatever bytes the entry of p0 holds")
def step_impl(context):
    texts = st.one_of(st.none(), st.integers(), st.text(), st.lists(st.integers()))
    fields = st.dictionaries(st.sampled_from(sorted(entry())), texts)
    values = st.one_of(
        st.binary(), fields.map(lambda some: encode_json(entry() | some))
    )

    @settings(derandomize=True, deadline=None)
    @forall(values)
    def holds(value):
        directory = build_directory()
        directory.apply([change("p0", value)], NOW_MS)
        assert accepts_work(directory, "p1")

    holds()
