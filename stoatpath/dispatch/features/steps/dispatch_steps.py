"""Steps for attempts, retries, hedges and streams."""

import asyncio

from behave import given, then, when
from dispatch_rig import CallerStream, Rig, outcome_of, wait_until

from stoatpath.outcomes import is_failure
from stoatpath.utils import decode_json

# Longer than any request of a scenario takes.
NO_HEDGE_MS = 60_000.0
KINDS = {
    "completion": {},
    "stream": {"stream": True},
    "call": {"plain": True},
    "put": {"plain": True, "method": "PUT"},
    "delete": {"plain": True, "method": "DELETE", "body": None},
}


@given("backend servers that share a fault table")
def step_impl(context):
    context.faults = []
    context.backends = {}
    context.preparations = []
    context.has_warm_connections = False


@given('the next request meets "{fault}"')
def step_impl(context, fault):
    context.faults.append((fault, 1))


@given('every request meets "{fault}"')
def step_impl(context, fault):
    context.faults.append((fault, None))


@given("one backend server of each kind")
def step_impl(context):
    context.backends = {"engines": 1, "services": 1}


@given("connections that were used before")
def step_impl(context):
    context.has_warm_connections = True


@given("all connections are refused")
def step_impl(context):
    context.preparations.append(_refuse_all_connections)


def _refuse_all_connections(rig):
    for name in rig.router.backends.by_name:
        rig.refuse_connections(name)


@given("one backend server of each kind refuses connections")
def step_impl(context):
    context.preparations.append(_refuse_one_each)


def _refuse_one_each(rig):
    for name in ("e0", "s0"):
        rig.refuse_connections(name)


@given("engines that do not resume streams")
def step_impl(context):
    context.preparations.append(_disable_resuming)


def _disable_resuming(rig):
    for backend in rig.router.backends.by_name.values():
        backend.resumes = False
    for engine in rig.engines:
        engine.resumes = False


@when("a {repeatability} {kind} is sent")
def step_impl(context, repeatability, kind):
    is_repeatable = repeatability == "repeatable"

    async def run():
        rig = Rig()
        await rig.start(**context.backends)
        for prepare in context.preparations:
            prepare(rig)
        for number in range(10, 12 if context.has_warm_connections else 10):
            await rig.run(rig.request(number, **KINDS[kind]))
        rig.results.clear()
        for fault, count in context.faults:
            rig.inject_fault(fault, count, delay_ms=400)
        request = rig.request(1, repeatable=is_repeatable, **KINDS[kind])
        result, caller = await rig.run(request)
        await asyncio.sleep(0.05)
        await rig.stop()
        return rig, request, result, caller

    context.rig, context.request, context.result, context.caller = asyncio.run(run())


@when("{count:d} {kind} requests are sent in turn")
def step_impl(context, count, kind):
    async def run():
        rig = Rig()
        await rig.start(**context.backends)
        for fault, fault_count in context.faults:
            rig.inject_fault(fault, fault_count)
        for number in range(count):
            result, _ = await rig.run(rig.request(number, **KINDS[kind]))
        await rig.stop()
        return rig, result

    context.rig, context.result = asyncio.run(run())


@then('the outcome is "{outcome}" for "{reason}"')
def step_impl(context, outcome, reason):
    result = context.result
    found = result.reason.name if is_failure(result) else "none"
    assert (outcome_of(result), found) == (outcome, reason), result


@then("it ran {count:d} times")
def step_impl(context, count):
    ran = context.rig.count_runs(context.request.request_id)
    assert ran == count, ran


@then("{count:d} attempts were reported to routing")
def step_impl(context, count):
    assert len(context.rig.results) == count, len(context.rig.results)


@then("the caller got the complete answer to its own request")
def step_impl(context):
    result = context.result
    assert not is_failure(result), result
    if context.caller is not None:
        _check_stream(context)
    elif context.request.body and isinstance(context.request.body, bytes):
        answer = decode_json(result.body)
        assert answer["request_id"] == context.request.request_id
    else:
        answer = decode_json(result.body)
        assert answer["id"] == context.request.request_id
        assert "question 1" in result.text


def _check_stream(context):
    events = _events(context.caller.received)
    assert all(event["id"] == context.request.request_id for event in events)
    text = "".join(event["choices"][0]["delta"]["content"] for event in events)
    assert text == context.result.text
    words = text.split()
    assert words[-1] == "w39" and len(words) == 40, words
    assert events[-1]["choices"][0]["finish_reason"] == "stop"
    assert len(events) == 41, len(events)


def _events(data):
    chunks = data.split(b"\n\n")
    return [decode_json(chunk.removeprefix(b"data: ")) for chunk in chunks if chunk]


@then("the caller got no byte of another answer")
def step_impl(context):
    received = context.caller.received if context.caller else b""
    assert b"foreign" not in received and b"wrong@0" not in received
    assert b"other" not in received, received


@then("the caller's stream is not ended")
def step_impl(context):
    assert is_failure(context.result)
    assert b"[DONE]" not in context.caller.received


