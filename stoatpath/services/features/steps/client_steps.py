"""Steps that run the platform clients against the stand-ins."""

import asyncio

from behave import given, then, when

from stoatpath.clock import ManualClock
from stoatpath.outcomes import is_failure
from stoatpath.services.connections import PlatformConnection
from stoatpath.services.instance_lists import InstanceList
from stoatpath.services.messages import (
    Applied,
    Condition,
    ListedInstance,
    Put,
    Rejected,
    Transaction,
)
from stoatpath.services.objects import ObjectStore
from stoatpath.services.ratings import RatingService
from stoatpath.services.tables import Table
from stoatpath.standins.faults import Fault
from stoatpath.standins.instance_lists import InstanceListStandin
from stoatpath.standins.objects import ObjectStoreStandin
from stoatpath.standins.ratings import RatingStandin
from stoatpath.standins.tables import TableStandin

TIMEOUT_MS = 1_500
SLOW_MS = 4_000
KEY = "leases/a"


def _build_client(service, url):
    clients = {
        "table": Table,
        "object-store": ObjectStore,
        "instance-list": InstanceList,
        "ratings": RatingService,
    }
    return clients[service].from_url(url, timeout_ms=TIMEOUT_MS)


def _build_standin(service):
    if service == "table":
        return TableStandin(clock=ManualClock())
    if service == "object-store":
        return ObjectStoreStandin()
    if service == "ratings":
        return RatingStandin()
    standin = InstanceListStandin()
    standin.add(ListedInstance("r1", "router", "127.0.0.1:1", "a", "", "live"))
    return standin


def _build_write(table, value="mine", version=0):
    return Transaction([Condition(KEY, version)], [Put(KEY, value)])


def _call(client, operation):
    calls = {
        "transact": lambda: client.transact(_build_write(client)),
        "read": lambda: (
            client.read() if isinstance(client, InstanceList) else client.read([KEY])
        ),
        "scan": lambda: client.scan("leases/"),
        "put": lambda: client.put("snapshots/1", {"revision": 1}),
        "get": lambda: client.get("snapshots/1"),
        "list": lambda: client.keys("snapshots/"),
        "delete": lambda: client.delete("snapshots/1"),
        "rate": lambda: client.rate("r", "tide-note", "m@1", "[quality 0.9]"),
    }
    return calls[operation]()


def _reach_count(standin):
    if isinstance(standin, TableStandin):
        return standin.writes + standin.reads
    if isinstance(standin, ObjectStoreStandin):
        return standin.calls
    if isinstance(standin, RatingStandin):
        return standin.ratings
    return standin.reads


async def _final_reach_count(context):
    """Return how often the stand-in was reached, including late calls."""
    if context.fault == "slow":
        while not _reach_count(context.standin):
            await asyncio.sleep(SLOW_MS / 1000)
    return _reach_count(context.standin)


def _run_with_client(context, use):
    """Run `use(client)` against the started stand-in."""

    async def run():
        url = await context.standin.start()
        client = _build_client(context.service, url)
        try:
            return await use(client)
        finally:
            await client.close()
            await context.standin.stop()

    return asyncio.run(run())


@given("the stand-in of the {service}")
def step_impl(context, service):
    context.service = service
    context.standin = _build_standin(service)
    context.has_kept_connection = False
    context.fault = ""


@given("its next {operation} has the fault {fault}")
def step_impl(context, operation, fault):
    context.fault = fault
    context.standin.faults.add(Fault(operation, fault, delay_ms=SLOW_MS))


@given("its next transactions have the faults {faults}")
def step_impl(context, faults):
    context.faults = faults.split(",")


@given("it is down for {count:d} calls")
def step_impl(context, count):
    context.standin.faults.add(Fault("read", "down", count=count))


@given("a first put has left a kept-alive connection")
def step_impl(context):
    context.has_kept_connection = True


