"""Steps about the bounded logs of a gateway."""

import json
import logging
import os
import time

from behave import given, then, when

from stoatpath.clock import ManualClock
from stoatpath.explanations.request_logs import RequestLog
from stoatpath.log import BoundedHandler

REQUEST_LOGGER = "stoatpath.explanations.request_logs"


class FakeMonotonicClock:
    """A monotonic clock that the test advances."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class LogPipe:
    """A pipe with a log handler on its write end."""

    def __init__(self):
        self.read_fd, self.write_fd = os.pipe()
        os.set_blocking(self.read_fd, False)
        self.clock = FakeMonotonicClock()
        self.handler = BoundedHandler(self.write_fd, self.clock)
        self.handler.setFormatter(Formatter())
        self.lines = []

    def read(self):
        try:
            while data := os.read(self.read_fd, 1 << 20):
                self.lines += data.decode().splitlines()
        except BlockingIOError:
            return

    def log(self, level=logging.INFO, reads_after=False, **fields):
        record = logging.LogRecord("stoatpath", level, "", 0, "event", None, None)
        record.__dict__.update(fields)
        self.handler.emit(record)
        if reads_after:
            self.read()

    def close(self):
        os.close(self.read_fd)
        os.close(self.write_fd)


class Formatter(logging.Formatter):
    def format(self, record):
        fields = {k: v for k, v in record.__dict__.items() if k in FORMATTED_FIELDS}
        return json.dumps({"event": record.getMessage(), **fields})


FORMATTED_FIELDS = ("lines", "number", "request_id", "long", "levelno")


@given("a handler on a pipe without a reader")
@given("a handler with a line budget on a pipe with a reader")
def step_impl(context):
    context.pipe = LogPipe()
    context.add_cleanup(context.pipe.close)


@when("{count:d} lines are logged")
def step_impl(context, count):
    context.started_s = time.monotonic()
    for number in range(count):
        context.pipe.clock.now_s += 0.01
        context.pipe.log(number=number, long="x" * 100)


@then("no call blocked, and the lines that didn't fit are counted")
def step_impl(context):
    context.pipe.read()
    written = [line for line in context.pipe.lines if '"event": "event"' in line]
    assert len(written) + context.pipe.handler.dropped == 5_000
    assert context.pipe.handler.dropped > 0


@when("the pipe is read and another line is logged later")
def step_impl(context):
    context.pipe.read()
    context.dropped = context.pipe.handler.dropped
    context.pipe.clock.now_s += 2.0
    context.pipe.log(number=0)
    context.pipe.read()


@then("a line reports how many were dropped")
def step_impl(context):
    records = [json.loads(line) for line in context.pipe.lines]
    dropped = [line["lines"] for line in records if line["event"] == "log.dropped"]
    assert sum(dropped) == context.dropped, (dropped, context.dropped)


@when("{count:d} lines and then {warnings:d} warnings are logged at once")
def step_impl(context, count, warnings):
    for number in range(count):
        context.pipe.log(number=number, reads_after=True)
    for number in range(warnings):
        context.pipe.log(logging.WARNING, number=number, reads_after=True)


@then("at most {most:d} lines were written, all warnings among them")
def step_impl(context, most):
    levels = [json.loads(line)["levelno"] for line in context.pipe.lines]
    assert len(levels) <= most, len(levels)
    assert levels.count(logging.WARNING) == 100, levels.count(logging.WARNING)


@when("a line with a field of {size:d} characters is logged")
def step_impl(context, size):
    context.pipe.log(request_id="attempt-1", long="x" * size, reads_after=True)


@then("a line shorter than {most:d} bytes has its event and its request")
def step_impl(context, most):
    (line,) = context.pipe.lines
    assert len(line) < most
    assert json.loads(line)["request_id"] == "attempt-1"


@given("a request log")
def step_impl(context):
    context.clock = ManualClock(1_000.0)
    context.log = RequestLog(context.clock)
    context.records = []
    handler = logging.Handler()
    handler.emit = context.records.append
    logger = logging.getLogger(REQUEST_LOGGER)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.removeHandler, handler)


@when("a request is routed, fails once and is served")
def step_impl(context):
    context.log.record_decision("attempt-1", "route", "least price", backend="p0")
    context.clock.advance_by(30)
    context.log.record_decision("attempt-1", "attempt", "backend-error", backend="p0")
    context.clock.advance_by(12)
    context.log.record_decision("attempt-1", "ended", "completed", cost=0.1)


@then("one line has both decisions, the outcome and the duration")
def step_impl(context):
    (record,) = context.records
    assert record.getMessage() == "request.ended"
    assert [each["step"] for each in record.decisions] == ["route", "attempt"]
    assert record.decisions[1]["after_ms"] == 30
    assert (record.reason, record.took_ms, record.cost) == ("completed", 42, 0.1)


@when("{count:d} requests begin and none ends")
def step_impl(context, count):
    for number in range(count):
        context.log.record_decision(f"attempt-{number}", "route", "least price")


@then("at most {most:d} traces are stored")
def step_impl(context, most):
    assert len(context.log._traces_by_id) <= most
