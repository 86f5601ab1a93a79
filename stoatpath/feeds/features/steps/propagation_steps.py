"""Steps on large rows that instances copy from each other over slow links."""

import asyncio
import base64
import zlib
from unittest import mock

from behave import given, then, when

from stoatpath.feeds import messages
from stoatpath.feeds.copies import TableCopy
from stoatpath.feeds.messages import TablesAnswer, TablesRequest, TableUpdate
from stoatpath.feeds.relays import TABLES_TOPIC
from stoatpath.measure.propagations import measure_change
from stoatpath.measure.relay_models import LEAD, ModelFleet, build_config_value
from stoatpath.measure.virtual_loops import run_virtually
from stoatpath.platform.row_stores import StoredRow
from stoatpath.utils import decode_json, encode_json

TABLE = "op"


def build_answer(copy):
    update = TableUpdate.from_copy(copy, None)
    return TablesAnswer(1.0, None, None, False, {TABLE: update})


def over_the_wire(answer, encodings):
    """Return the body of an answer and the answer as its asker reads it."""
    body = encode_json(answer.to_json(encodings))
    return body, TablesAnswer.from_json(decode_json(body))


@given("a copy with a row of {count:d} routes")
def step_impl(context, count):
    context.value = build_config_value(count, 1)
    context.copy = TableCopy()
    row = StoredRow("config", 1, context.value)
    context.copy.apply_full_read([row], 1, 0.0, 0.0)


@when('an asker that understands "{understood}" asks for it')
@when('an asker that understands "" asks for it')
def step_impl(context, understood=""):
    context.body, context.answer = over_the_wire(
        build_answer(context.copy), [understood]
    )


@then("the answer has at most {kilobytes:d} KB")
def step_impl(context, kilobytes):
    assert len(context.body) <= kilobytes * 1_000, len(context.body)


@then("the asker reads the same row")
def step_impl(context):
    (row,) = context.answer.updates_by_table[TABLE].rows
    assert row.value == context.value


@when("the row is passed on along a chain of {count:d} instances")
def step_impl(context, count):
    with mock.patch.object(messages.zlib, "compress", wraps=zlib.compress) as compress:
        copy = context.copy
        for _ in range(count):
            _, answer = over_the_wire(build_answer(copy), messages.ENCODINGS)
            update = answer.updates_by_table[TABLE]
            copy = TableCopy()
            copy.apply_full_read(update.rows, update.version, 0.0, 0.0)
    assert copy.rows_by_key["config"].value == context.value
    context.compressions = compress.call_count


@then("it is compressed once")
def step_impl(context):
    assert context.compressions == 1, context.compressions


@when("a request whose encodings are {encodings} arrives")
def step_impl(context, encodings):
    data = TablesRequest({}, 0.0, 0.0).to_json()
    del data["encodings"]
    if encodings == "null":
        data["encodings"] = None
    request = TablesRequest.from_json(data)
    context.wire = build_answer(context.copy).to_json(request.encodings)


@then("the rows of the answer have {count:d} fields")
def step_impl(context, count):
    rows = context.wire["tables"][TABLE]["rows"]
    assert [len(row) for row in rows] == [count]


@when("a request and an answer lack all fields that were added")
def step_impl(context):
    request = TablesRequest({TABLE: 3}, 1.0, 0.0).to_json()
    for name in ("encodings", "newest_version"):
        del request[name]
    answer = build_answer(context.copy).to_json()
    for name in ("expects_news", "is_arriving", "age_ms", "newest_version"):
        del answer[name]
    del answer["tables"][TABLE]["changed_store_ms"]
    context.request = TablesRequest.from_json(request)
    context.answer = TablesAnswer.from_json(answer)


@then("they are read, and tell nothing of these fields")
def step_impl(context):
    assert context.request.versions_by_table == {TABLE: 3}
    assert context.request.encodings == ()
    assert context.request.newest_version == 0
    answer = context.answer
    (row,) = answer.updates_by_table[TABLE].rows
    assert row.value == context.value
    assert answer.expects_news is None and answer.age_ms is None
    assert not answer.is_arriving and answer.newest_version == 0
    assert answer.updates_by_table[TABLE].changed_store_ms is None


@given("a compressed row with {fault}")
def step_impl(context, fault):
    compressed = zlib.compress(b"x" * 10_000)
    encoding = "zlib"
    if fault == "an unknown encoding":
        encoding = "other"
    elif fault == "a cut-off value":
        compressed = compressed[:-8]
    elif fault == "a value too large":
        compressed = zlib.compress(bytes(messages.MAX_VALUE_BYTES + 1))
    elif fault == "no zlib data":
        compressed = b"plain text"
    else:
        assert fault == "no value"
        compressed = None
    text = None if compressed is None else base64.b64encode(compressed).decode()
    context.update = {
        "rows": [["config", 1, text, False, encoding]],
        "version": 1,
        "confirmed_store_ms": 1.0,
        "is_whole": True,
    }


