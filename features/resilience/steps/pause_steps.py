"""Steps about a process that is paused between a check and its act."""

import asyncio
import os
import random
import time
from types import SimpleNamespace

import aiohttp
import uvloop
from behave import given, then, when
from malformed_steps import send_look, use_deployment
from stop_steps import look_request, open_connection, read_status
from task_steps import replace, wait_until

from stoatpath.backpressure.messages import BackendSignals
from stoatpath.clock import ManualClock
from stoatpath.dispatch.attempts import AttemptRunner
from stoatpath.dispatch.window_budgets import WindowBudget
from stoatpath.outcomes import CONNECT_FAILED, Failure
from stoatpath.standins.deployments import CALLER_KEY

KEY_OF_NOBODY = "another-key"


def patch_connect(context, act):
    """Call `act(address)` once, when a connection to a backend server has opened."""
    original = aiohttp.TCPConnector.connect
    context.acts = 0

    async def connect(connector, request, traces, timeout):
        connection = await original(connector, request, traces, timeout)
        addresses = {each.address for each in replicas(context)}
        address = f"{request.url.host}:{request.url.port}"
        if address in addresses and not context.acts:
            context.acts += 1
            context.slow_address = address
            await act(address)
        return connection

    replace(context, aiohttp.TCPConnector, "connect", connect)


def replicas(context):
    return context.deployment.replicas_by_name.values()


@given("a gateway that fails closed, with a bound of {bound:d} ms on revoked keys")
def step_impl(context, bound):
    use_deployment(context)

    async def work():
        deployment = context.deployment
        await deployment.start(models=0, plain=2, gateways=0)
        await deployment.add_gateway("gateway-0", fail_closed=True, revoke_ms=bound)
        await deployment.wait_until_in_sync()

    context.loop.run_until_complete(work())


@given("its process is paused for {pause:d} ms as a connection opens")
def step_impl(context, pause):
    async def act(address):
        # The event loop stands still, as that of a stopped process does.
        time.sleep(pause / 1000)

    patch_connect(context, act)


@given("a connection that takes 400 ms, in which the key of the caller is revoked")
def step_impl(context):
    async def act(address):
        deployment = context.deployment
        organisation = {"name": "harbour", "api_keys": [KEY_OF_NOBODY]}
        await deployment.update_config(tenants=[organisation])

    patch_connect(context, act)


@given("a connection that takes 400 ms, in which another organisation gets the key")
def step_impl(context):
    async def act(address):
        organisation = {"name": "heir", "api_keys": [CALLER_KEY]}
        await context.deployment.update_config(tenants=[organisation])

    patch_connect(context, act)


@given("a connection that takes 400 ms, in which its backend server begins to leave")
def step_impl(context):
    async def act(address):
        (replica,) = [each for each in replicas(context) if each.address == address]
        await context.deployment.store.put(
            "servers", replica.name, replica.server_row("draining")
        )
        backends = context.deployment.gateways[0].backends
        await wait_until(lambda: backends.by_name[replica.name].is_leaving)

    patch_connect(context, act)


@given("a connection that takes 400 ms, in which its backend server is no candidate")
def step_impl(context):
    async def act(address):
        policy = context.deployment.gateways[0].attempts._policy
        original = type(policy).candidates

        def candidates(policy, *rest):
            backends = original(policy, *rest)
            return [each for each in backends if each.address != address]

        replace(context, type(policy), "candidates", candidates)
        await asyncio.sleep(0.4)

    patch_connect(context, act)


@given("all backend servers name a limit of {limit:d} requests a second")
def step_impl(context, limit):
    gate = context.deployment.gateways[0].send_gate
    for replica in replicas(context):
        replica.limit_per_s = float(limit)
        signals = BackendSignals(limit_per_s=float(limit))
        gate.observe(replica.name, signals, gate._clock.now_ms())

    async def work():
        # The issuer of permits grants none at first.
        for number in range(100):
            if await send_look(context.deployment.gateways[0], number) == 200:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        for replica in replicas(context):
            replica.received_count = 0

    context.loop.run_until_complete(work())


@when("a caller sends a look request")
def step_impl(context):
    gateway = context.deployment.gateways[0]
    context.decisions = []
    original = type(gateway.ring).record_decision

    def record(ring, request_id, step, reason, *rest, **details):
        context.decisions.append((step, reason, details.get("detail", "")))
        return original(ring, request_id, step, reason, *rest, **details)

    replace(context, type(gateway.ring), "record_decision", record)
    context.status = context.loop.run_until_complete(send_look(gateway, 77))
    assert context.acts == 1, context.decisions


