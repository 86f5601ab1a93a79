"""Steps that send signals to router processes under load."""

import asyncio
import signal

import aiohttp
from behave import given, then, when
from loads import COMPLETED, DONE_EVENT, Load
from processes import ProcessSite

from stoatpath.billing.ledgers import read_ledger
from stoatpath.services.tables import Table
from stoatpath.tools.demonstrations import chat

WARM_UP_S = 0.5
SETTLE_TIME_S = 1.5
FAILURE_DETECTION_S = 6.0
PAUSE_S = 7.0
LEDGER_TIMEOUT_S = 15
BALANCER_LAG_MS = 700
TOKEN_MS = 1.5


def run_under_load(context, work):
    """Run `work(processes)` while callers send; store the results in the context."""

    async def run():
        processes = ProcessSite()
        try:
            await processes.start(context.routers, BALANCER_LAG_MS=BALANCER_LAG_MS)
            for engine in processes.site.engines_by_name.values():
                engine.token_ms = TOKEN_MS
            load = Load(processes.routers_by_name)

            async def run_work():
                await asyncio.sleep(WARM_UP_S + SETTLE_TIME_S)
                result = await work(processes)
                await asyncio.sleep(WARM_UP_S)
                return result

            context.exit_codes = await load.run_while(run_work)
            context.load = load
            context.executed_ids = executed_ids(processes.site)
            context.executed_bookings = executed_bookings(processes.site)
            context.records = await wait_for_ledger(processes.site, load)
            context.outputs = [
                router.output() for router in processes.routers_by_name.values()
            ]
        finally:
            await processes.stop()

    asyncio.run(run())


def executed_ids(site):
    """Return the identifiers of all requests that a backend server began to run."""
    engines = [each.executions for each in site.engines_by_name.values()]
    services = [each.executions for each in site.services_by_name.values()]
    ids = {execution.request_id for each in engines for execution in each}
    return ids | {execution[0] for each in services for execution in each}


def executed_bookings(site):
    """Return the bodies of all bookings that ran."""
    return [
        execution[3]
        for service in site.services_by_name.values()
        for execution in service.executions
        if execution[1] == "POST"
    ]


async def wait_for_ledger(site, load):
    """Return the identifiers in the ledger once it has all completed requests."""
    table = Table.from_url(site.settings("check", "zone-a").table_url)
    try:
        for _ in range(LEDGER_TIMEOUT_S * 5):
            records = [each["request_id"] for each in await read_ledger(table)]
            if completed_ids(load) <= set(records):
                break
            await asyncio.sleep(0.2)
        return records
    finally:
        await table.close()


def completed_ids(load):
    """Return the identifiers of all requests with a complete response."""
    return {each.request_id for each in load.replies if each.outcome == COMPLETED}


@given("a site of {count:d} router processes under load")
def step_impl(context, count):
    context.routers = count


@when("one router is sent SIGTERM while streams are open on it")
def step_impl(context):
    async def work(processes):
        router = processes.routers_by_name["router-1"]
        router.send(signal.SIGTERM)
        return [await router.wait()]

    run_under_load(context, work)


@when("one router is sent SIGHUP while streams are open on it")
def step_impl(context):
    async def work(processes):
        router = processes.routers_by_name["router-1"]
        router.send(signal.SIGHUP)
        await asyncio.sleep(SETTLE_TIME_S)
        return [router.process.returncode]

    run_under_load(context, work)


@then("it runs on")
def step_impl(context):
    assert context.exit_codes == [None], context.exit_codes


async def restart_each(processes, signal_number, gap_s):
    """Signal each router, wait for its exit and start it again."""
    codes = []
    for name in list(processes.routers_by_name):
        router = processes.routers_by_name[name]
        router.send(signal_number)
        codes.append(await router.wait())
        await processes.start_router(name, BALANCER_LAG_MS=BALANCER_LAG_MS)
        await asyncio.sleep(gap_s)
    return codes


@when("each router is sent SIGTERM and started again in turn")
def step_impl(context):
    run_under_load(
        context, lambda each: restart_each(each, signal.SIGTERM, SETTLE_TIME_S)
    )


@when("each router is sent SIGKILL and started again in turn")
def step_impl(context):
    run_under_load(
        context, lambda each: restart_each(each, signal.SIGKILL, FAILURE_DETECTION_S)
    )