@then("the update is rejected as malformed")
def step_impl(context):
    try:
        TableUpdate.from_json(context.update)
    except ValueError:
        return
    raise AssertionError("the update was accepted")


@given("{count:d} instances with links of {links} Mbit/s and a bound of {bound:d} ms")
def step_impl(context, count, links, bound):
    context.sizes = count, bound, [float(each) for each in links.split(",")]


def run_change(context, routes, **details):
    count, bound_ms, links = context.sizes
    context.times = measure_change(count, 3, bound_ms, links, routes=routes, **details)


@when("{routes:d} routes are added")
def step_impl(context, routes):
    run_change(context, routes)


@then("all have the change within {limit:d} ms")
def step_impl(context, limit):
    assert context.times.last_ms <= limit, str(context.times)


@then("at most {megabytes:d} MB were sent")
def step_impl(context, megabytes):
    assert context.times.bytes_sent <= megabytes * 1e6, str(context.times)


@then("no answer is given up and no source rejected")
def step_impl(context):
    assert context.times.given_up == 0, str(context.times)
    assert not context.times.rejected, str(context.times)


@when("{routes:d} routes are added as the fault {fault} begins")
def step_impl(context, routes, fault):
    run_change(context, routes, fault=fault)


@then("all instances have the change within {limit:d} ms")
def step_impl(context, limit):
    assert context.times.last_ms <= limit, str(context.times)


@then("at most {count:d} sources are rejected")
def step_impl(context, count):
    assert context.times.rejected.total() <= count, str(context.times)


@then("at most {count:d} store calls are made within 50 ms")
def step_impl(context, count):
    assert context.times.peak_calls <= count, str(context.times)


def pick_leaf(fleet):
    """Return an instance that no other follows."""
    sources = {
        each.relay.source.name
        for each in fleet.instances_by_name.values()
        if each.relay.source is not None
    }
    return next(
        each for name, each in fleet.instances_by_name.items() if name not in sources
    )


@when("one loses its source and the store as {routes:d} routes are added")
def step_impl(context, routes):
    context.routes = routes


@when("it hears of the newer version from {sender} {delay:d} ms later")
def step_impl(context, sender, delay):
    count, bound_ms, links = context.sizes

    async def main(loop):
        fleet = ModelFleet(loop, count, 3, bound_ms, links_mbits=links)
        fleet.start()
        try:
            await asyncio.sleep(5)
            leaf = pick_leaf(fleet)
            while leaf.relay.copy_age_ms() > 20:
                await asyncio.sleep(0.005)
            fleet.store.unreachable_from.add(leaf.name)
            fleet.cuts.add(frozenset((leaf.name, leaf.relay.source.name)))
            value = build_config_value(context.routes, 2)
            version = fleet.store.put(LEAD, "config", value=value)
            started_s = loop.time()
            await asyncio.sleep(delay / 1000)
            if sender == "an asker":
                request = TablesRequest({}, 0.0, 0.0, newest_version=version)
                handler = fleet.handlers_by_name[leaf.name][TABLES_TOPIC]
                await handler(request.to_json())
                assert leaf.relay.behind_since_ms is not None
            while leaf.version(LEAD) < version:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.1)
            assert leaf.relay.behind_since_ms is None
            return (loop.time() - started_s) * 1000 - 100
        finally:
            await fleet.stop()

    context.time_ms = run_virtually(main)


@then("it has the change within {limit:d} ms")
def step_impl(context, limit):
    assert context.time_ms <= limit, context.time_ms


@when("{routes:d} routes are added and each instance tells how long that took")
def step_impl(context, routes):
    count, bound_ms, links = context.sizes

    async def main(loop):
        fleet = ModelFleet(loop, count, 3, bound_ms, links_mbits=links)
        fleet.start()
        try:
            await asyncio.sleep(5)
            value = build_config_value(routes, 2)
            version = fleet.store.put(LEAD, "config", value=value)
            started_s = loop.time()
            measured_ms = {}
            while len(measured_ms) < count:
                for name, each in fleet.instances_by_name.items():
                    if each.version(LEAD) >= version and name not in measured_ms:
                        measured_ms[name] = (loop.time() - started_s) * 1000
                await asyncio.sleep(0.005)
            return [
                (
                    measured_ms[name],
                    each.relay.change_delay_ms,
                )
                for name, each in fleet.instances_by_name.items()
            ]
        finally:
            await fleet.stop()

    context.delays = run_virtually(main)


@then("each tells the measured time, with an error of at most {limit:d} ms")
def step_impl(context, limit):
    for measured_ms, told_ms in context.delays:
        assert abs(measured_ms - told_ms) <= limit, context.delays
