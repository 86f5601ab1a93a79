"""Steps about request traces that are read from logs."""

import asyncio
import json
import logging
import os
import tempfile

import aiohttp
from behave import given, then, when

from stoatpath.commands.request_traces import read_trace, render_trace
from stoatpath.standins.deployments import CALLER_KEY, HOST, PLAIN_SERVICE, Deployment
from stoatpath.standins.faults import Fault

REQUEST_ID = "request-1"
TIME_FORMAT = "2026-01-01T10:{:02d}:{:02d}+00:00"
STORE_LOST = {"event": "store.lost", "why": "refused"}
STORE_REGAINED = {"event": "store.regained", "absent_ms": 900}


def log_line(second, instance="gateway-0", **fields):
    time = TIME_FORMAT.format(second // 60, second % 60)
    return json.dumps({"time": time, "instance": instance, **fields})


def request_ended_line(second, reason="stale-configuration"):
    return log_line(
        second,
        event="request.ended",
        request_id=REQUEST_ID,
        reason=reason,
        took_ms=1.0,
        decisions=[],
        outcome="not-run",
    )


def write_log(context, lines):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = os.path.join(folder.name, "gateway.log")
    with open(context.path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


@given("a log with a store outage that began 60 s before a request was refused")
def step_impl(context):
    write_log(context, [log_line(5, **STORE_LOST), request_ended_line(65)])


@given("a log with a store outage that ended long before a request failed")
def step_impl(context):
    write_log(
        context,
        [
            log_line(5, **STORE_LOST),
            log_line(6, **STORE_REGAINED),
            request_ended_line(65),
        ],
    )


@given(
    "a log with store outages of another instance and, after the request, of this one"
)
def step_impl(context):
    write_log(
        context,
        [
            log_line(5, "gateway-1", **STORE_LOST),
            request_ended_line(65),
            log_line(66, **STORE_LOST),
        ],
    )


@when("the trace of the request is rendered")
def step_impl(context):
    context.trace = "\n".join(render_trace(read_trace(REQUEST_ID, [context.path])))


@given("a log with a drain that began 60 s before a request was refused")
def step_impl(context):
    drained = {"event": "zones.drained", "zone": "z0"}
    write_log(
        context, [log_line(5, **drained), request_ended_line(65, "zones-drained")]
    )


@then("it has the event {event}, and its cause refers to that event")
def step_impl(context, event):
    cause, _, events = context.trace.partition("\n")
    assert event in cause and event in events, context.trace


@then("it has the event store.regained and no event store.lost")
def step_impl(context):
    _, _, events = context.trace.partition("\n")
    assert "store.regained" in events and "store.lost" not in events, context.trace


@then("it has no event about the store")
def step_impl(context):
    _, _, events = context.trace.partition("\n")
    assert "store." not in events, context.trace


class _RecordingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@given("a deployment whose request log is recorded")
def step_impl(context):
    context.handler = _RecordingHandler()
    logger = logging.getLogger("stoatpath.explanations.request_logs")
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(context.handler)
    context.add_cleanup(logger.setLevel, level)
    context.add_cleanup(logger.removeHandler, context.handler)


@when("a booking is sent")
def step_impl(context):
    send_one_booking([])


@when("a booking is sent whose answer ends with its connection")
def step_impl(context):
    send_one_booking([Fault("serve", "unframed")])


def send_one_booking(faults):
    async def send_booking():
        deployment = Deployment()
        await deployment.start(models=0, plain=1)
        for fault in faults:
            deployment.replicas_by_name["p0"].faults.add(fault)
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {CALLER_KEY}",
            "X-Stoatpath-Attempt-Id": REQUEST_ID,
            "X-Stoatpath-Deadline-Ms": "700",
        }
        url = f"http://{deployment.gateways[0].listener.address}/book/1"
        try:
            async with aiohttp.ClientSession() as session:
                async with session.post(url, headers=headers) as response:
                    await response.read()
        finally:
            await deployment.stop()

    asyncio.run(send_booking())


def logged_decisions(context):
    (record,) = [
        each for each in context.handler.records if each.request_id == REQUEST_ID
    ]
    return record.decisions


@then("its log line says {whether} that the answer ended with its connection")
def step_impl(context, whether):
    (answer,) = [each for each in logged_decisions(context) if each["step"] == "answer"]
    assert answer.get("unframed", False) == (whether == "once"), answer


@then("its log line has the route, the service, the timeout, the revision and its age")
def step_impl(context):
    first = logged_decisions(context)[0]
    assert first["step"] == "read", first
    assert (first["route"], first["service"]) == ("book", PLAIN_SERVICE), first
    assert first["organisation"] == "harbour", first
    assert first["timeout_ms"] == 700 and first["revision"] == 1, first
    assert first["confirmed_ms_ago"] >= 0, first