@when("requests were answered and then all open connections go silent")
def step_impl(context):
    async def run():
        rig = Rig()
        await rig.start(engines=1, services=1)
        for number in range(6):
            await rig.run(rig.request(number, plain=number % 2 == 0))
        await asyncio.gather(
            *(rig.run(rig.request(10 + number, plain=False)) for number in range(4))
        )
        for standin in rig.engines + rig.services:
            standin.connections.silence_open()
        context.results = []
        for number, plain in ((20, False), (21, True), (22, False), (23, True)):
            request = rig.request(number, plain=plain)
            result, _ = await rig.run(request)
            context.results.append((request.request_id, result))
        context.non_repeatable = rig.request(30, plain=True, repeatable=False)
        for standin in rig.engines + rig.services:
            standin.connections.silence_open()
        context.non_repeatable_result, _ = await rig.run(context.non_repeatable)
        await rig.stop()
        return rig

    context.rig = asyncio.run(run())


@then("each later repeatable request is answered on a new connection and ran once")
def step_impl(context):
    for request_id, result in context.results:
        assert not is_failure(result), (request_id, result)
        assert context.rig.count_runs(request_id) == 1


@then("each backend server lost exactly one request")
def step_impl(context):
    for standin in context.rig.engines + context.rig.services:
        assert (
            standin.connections.unanswered_count == 1
        ), standin.connections.unanswered_count


@then("a non-repeatable request used no silent connection")
def step_impl(context):
    assert not is_failure(context.non_repeatable_result), context.non_repeatable_result
    assert context.rig.count_runs(context.non_repeatable.request_id) == 1


@when("an answer is sent twice and other requests follow on the connection")
def step_impl(context):
    async def run():
        rig = Rig()
        await rig.start(engines=1, services=1)
        context.results = []
        for number in range(12):
            if number in (4, 5):
                rig.inject_fault("twice")
            request = rig.request(number, plain=number % 2 == 0)
            result, _ = await rig.run(request)
            context.results.append((request.request_id, result))
            await asyncio.sleep(0.05)
        await rig.stop()
        return rig

    context.rig = asyncio.run(run())


@then("every request got its own answer")
def step_impl(context):
    for request_id, result in context.results:
        assert not is_failure(result), (request_id, result)
        assert request_id.encode() in result.body, (request_id, result.body)


@when("a plain service that echoes no identifier sends an answer twice")
def step_impl(context):
    async def run():
        rig = Rig()
        await rig.start(engines=0, services=1)
        rig.services[0].echoes = False
        context.results = []
        for number in range(4):
            rig.inject_fault("twice")
            request = rig.request(number, plain=True)
            result, _ = await rig.run(request)
            context.results.append((request.request_id, result))
            await asyncio.sleep(0.05)
        await rig.stop()
        return rig

    context.rig = asyncio.run(run())


@when("a first attempt is slow after a history of fast ones")
def step_impl(context):
    async def run():
        rig = Rig(first_byte_limit_ms=5_000)
        await rig.start()
        hedge_min_ms = rig.router.settings.hedge_min_ms
        rig.router.settings.hedge_min_ms = NO_HEDGE_MS
        for number in range(10, 30):
            await rig.run(rig.request(number, stream=context.is_stream))
        rig.router.settings.hedge_min_ms = hedge_min_ms
        rig.inject_fault("slow", delay_ms=2_000)
        context.request = rig.request(1, stream=context.is_stream)
        started_ms = rig.clock.now_ms()
        context.result, context.caller = await rig.run(context.request)
        context.elapsed_ms = rig.clock.now_ms() - started_ms
        await wait_until(rig.cancelled_attempt_ids)
        await rig.stop()
        return rig

    context.rig = asyncio.run(run())


@given("requests that are {kind}")
def step_impl(context, kind):
    context.is_stream = kind == "streamed"


@then("the slow attempt was cancelled at its engine")
def step_impl(context):
    assert context.rig.cancelled_attempt_ids() == {
        "req-1.1"
    }, context.rig.cancelled_attempt_ids()


@then("a hedge was sent within the budget")
def step_impl(context):
    hedges = [each for each in context.rig.decisions if each[0] == "hedge"]
    assert len(hedges) == 1, hedges


@when("the caller disconnects {moment}")
def step_impl(context, moment):
    async def run():
        rig = Rig(first_byte_limit_ms=5_000)
        await rig.start(token_ms=5)
        request = rig.request(1, stream=True)
        caller = CallerStream(
            disconnects_after=3 if moment == "during its stream" else None
        )
        task = asyncio.create_task(rig.run(request, caller))
        if moment == "before its answer":
            await wait_until(lambda: rig.count_runs("req-1"))
            task.cancel()
        result = (await asyncio.gather(task, return_exceptions=True))[0]
        await wait_until(rig.cancelled_attempt_ids)
        await wait_until(lambda: all(not engine.running for engine in rig.engines))
        context.finished = [
            each.finished for engine in rig.engines for each in engine.executions
        ]
        await rig.stop()
        return result

    context.result = asyncio.run(run())


@then("the engine received the cancellation and stopped")
def step_impl(context):
    assert context.finished == [False], context.finished


@when("{count:d} repeatable requests are sent")
def step_impl(context, count):
    async def run():
        rig = Rig()
        await rig.start()
        for fault, times in context.faults:
            rig.inject_fault(fault, times)
        for number in range(count):
            await rig.run(rig.request(number))
        await rig.stop()
        return rig

    context.rig = asyncio.run(run())


@then("at most {count:d} attempts were sent")
def step_impl(context, count):
    assert len(context.rig.results) <= count, len(context.rig.results)