@when("one router is sent SIGSTOP, and SIGCONT after the others consider it dead")
def step_impl(context):
    async def work(processes):
        router = processes.routers_by_name["router-2"]
        router.send(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        router.send(signal.SIGCONT)
        await asyncio.sleep(SETTLE_TIME_S)

    run_under_load(context, work)


@then("it exits with 0")
@then("they exit with 0")
def step_impl(context):
    assert set(context.exit_codes) == {0}, (context.exit_codes, context.outputs)


@then("every request of the load was completed")
def step_impl(context):
    failed = [each for each in context.load.replies if each.outcome != COMPLETED]
    assert not failed, failed
    kinds = {each.kind for each in context.load.replies}
    assert kinds == {"chat", "stream", "turn", "booking", "lookup"}


@then("more than 50 requests were completed, and none with the outcome not-run ran")
def step_impl(context):
    for reply in context.load.replies:
        if reply.outcome == "not-run":
            assert reply.request_id not in context.executed_ids, reply
    assert len(completed_ids(context.load)) > 50


@then("each session kept its version")
def step_impl(context):
    versions = context.load.versions_by_session
    assert len(versions) == 3, versions
    assert all(len(each) == 1 for each in versions.values()), versions


@then("each completed request is billed exactly once, and bookings ran at most once")
def step_impl(context):
    assert len(context.records) == len(set(context.records)), "billed twice"
    missing = completed_ids(context.load) - set(context.records)
    assert not missing, missing
    assert len(context.executed_bookings) == len(
        set(context.executed_bookings)
    ), "a booking ran twice"


@given("a router process with a stream of {seconds:d} seconds open")
def step_impl(context, seconds):
    context.seconds = seconds


def run_with_open_stream(context, work, **overrides):
    """Run `work(router)` while a stream is open at a router process."""

    async def run():
        processes = ProcessSite()
        try:
            await processes.start(1, BALANCER_LAG_MS=50, **overrides)
            router = processes.routers_by_name["router-1"]
            for engine in processes.site.engines_by_name.values():
                engine.token_ms = 10
            await asyncio.sleep(SETTLE_TIME_S)
            stream_reader = asyncio.create_task(read_stream(context, router))
            while not context.body:
                await asyncio.sleep(0.02)
            await work(router)
            context.exit_code = await router.wait()
            await stream_reader
            context.output = router.output()
        finally:
            await processes.stop()

    context.body = b""
    asyncio.run(run())


def open_chat(context, client, router, is_stream):
    """Send a chat completion of `context.seconds` seconds."""
    tokens = context.seconds * 100
    body = chat("desk-assist", "Summarise.", stream=is_stream, max_tokens=tokens)
    name = "foreshore-officers"
    headers = {
        "Authorization": f"Bearer {name}.{name}-sample-secret",
        "Stoatpath-Purpose": "lease-summary",
        "Stoatpath-Timeout-Ms": "120000",
    }
    url = f"http://{router.address}/v1/chat/completions"
    return client.post(url, json=body, headers=headers)


async def read_stream(context, router):
    """Read a stream into the context until it ends or fails."""
    async with aiohttp.ClientSession() as client:
        async with open_chat(context, client, router, is_stream=True) as response:
            context.request_id = response.headers["Stoatpath-Request-Id"]
            try:
                async for chunk in response.content.iter_any():
                    context.body += chunk
            except aiohttp.ClientError:
                return


@when("it is sent SIGTERM twice")
def step_impl(context):
    async def work(router):
        router.send(signal.SIGTERM)
        await asyncio.sleep(0.5)
        router.send(signal.SIGTERM)

    run_with_open_stream(context, work)


@then("it logs the open request and exits with 0 after the stream is complete")
def step_impl(context):
    assert "requests in flight: 1" in context.output, context.output
    assert context.request_id in context.output.split("requests in flight: 1")[1]
    assert context.exit_code == 0, context.output
    assert context.body.endswith(DONE_EVENT)


@when("it is sent SIGTERM with a shutdown timeout of 1 second")
def step_impl(context):
    async def work(router):
        router.send(signal.SIGTERM)

    run_with_open_stream(context, work, SHUTDOWN_TIMEOUT_MS=1_000)


@then("it exits with 1, and the stream has no end marker")
def step_impl(context):
    assert context.exit_code == 1, (context.exit_code, context.output)
    assert DONE_EVENT not in context.body


@when("it is sent SIGTERM with a shutdown timeout of 1 second, and an unstreamed one")
def step_impl(context):
    async def ask(router):
        async with aiohttp.ClientSession() as client:
            async with open_chat(context, client, router, is_stream=False) as response:
                return response.status, response.headers["Stoatpath-Outcome"]

    async def work(router):
        answer = asyncio.create_task(ask(router))
        await asyncio.sleep(SETTLE_TIME_S)
        router.send(signal.SIGTERM)
        context.answer = await answer

    run_with_open_stream(context, work, SHUTDOWN_TIMEOUT_MS=1_000)


@then(
    "it exits with {code:d}, and the unstreamed one is answered with {status:d}, "
    "outcome {outcome}"
)
def step_impl(context, code, status, outcome):
    assert context.exit_code == code, (context.exit_code, context.output)
    assert context.answer == (status, outcome), context.answer
