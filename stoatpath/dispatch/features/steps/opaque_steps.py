"""Steps for streams split at events, and for the budget of extra sends."""

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st

from stoatpath.clock import ManualClock
from stoatpath.dispatch.event_splitters import EventSplitter
from stoatpath.dispatch.window_budgets import WindowBudget

SERVICE = "desk-assist"
WINDOW_MS = 10_000.0


def event_ids_in(data):
    lines = data.decode().splitlines()
    return [line.split()[1] for line in lines if line.startswith("id: ")]


@given("the bytes {chunks}")
def step_impl(context, chunks):
    # Chunks are separated by blanks; "~" stands for a blank within one.
    text = chunks.replace("id: ", "id:~").replace("v: ", "v:~")
    parts = [part.replace("~", " ").replace("\\n", "\n") for part in text.split()]
    context.chunks = [part.encode() for part in parts]


@when("they are split after event {start}")
def step_impl(context, start):
    context.splitter = EventSplitter("" if start == "0" else start)
    context.relayed = b"".join(context.splitter.feed(chunk) for chunk in context.chunks)


@then("the events {relayed} are relayed")
def step_impl(context, relayed):
    assert event_ids_in(context.relayed) == relayed.split(), context.relayed


@then("the events  are relayed")
def step_impl(context):
    assert context.relayed == b"", context.relayed


@then("the rest is {verdict}")
def step_impl(context, verdict):
    splitter = context.splitter
    found = (
        "broken"
        if splitter.problem
        else "partial" if splitter.has_partial_event else "complete"
    )
    assert found == verdict, found


@given("any division into chunks of a stream of {count:d} events")
def step_impl(context, count):
    events = [
        f"id: {number}\ndata: {'x' * number}\n\n" for number in range(1, count + 1)
    ]
    stream = "".join(events).encode()

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(st.integers(0, len(stream)), max_size=40))
    def holds(offsets):
        splitter = EventSplitter("")
        relayed = []
        offsets = [0, *sorted(offsets), len(stream)]
        for start, end in zip(offsets, offsets[1:]):
            complete = splitter.feed(stream[start:end])
            assert complete.endswith(b"\n\n") or not complete
            relayed.append(complete)
        assert b"".join(relayed) == stream
        assert splitter.problem is None and not splitter.has_partial_event
        assert splitter.events == count

    context.property = holds


@then("each complete event is relayed once, in order")
def step_impl(context):
    context.property()


@given("a budget of {ratio:f} of the requests in {window:d} ms")
def step_impl(context, ratio, window):
    context.ratio = ratio
    context.clock = ManualClock(1_000_000.0)
    context.budget = WindowBudget(ratio, window, 0.0, context.clock)


@when("requests and retries come in any order")
def step_impl(context):
    ratio = context.ratio
    steps = st.tuples(st.integers(0, 2_000), st.booleans())

    @settings(derandomize=True, deadline=None)
    @forall(st.lists(steps, max_size=80))
    def holds(items):
        clock = ManualClock(1_000_000.0)
        budget = WindowBudget(ratio, WINDOW_MS, 0.0, clock)
        requests, extras = [], []
        for pause_ms, is_request in items:
            clock.advance_by(pause_ms)
            now_ms = clock.now_ms()
            if is_request:
                budget.record_request(SERVICE)
                requests.append(now_ms)
            elif budget.try_spend(SERVICE):
                extras.append(now_ms)
                begin_ms = now_ms - WINDOW_MS
                extra_count = sum(each > begin_ms for each in extras)
                # A time bucket expires as a whole, up to 250 ms after its oldest entry.
                request_count = sum(each > begin_ms - 250.0 for each in requests)
                assert extra_count <= ratio * request_count, (
                    extra_count,
                    request_count,
                )

    context.property = holds


@then("no window holds more extra sends than the ratio allows")
def step_impl(context):
    context.property()


@when("{count:d} requests spend as much as allowed")
def step_impl(context, count):
    for _ in range(count):
        context.budget.record_request(SERVICE)
    while context.budget.try_spend(SERVICE):
        pass


@then("nothing remains, and nothing is regained after {wait:d} ms")
def step_impl(context, wait):
    assert context.budget.remaining(SERVICE) < 1.0
    context.clock.advance_by(wait)
    assert not context.budget.try_spend(SERVICE)


@when("{count:d} requests spend as much as allowed on hedges")
def step_impl(context, count):
    for _ in range(count):
        context.budget.record_request(SERVICE)
    while context.budget.try_spend_on_hedge(SERVICE):
        pass


@then("at least {count:d} extra sends remain for retries")
def step_impl(context, count):
    assert context.budget.remaining(SERVICE) >= count
