"""Steps about changes of the store while requests end the replicas that run them."""

import asyncio

from behave import given, then, when
from callers import request_headers, send_request

from stoatpath.clock import Clock

POISON_PERIOD_S = 0.25
REQUEST_PERIOD_S = 0.05
LEAVE_AFTER_S = 2.0


@given('requests for "{path}" end the replica that runs them')
def step_impl(context, path):
    context.fleet.deployment.crash_on(path=path)
    context.route = path.split("/")[1]
    context.statuses = []
    context.delays_ms = []


@when(
    "callers send these and others for {seconds:d} s, the configuration changes every "
    "{period:d} ms, and {name} begins to leave"
)
def step_impl(context, seconds, period, name):
    fleet = context.fleet
    deployment = fleet.deployment
    # It gets no poison: what it received is kept by the stand-in itself.
    context.leaving = fleet.replica(name)
    context.leaving.poison_path = None

    async def send(number, path):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        headers = request_headers(context.route, f"{path}-{number}")
        answer = await send_request(gateway, context.route, headers=headers, path=path)
        context.statuses.append(answer.status)

    async def send_all(path, period_s):
        tasks = []
        for number in range(int(seconds / period_s)):
            tasks.append(asyncio.create_task(send(number, path)))
            await asyncio.sleep(period_s)
        await asyncio.gather(*tasks)

    async def change():
        watches = []
        for version in range(2, 2 + 1000 * seconds // period):
            config = deployment.config | {"version": version}
            await deployment.store.put("op", "config", config)
            watches.append(asyncio.create_task(watch(version, Clock().now_ms())))
            await asyncio.sleep(period / 1000)
        await asyncio.gather(*watches)

    async def watch(version, confirmed_ms):
        while any(each.routes.table.revision < version for each in fleet.gateways):
            await asyncio.sleep(0.005)
        context.delays_ms.append(Clock().now_ms() - confirmed_ms)

    async def leave():
        await asyncio.sleep(LEAVE_AFTER_S)
        row = context.leaving.server_row("draining")
        await deployment.store.put("servers", name, row)
        context.left_ms = Clock().now_ms()

    async def work():
        async with asyncio.timeout(30):
            await asyncio.gather(
                send_all("poison", POISON_PERIOD_S),
                send_all("1?a=b", REQUEST_PERIOD_S),
                change(),
                leave(),
            )

    fleet.run(work())


@then("replicas ended, and requests were served")
def step_impl(context):
    assert context.fleet.deployment.crashes_ms
    assert context.statuses.count(200) * 2 > len(context.statuses), context.statuses


@then(
    "each change was in force at all gateways within {limit:d} ms of its confirmation"
)
def step_impl(context, limit):
    assert max(context.delays_ms) <= limit, max(context.delays_ms)


@then(
    "{name} got no request later than {limit:d} ms after its leaving was confirmed"
)
def step_impl(context, name, limit):
    due_ms = context.left_ms + limit
    arrivals = context.leaving.arrivals
    assert any(at_ms < context.left_ms for at_ms, _ in arrivals)
    late = [request_id for at_ms, request_id in arrivals if at_ms > due_ms]
    assert not late, late
