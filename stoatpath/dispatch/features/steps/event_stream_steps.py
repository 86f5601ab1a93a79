"""Steps for the split of streams into events, against a plain reference."""

import re

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.dispatch.event_splitters import EventSplitter

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_END = re.compile(rb"\r\n|\n|\r")
FIRST_BY_TEXT = {
    "from the beginning": ("",),
    "after the caller's 7": ("7",),
    "after another run's 7": ("7", True),
    "after another run's 7 with gaps": ("7", True, True),
}
line_ends = st.sampled_from([b"\n", b"\r\n", b"\r"])
fields = st.sampled_from(
    [b"data: x", b"data: id: 9", b":note", b"retry: 5", b"event: e"]
)


def reference_events(data):
    """Return the whole events of a stream, each as the list of its lines."""
    lines = LINE_END.split(data.removeprefix(BYTE_ORDER_MARK))
    events, event = [], []
    # What follows the last line ending is not a line yet.
    for line in lines[:-1]:
        if line:
            event.append(line)
        elif event:
            events.append(event)
            event = []
    return events, event + [line for line in lines[-1:] if line]


def in_order(events):
    """Return the events before the first whose number is not greater."""
    last = -1
    for index, event in enumerate(events):
        numbers = [int(line[3:]) for line in event if line.startswith(b"id:")]
        if numbers and numbers[-1] <= last:
            return events[:index]
        last = numbers[-1] if numbers else last
    return events


@st.composite
def streams(draw):
    data = BYTE_ORDER_MARK if draw(st.booleans()) else b""
    # Numbers mostly rise, now and then they don't.
    number = draw(st.integers(0, 3))
    for _ in range(draw(st.integers(0, 6))):
        lines = draw(st.lists(fields, max_size=3))
        if draw(st.integers(0, 3)):
            lines.insert(draw(st.integers(0, len(lines))), b"id: %d" % number)
            number += draw(st.sampled_from([1, 1, 1, 1, 2, 10, 0, -1]))
        for line in [*lines, b""]:
            data += line + draw(line_ends)
    data += draw(st.sampled_from([b"", b"", b"\n", b":no", b"da", b"id: 99\r\n"]))
    return data


@given("streams of any lines, line endings, comments and numbers")
def step_impl(context):
    @settings(derandomize=True, deadline=None, max_examples=400)
    @forall(streams(), st.data())
    def holds(stream, data):
        offsets = data.draw(st.lists(st.integers(0, len(stream)), max_size=30))
        offsets = sorted({*offsets, len(stream)})
        splitter = EventSplitter("")
        passed, start = b"", 0
        for end in offsets:
            passed += splitter.feed(stream[start:end])
            start = end
            assert stream.startswith(passed)
            expected = in_order(reference_events(stream[:end])[0])
            assert reference_events(passed) == (expected, []), (passed, expected)
        whole, rest = reference_events(stream)
        is_in_order = in_order(whole) == whole
        assert (splitter.problem is None) == is_in_order
        if is_in_order:
            assert passed + splitter.rest == stream
            is_partial = any(not line.startswith(b":") for line in rest)
            assert splitter.has_partial_event == is_partial

    context.property = holds


@then("each whole event is passed on as it arrives, up to the first out of order")
def step_impl(context):
    context.property()


@given("a stream of {data}")
def step_impl(context, data):
    context.data = data.encode().decode("unicode_escape").encode("latin-1")


@given("a stream with a number of {digits:d} digits")
def step_impl(context, digits):
    context.data = b"id: " + digits * b"1" + b"\ndata\n\n"


@when("it arrives byte by byte, {first}")
def step_impl(context, first):
    context.splitter = EventSplitter(*FIRST_BY_TEXT[first])
    parts = [context.data[index : index + 1] for index in range(len(context.data))]
    context.passed = b"".join(context.splitter.feed(part) for part in parts)


@then("events {numbers} are passed on, and the rest is {verdict}")
def step_impl(context, numbers, verdict):
    events, rest = reference_events(context.passed)
    found = [
        [line[3:].strip().decode() for line in event if line.startswith(b"id:")][-1]
        for event in events
        if not event[0].startswith(b":")
    ]
    assert found == numbers.split() and not rest, context.passed
    splitter = context.splitter
    if splitter.problem is not None:
        assert verdict == "broken", splitter.problem
    elif splitter.has_partial_event:
        assert verdict == "partial", splitter.rest
    else:
        assert verdict == "complete"


@then("events  are passed on, and the rest is {verdict}")
def step_impl(context, verdict):
    assert context.passed == b"", context.passed
    assert verdict == "broken" and context.splitter.problem is not None