@when("the client calls {operation} {count:d} times")
def step_impl(context, operation, count):
    async def use(client):
        results = [await _call(client, operation) for _ in range(count)]
        context.next = await _call(client, operation)
        return results

    context.results = _run_with_client(context, use)


@when("the client calls {operation}")
def step_impl(context, operation):
    async def use(client):
        if context.has_kept_connection:
            kept = context.standin.faults
            context.standin.faults = type(kept)()
            await _call(client, operation)
            context.standin.faults = kept
        context.result = await _call(client, operation)
        context.counts = (client.connection.calls, client.connection.failures)
        context.reached = await _final_reach_count(context)
        context.next = await _call(client, operation)
        assert client.connection.bytes_sent > 0

    _run_with_client(context, use)


@when("a conditional write is sent and its result resolved")
def step_impl(context):
    async def use(table):
        _schedule_faults(context, table)
        result = await table.transact_and_verify(_build_write(table))
        context.row = (await table.read([KEY]))[KEY]
        return result

    context.result = _run_with_client(context, use)


def _schedule_faults(context, table):
    """Give each transaction the next fault of the list."""
    post = table.connection.post

    async def post_with_fault(path, message):
        kind = context.faults.pop(0) if "transact" in path and context.faults else ""
        if kind == "another-writer":
            context.standin.put(KEY, "theirs")
        elif kind:
            fault = Fault("transact", kind, delay_ms=SLOW_MS)
            context.standin.faults.add(fault)
        return await post(path, message)

    table.connection = _FaultyConnection(table.connection, post_with_fault)


class _FaultyConnection(PlatformConnection):
    """A connection whose `post` adds a fault before each call."""

    __slots__ = ("post", "_inner")

    def __init__(self, inner, post):
        super().__init__("", TIMEOUT_MS)
        self._inner = inner
        self.post = post

    async def close(self):
        await self._inner.close()


@when("{count:d} writes are sent within one second")
def step_impl(context, count):
    async def use(table):
        puts = [Transaction([], [Put(f"k/{i}", i)]) for i in range(count)]
        results = [await table.transact(put) for put in puts]
        context.throttled = table.connection.throttled
        return results

    context.results = _run_with_client(context, use)


@when("{count:d} rows are put and {deleted:d} of them deleted")
def step_impl(context, count, deleted):
    for index in range(count):
        context.standin.put(f"rows/{index:05d}", index)

    async def use(table):
        keys = [f"rows/{index:05d}" for index in range(deleted)]
        await table.transact(Transaction([], [], keys))
        return await table.scan("rows/")

    context.rows = _run_with_client(context, use)


@then("the result is a failure with the outcome {outcome}")
def step_impl(context, outcome):
    assert is_failure(context.result), context.result
    assert context.result.outcome.value == outcome, context.result


@then("the stand-in was reached {count:d} times")
def step_impl(context, count):
    assert context.reached == count, context.reached


@then("the client counted 1 call and 1 failure")
def step_impl(context):
    assert context.counts == (1, 1), context.counts


@then("the next {operation} succeeds")
def step_impl(context, operation):
    assert not is_failure(context.next), context.next


@then("the result of the write is {expected}")
def step_impl(context, expected):
    result = context.result
    if is_failure(result):
        seen = result.outcome.value
    else:
        seen = {Applied: "applied", Rejected: "rejected"}[type(result)]
    assert seen == expected, result


@then("the row was written {count:d} times")
def step_impl(context, count):
    assert context.row.version == count, context.row.version


@then("reading back shows no row")
def step_impl(context):
    assert context.row.version == 0


@then("all {count:d} results are failures with the outcome {outcome}")
def step_impl(context, count, outcome):
    assert len(context.results) == count
    assert all(each.outcome.value == outcome for each in context.results)


@then("{count:d} are refused as throttled and counted by the client")
def step_impl(context, count):
    refused = [result for result in context.results if is_failure(result)]
    assert len(refused) == count == context.throttled, len(refused)


@then("a scan returns {count:d} rows")
def step_impl(context, count):
    assert len(context.rows) == count
