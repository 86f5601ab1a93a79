"""Steps about request traces from log files."""

import asyncio
import json
import logging
import os
import tempfile

import aiohttp
from behave import given, then, when

from stoatpath.commands.request_traces import read_trace, render_trace
from stoatpath.standins.deployments import CALLER_KEY, HOST, PLAIN_SERVICE, Deployment

REQUEST = "request-1"
MINUTE = "2026-01-01T10:{:02d}:{:02d}+00:00"
LOST = {"event": "store.lost", "why": "refused"}
REGAINED = {"event": "store.regained", "absent_ms": 900}


def line(second, instance="gateway-0", **fields):
    time = MINUTE.format(second // 60, second % 60)
    return json.dumps({"time": time, "instance": instance, **fields})


def ended(second):
    return line(
        second,
        event="request.ended",
        request_id=REQUEST,
        reason="stale-configuration",
        took_ms=1.0,
        decisions=[],
        outcome="not-run",
    )


def write(context, lines):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = os.path.join(folder.name, "gateway.log")
    with open(context.path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


@given("a log in which the store was lost 60 s before a request was refused")
def step_impl(context):
    write(context, [line(5, **LOST), ended(65)])


@given("a log in which the store was lost and regained long before a request failed")
def step_impl(context):
    write(context, [line(5, **LOST), line(6, **REGAINED), ended(65)])


@given("a log in which only another instance lost the store, and this one later")
def step_impl(context):
    write(context, [line(5, "gateway-1", **LOST), ended(65), line(66, **LOST)])


@when("the trace of the request is read")
def step_impl(context):
    context.trace = "\n".join(render_trace(read_trace(REQUEST, [context.path])))


@then("it has the loss of the store, and its cause refers to that event")
def step_impl(context):
    cause, _, rest = context.trace.partition("\n")
    assert "store.lost" in cause and "store.lost" in rest, context.trace


@then("it has the regained store, but not its loss")
def step_impl(context):
    _, _, rest = context.trace.partition("\n")
    assert "store.regained" in rest and "store.lost" not in rest, context.trace


@then("it has no event of the store")
def step_impl(context):
    _, _, rest = context.trace.partition("\n")
    assert "store." not in rest, context.trace


class _RecordingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@given("a deployment whose request log is captured")
def step_impl(context):
    context.lines = _RecordingHandler()
    logger = logging.getLogger("stoatpath.explanations.request_logs")
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(context.lines)
    context.add_cleanup(logger.setLevel, level)
    context.add_cleanup(logger.removeHandler, context.lines)


@when("a booking is made")
def step_impl(context):
    async def book():
        deployment = Deployment()
        await deployment.start(models=0)
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {CALLER_KEY}",
            "X-Stoatpath-Attempt-Id": REQUEST,
            "X-Stoatpath-Deadline-Ms": "700",
        }
        url = f"http://{deployment.gateways[0].listener.address}/book/1"
        try:
            async with aiohttp.ClientSession() as session:
                async with session.post(url, headers=headers) as response:
                    await response.read()
        finally:
            await deployment.stop()

    asyncio.run(book())


@then("its line names the route, the service, the timeout, the revision and its age")
def step_impl(context):
    (record,) = [each for each in context.lines.records if each.request_id == REQUEST]
    first = record.decisions[0]
    assert first["step"] == "read", first
    assert (first["route"], first["service"]) == ("book", PLAIN_SERVICE), first
    assert first["organisation"] == "harbour", first
    assert first["timeout_ms"] == 700 and first["revision"] == 1, first
    assert first["confirmed_ms_ago"] >= 0, first
