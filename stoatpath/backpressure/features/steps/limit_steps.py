"""Steps on the limits that backend servers name in their answers."""

import logging
import random

from behave import given, then
from hypothesis import given as forall, settings, strategies as st
from multidict import CIMultiDict
from responses import build_response

from stoatpath.backpressure.hold_offs import HoldOffs
from stoatpath.backpressure.limits import LimitTable
from stoatpath.backpressure.messages import BackendSignals
from stoatpath.platform.backend_calls import decode_head

NAME = "m0"
TRIALS = settings(derandomize=True, deadline=None)


class LogRecords(logging.Handler):
    """Keeps the log records of a module."""

    def __init__(self, context, module):
        super().__init__()
        self.records = []
        self._logger = logging.getLogger(module)
        level = self._logger.level
        self._logger.addHandler(self)
        self._logger.setLevel(logging.INFO)
        context.add_cleanup(lambda: self._logger.removeHandler(self))
        context.add_cleanup(lambda: self._logger.setLevel(level))

    def emit(self, record):
        self.records.append(record)

    def of_event(self, event):
        return [record for record in self.records if record.getMessage() == event]


def record_logs(context):
    context.logs = LogRecords(context, "stoatpath.backpressure.limits")


def number_or_none(text):
    return None if text == "none" else float(text)


def observe(table, limit, sent_ms, read_ms, **fields):
    table.observe(NAME, BackendSignals(limit, **fields), sent_ms, read_ms)


@given("answers that name {limits}, to requests sent {sent} and read {read} ms")
def step_impl(context, limits, sent, read):
    context.limits = LimitTable()
    for limit, sent_ms, read_ms in zip(
        limits.split(","), sent.split(","), read.split(",")
    ):
        observe(context.limits, number_or_none(limit), float(sent_ms), float(read_ms))


@then("the limit in force is {limit}")
def step_impl(context, limit):
    assert context.limits.limit_per_s(NAME) == number_or_none(limit)


@given("any answers of a backend server to requests sent and read at any times")
def step_impl(context):
    context.changes = []
    limits = st.one_of(st.none(), st.sampled_from([0.5, 1.0, 2.0, 5.0]))
    answers = st.tuples(limits, st.integers(0, 50), st.integers(0, 20))

    @TRIALS
    @forall(st.lists(answers, max_size=20))
    def collect(answers):
        table = LimitTable()
        heard_ms = None
        # Answers are handled in the order in which they are read.
        for limit, sent_ms, delay_ms in sorted(
            answers, key=lambda answer: answer[1] + answer[2]
        ):
            before = table.limit_per_s(NAME)
            observe(table, limit, sent_ms, sent_ms + delay_ms)
            context.changes.append((before, table.limit_per_s(NAME), sent_ms, heard_ms))
            if limit is not None:
                heard_ms = sent_ms + delay_ms

    collect()


@then("a limit ends only by an answer to a request sent after it was last heard")
def step_impl(context):
    ends = [change for change in context.changes if change[0] and not change[1]]
    assert ends
    assert all(sent_ms >= heard_ms for _, _, sent_ms, heard_ms in ends)


@then("it rises only by such an answer")
def step_impl(context):
    rises = [
        change
        for change in context.changes
        if change[0] and change[1] and change[1] > change[0]
    ]
    assert rises
    assert all(sent_ms >= heard_ms for _, _, sent_ms, heard_ms in rises)


@given("the head of an answer with status {status:d} and Retry-After {text}")
def step_impl(context, status, text):
    headers = CIMultiDict({} if text == "missing" else {"Retry-After": text})
    head = decode_head(build_response(status, headers))
    context.signals = head.signals


@then("it holds the backend server off for {reading}")
def step_impl(context, reading):
    expected = None if reading == "no time" else float(reading.split()[0])
    assert context.signals.hold_off_ms == expected, context.signals.hold_off_ms


@given("any answers that ask for hold-offs at any times")
def step_impl(context):
    context.results = []
    answers = st.tuples(st.integers(0, 5_000), st.integers(0, 60_000))

    @TRIALS
    @forall(st.lists(answers, min_size=1, max_size=10), st.integers())
    def collect(answers, seed):
        hold_offs = HoldOffs(random.Random(seed))
        now_ms = 0.0
        asked_ms = []
        for pause_ms, hold_off_ms in answers:
            now_ms += pause_ms
            signals = BackendSignals(hold_off_ms=float(hold_off_ms))
            hold_offs.observe(NAME, signals, now_ms)
            asked_ms.append(now_ms + hold_off_ms)
        context.results.append((max(asked_ms), hold_offs.until_ms(NAME)))

    collect()


@then(
    "the hold-off ends after each of the times asked for, "
    "at most {seconds:d} s later than the last"
)
def step_impl(context, seconds):
    for asked_ms, until_ms in context.results:
        assert asked_ms <= until_ms <= asked_ms + seconds * 1000


@given("the head of an answer with the header Server-Limit {text}")
def step_impl(context, text):
    headers = CIMultiDict({} if text == "missing" else {"Server-Limit": text})
    context.signals = decode_head(build_response(200, headers)).signals


@then("the limit that it names is {limit}")
def step_impl(context, limit):
    assert context.signals.limit_per_s == number_or_none(limit)


@then("the text is reported as unreadable: {answer}")
def step_impl(context, answer):
    assert bool(context.signals.unreadable) == (answer == "yes")


@given("a limit of {limit:g} and then {count:d} answers whose limit is unreadable")
def step_impl(context, limit, count):
    record_logs(context)
    context.limits = LimitTable()
    observe(context.limits, limit, 0, 5)
    for number in range(count):
        observe(context.limits, None, 10, 15, unreadable=["Server-Limit: few"])


@then("the unreadable text is logged once")
def step_impl(context):
    assert len(context.logs.of_event("backends.signal-unreadable")) == 1


@given("a limit of {limit:g} and then an answer without a seal that names none")
def step_impl(context, limit):
    context.limits = LimitTable()
    observe(context.limits, limit, 0, 5)
    observe(context.limits, None, 10, 15, is_authentic=False)


@given("a limit of 2, then 3 requests, a limit of 1, and its end")
def step_impl(context):
    record_logs(context)
    table = LimitTable()
    observe(table, 2.0, 0, 5)
    for _ in range(3):
        table.record_send(NAME)
    observe(table, 1.0, 10, 15)
    observe(table, None, 20, 25)


@then("the log has the limits 2, 1 and none, with 0, 3 and 3 requests sent")
def step_impl(context):
    records = context.logs.of_event("backends.limit")
    assert [(each.per_s, each.sends) for each in records] == [
        (2.0, 0),
        (1.0, 3),
        (None, 3),
    ]