@then("it is answered {statuses} and no backend server got it")
def step_impl(context, statuses):
    assert str(context.status) in statuses.split(" or "), context.decisions
    assert [each.received_count for each in replicas(context)] == [0] * len(
        replicas(context)
    )


@then("it is answered 200 by the other backend server alone")
def step_impl(context):
    assert context.status == 200, context.decisions
    for replica in replicas(context):
        expected = 0 if replica.address == context.slow_address else 1
        if replica.service == "booking-desk":
            assert replica.received_count == expected, context.decisions


@then("it is answered 200 by an attempt with a new permit")
def step_impl(context):
    assert context.status == 200, context.decisions
    attempts = [each for each in context.decisions if each[0] == "attempt"]
    assert [reason for _, reason, _ in attempts] == ["permission-expired"], attempts
    assert "limit reached" in attempts[0][2], attempts
    assert sum(each.received_count for each in replicas(context)) == 1


@given("a retry budget with room for one extra send")
def step_impl(context):
    context.clock = ManualClock()
    context.budget = WindowBudget(0.0, 3_000.0, 100.0, context.clock)


@when("the process is paused for 5 s after a retry was counted")
def step_impl(context):
    clock, budget = context.clock, context.budget
    router = SimpleNamespace(clock=clock, retry_budget=budget)
    policy = SimpleNamespace(
        may_resume=lambda request, version: True, may_run_again=lambda request: True
    )
    runner = AttemptRunner(router, random.Random(1), policy)
    request = SimpleNamespace(
        service=SimpleNamespace(name="s"),
        deadline_ms=60_000.0,
        is_repeatable=True,
        lost_runs=0,
        lost_beginnings=0,
        crashes=0,
    )
    state = SimpleNamespace(request=request, version=None, relay=None)

    async def retry(pause_ms, is_spent_meanwhile):
        waiting = asyncio.create_task(
            runner._wait_for_retry(state, Failure(CONNECT_FAILED, ""), 0)
        )
        await asyncio.sleep(0.01)
        clock.advance_by(pause_ms)
        if is_spent_meanwhile:
            assert budget.try_spend("s")
        return await waiting

    async def work():
        context.with_room = await retry(5_000, False)
        counted = 1.0 - budget.remaining("s")
        clock.advance_by(20_000)
        context.without_room = await retry(5_000, True)
        return counted

    context.counted = asyncio.run(work())


@then("the retry is sent only if there is room for another one")
def step_impl(context):
    assert context.with_room and context.counted == 1.0, context.counted
    assert not context.without_room


@given("a gateway on {loop} whose idle connections are closed after {idle:d} ms")
def step_impl(context, loop, idle):
    use_deployment(context)
    if loop == "uvloop":
        context.loop.close()
        context.loop = uvloop.new_event_loop()
    limits = context.deployment.config["limits"]
    context.deployment.config["limits"] = limits | {"idle_timeout_ms": idle}

    context.loop.run_until_complete(context.deployment.start(models=0, plain=1))


@given("a kept connection to it")
def step_impl(context):
    async def work():
        address = context.deployment.gateways[0].listener.address
        context.reader, context.writer = await open_connection(address)
        context.writer.write(look_request(1))
        assert await read_status(context.reader) == 200

    context.loop.run_until_complete(work())


@when("the event loop stands still for {pause:d} ms and a request arrives meanwhile")
def step_impl(context, pause):
    async def work():
        await asyncio.sleep(0.05)
        connection = context.writer.get_extra_info("socket")
        os.write(connection.fileno(), look_request(2))
        time.sleep(pause / 1000)
        context.status = await read_status(context.reader)

    context.loop.run_until_complete(work())


@then("the request on the kept connection is answered")
def step_impl(context):
    assert context.status == 200, context.status


@then("the connection is closed after {idle:d} ms without a request")
def step_impl(context, idle):
    async def work():
        began_s = time.monotonic()
        async with asyncio.timeout(5):
            assert await context.reader.read() == b""
        return 1000 * (time.monotonic() - began_s)

    assert context.loop.run_until_complete(work()) >= idle / 2
