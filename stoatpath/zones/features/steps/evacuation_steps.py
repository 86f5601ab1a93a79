"""Steps on the table of drained zones and the rows that it comes from."""

from types import SimpleNamespace

from behave import given, then, when
from logs import LogCapture

from stoatpath.clock import ManualClock
from stoatpath.configuration.operator_rows import OperatorRows
from stoatpath.feeds.copies import RowChange
from stoatpath.platform.row_stores import StoredRow
from stoatpath.zones.evacuations import EvacuationTable

VALUES = {"an object": b"{}", "no JSON": b"\xff{", "no base64": None}


@given("no zone is drained")
def step_impl(context):
    context.evacuations = EvacuationTable()
    context.log = LogCapture()
    context.add_cleanup(context.log.close)


@when("the rows change at {changes}")
def step_impl(context, changes):
    for change in changes.split():
        if change == "none":
            continue
        at, _, zone = change.partition(":")
        context.evacuations.apply(zone[1:], zone[0] == "+", float(at))


def parse_ms(text):
    return None if text == "never" else float(text)


def assert_state(context, zone, state):
    assert context.evacuations.is_drained(zone) is (state == "drained")


@then("zone {zone} is {state}, drained since {since} and returned at {returned}")
def step_impl(context, zone, state, since, returned):
    assert_state(context, zone, state)
    assert context.evacuations.drained_ms(zone) == parse_ms(since)
    assert context.evacuations.returned_ms(zone) == parse_ms(returned)


@then("the drained zones are {zones}")
def step_impl(context, zones):
    assert context.evacuations.drained_zones() == zones.split()


@when("the operator's row {key} is read with {value}")
def step_impl(context, key, value):
    nothing = SimpleNamespace()
    rows = OperatorRows(nothing, nothing, context.evacuations, ManualClock())
    rows.apply([RowChange(key, StoredRow(key, 1, VALUES[value]))])


@then("zone {zone} is {state:w}")
@then("zone {zone} is in service")
def step_impl(context, zone, state="in service"):
    assert_state(context, zone, state)


@then("{count:d} lines say that a key is malformed")
def step_impl(context, count):
    assert context.log.count("zones.key-malformed") == count


@then("the log has 1 line on the drain of {zone}, and 1 on its return")
def step_impl(context, zone):
    assert context.log.count("zones.drained", zone=zone) == 1
    assert context.log.count("zones.returned", zone=zone) == 1
