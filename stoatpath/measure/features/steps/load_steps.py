"""Steps for load plans, load runs and their checks."""

import asyncio
import os
import tempfile
from types import SimpleNamespace

from behave import given, then, when

from stoatpath.measure.load_plans import LoadPlan
from stoatpath.measure.load_reports import LoadResult, check_guarantees
from stoatpath.tools.demonstrations import Call, Reply
from stoatpath.tools.load import run_load
from stoatpath.utils import encode_json

PLAN = "samples/load/mixed.json5"


@given("a load of {rate:d} requests a second for {seconds:d} seconds with faults")
def step_impl(context, rate, seconds):
    plan = LoadPlan.from_file(PLAN)
    for planned in plan.faults:
        planned.at_s *= seconds / plan.seconds
    context.plan = LoadPlan(seconds, rate, 3, plan.kinds, plan.faults)


@when("the load runs against a site")
def step_impl(context):
    context.result, context.checks = asyncio.run(run_load(context.plan))


@then("at least {minimum:d} requests were sent and all checks pass")
def step_impl(context, minimum):
    assert len(context.result.replies) >= minimum, len(context.result.replies)
    assert context.result.attempts >= minimum
    assert len(context.checks) == 7
    broken = [
        (check.guarantee, check.broken) for check in context.checks if check.broken
    ]
    assert not broken, broken


def _reply(request_id, outcome, path, body):
    headers = {"Stoatpath-Request-Id": request_id, "Stoatpath-Outcome": outcome}
    call = Call("booking", "sunset-huts", "POST", path, {})
    return Reply(call, 200, headers, encode_json(body), 1.0)


@given("the result of a load run without violations")
def step_impl(context):
    path = "/services/booking-desk/bookings"
    replies = [
        _reply("req-1", "completed", path, {"request_id": "req-1"}),
        _reply("req-2", "not-run", path, {}),
    ]
    context.result = LoadResult(replies, 0, 2)
    executions = [("req-1", "POST", "/bookings", '{"load":1}')]
    service = SimpleNamespace(executions=executions)
    context.executions = executions
    context.site = SimpleNamespace(
        engines_by_name={}, services_by_name={"booking-desk-1": service}
    )
    context.ledger = [{"request_id": "req-1"}]


@when("a request got no reply")
def step_impl(context):
    context.result.unanswered = 1


@when("a billing record is missing from the ledger")
def step_impl(context):
    context.ledger.clear()


@when("a billing record is in the ledger twice")
def step_impl(context):
    context.ledger.append({"request_id": "req-1"})


@when("the ledger has a record of an unknown request")
def step_impl(context):
    context.ledger.append({"request_id": "req-3"})
    context.executions.append(("req-3", "GET", "/huts", ""))


@when("a call ran twice")
def step_impl(context):
    context.executions.append(context.executions[0])


@when("a request with the outcome `not-run` ran")
def step_impl(context):
    context.executions.append(("req-2", "POST", "/bookings", '{"load":2}'))


@when("an answer has the id of another request")
def step_impl(context):
    context.result.replies[0].body = encode_json({"request_id": "req-9"})


@then('only the check "{guarantee}" fails')
def step_impl(context, guarantee):
    checks = check_guarantees(context.result, context.site, context.ledger)
    failed = [check.guarantee for check in checks if check.broken]
    assert failed == [guarantee], failed


@given("a load plan of {seconds:d} seconds")
def step_impl(context, seconds):
    handle, context.path = tempfile.mkstemp(suffix=".json5")
    with os.fdopen(handle, "w", encoding="utf-8") as file:
        file.write('{"seconds": %d, "rate_per_s": 1, "mix": []}' % seconds)


@then("the plan is rejected")
def step_impl(context):
    try:
        LoadPlan.from_file(context.path)
    except ValueError as error:
        assert "at most 60" in str(error)
    else:
        raise AssertionError("the plan was accepted")
    finally:
        os.unlink(context.path)
