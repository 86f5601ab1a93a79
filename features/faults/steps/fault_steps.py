"""Steps about a running site under faults."""

import asyncio

from behave import given, then, when
from fault_sites import REQUEST_KINDS, FaultInjectionSite, hang_call, wait_until
from hypothesis import given as forall, settings, strategies
from processes import RouterProcess


@given("a running site with two routers")
def step_impl(context):
    context.preparations = []


@given('the next call of a backend server has fault "{fault}"')
def step_impl(context, fault):
    async def step(site):
        site.inject_backend_fault(fault)

    context.preparations.append(step)


@given('every call of a backend server has fault "{fault}"')
def step_impl(context, fault):
    async def step(site):
        site.inject_backend_fault(fault, None)

    context.preparations.append(step)


@given('the next write to the table has fault "{fault}"')
def step_impl(context, fault):
    async def step(site):
        for router in site.routers():
            await router.outbox.flush()
        site.inject_table_fault(fault)

    context.preparations.append(step)


@when("a {kind} is sent")
def step_impl(context, kind):
    async def step(site):
        key = "key-1" if kind == "keyed booking" else ""
        await site.send(kind, 1, key=key)

    run_on_site(context, step)


def run_on_site(context, step):
    """Run the prepared steps and `step` on a site, then check its consistency."""

    async def run():
        site = FaultInjectionSite()
        await site.start()
        try:
            for each in context.preparations:
                await each(site)
            await step(site)
            site.site.table.faults.clear()
            context.bookings_by_number = {
                number: site.count_bookings(number) for number in range(1, 11)
            }
            context.billed = await site.read_billed_ids()
            context.inconsistency = await _find_inconsistency(site)
            context.replies = site.replies
        finally:
            await site.stop()

    asyncio.run(run())


async def _find_inconsistency(site):
    try:
        await site.check_consistency()
    except AssertionError as error:
        return str(error)
    return ""


@then('its caller gets outcome "{outcome}"')
def step_impl(context, outcome):
    reply = context.replies[-1]
    assert reply.outcome == outcome, (reply.status, reply.outcome, reply.body)


@then('the second caller gets outcome "{outcome}"')
def step_impl(context, outcome):
    reply = context.replies[1]
    assert reply.outcome == outcome, (reply.status, reply.outcome, reply.body)


@then("executions and billing records agree with the responses")
def step_impl(context):
    assert context.inconsistency == "", context.inconsistency


@then("it ran {count:d} times")
def step_impl(context, count):
    assert context.bookings_by_number[1] == count, context.bookings_by_number[1]


@then("the key is billed {count:d} times")
def step_impl(context, count):
    assert len(context.billed) == count, context.billed


@when("a keyed booking is sent to one router, and again to the other")
def step_impl(context):
    async def step(site):
        first, second = site.routers()
        await site.send("keyed booking", 1, first, "key-1")
        await site.send("keyed booking", 1, second, "key-1")

    run_on_site(context, step)


@when("each of ten keys is sent to both routers at once")
def step_impl(context):
    async def step(site):
        for number in range(1, 11):
            await asyncio.gather(
                *(
                    site.send("keyed booking", number, router, f"key-{number}")
                    for router in site.routers()
                )
            )

    run_on_site(context, step)


@then("the booking of each key ran once")
def step_impl(context):
    assert set(context.bookings_by_number.values()) == {1}, context.bookings_by_number


HANGING_CALL_BY_MOMENT = {
    "before the claim": ("claims", "claim"),
    "after the claim": ("sender", "send"),
    "after the answer": ("outbox", "store_record"),
}


@when("a router is killed {moment} and the key is sent to the other")
def step_impl(context, moment):
    async def step(site):
        first, second = site.routers()
        if moment == "before the billing flush":
            await site.send("keyed booking", 1, first, "key-1")
            assert first.outbox.unwritten_count() == 1
            await site.kill(first)
            await wait_until(site.read_billed_ids)
        else:
            await _kill_at(site, first, moment)
        await site.send("keyed booking", 1, second, "key-1")

    run_on_site(context, step)


async def _kill_at(site, router, moment):
    if moment == "after the send":
        site.inject_backend_fault("slow")
        reached = lambda: site.count_bookings(1)  # noqa: E731
    else:
        hanging_component = hang_call(router, *HANGING_CALL_BY_MOMENT[moment])
        reached = hanging_component.reached.is_set
    task = asyncio.create_task(site.send("keyed booking", 1, router, "key-1"))
    await wait_until(reached)
    await site.kill(router)
    await task


async def _start_process(site, period_ms):
    return await RouterProcess.start(
        site.site, "router-9", "zone-a", BILLING_FLUSH_PERIOD_MS=period_ms
    )


async def _send_sample_requests(site, router):
    """Wait until the process serves requests, then send one of each of three kinds."""
    await wait_until(lambda: _is_serving(site, router))
    site.replies.clear()
    await site.send("keyed booking", 1, router, "key-1")
    await site.send("question", 2, router)
    await site.send("summary", 3, router)
    assert {reply.outcome for reply in site.replies} == {"completed"}


async def _is_serving(site, router):
    reply = await site.send("lookup", 10, router)
    return reply.outcome == "completed"


async def _are_billed(site):
    billed = await site.read_billed_ids()
    return all(reply.request_id in billed for reply in site.replies)


@when("a router process responds and gets SIGKILL before its billing flush")
def step_impl(context):
    async def step(site):
        router = await _start_process(site, 60_000)
        try:
            await _send_sample_requests(site, router)
            assert not await _are_billed(site)
            router.kill()
            await wait_until(lambda: _are_billed(site))
            await site.send("keyed booking", 1, site.routers()[0], "key-1")
        finally:
            await router.stop()

    run_on_site(context, step)


@when("a router process responds, is paused until its peer has billed, and resumes")
def step_impl(context):
    async def step(site):
        router = await _start_process(site, 60_000)
        try:
            await _send_sample_requests(site, router)
            router.pause()
            await wait_until(lambda: _are_billed(site))
            await site.send("keyed booking", 1, site.routers()[0], "key-1")
            router.resume()
            await wait_until(lambda: _is_serving(site, router))
            reply = await site.send("question", 4, router)
            assert reply.outcome == "completed", reply.body
            router.terminate()
            await router.wait()
        finally:
            await router.stop()

    run_on_site(context, step)


@when("a router process is paused while a booking runs, and resumes later")
def step_impl(context):
    async def step(site):
        router = await _start_process(site, 60_000)
        try:
            await wait_until(lambda: _is_serving(site, router))
            site.replies.clear()
            site.inject_backend_fault("slow")
            work = site.send("keyed booking", 1, router, "key-1")
            first = asyncio.create_task(work)
            await wait_until(lambda: site.count_bookings(1))
            router.pause()
            await site.send("keyed booking", 1, site.routers()[0], "key-1")
            await asyncio.sleep(1.0)
            router.resume()
            await first
            router.terminate()
            await router.wait()
        finally:
            await router.stop()

    run_on_site(context, step)


@then('the first caller gets outcome "{outcome}"')
def step_impl(context, outcome):
    assert context.replies[0].outcome == outcome, context.replies[0].body


@then("the second caller of the key gets a replay")
def step_impl(context):
    keyed = [reply for reply in context.replies if reply.key]
    assert [reply.is_replay for reply in keyed] == [False, True]
    assert keyed[0].body == keyed[1].body


@then("each response is billed once, by the peer")
def step_impl(context):
    answers = [
        reply.request_id
        for reply in context.replies
        if reply.outcome == "completed" and not reply.is_replay
    ]
    billed = [each for each in context.billed if each in answers]
    assert sorted(billed) == sorted(answers), (billed, answers)


FAULTS = [
    "reset-before",
    "reset-during",
    "reset-after",
    "not-run",
    "error-after",
    "half-answer",
    "half-answer-unmarked",
    "wrong-id",
    "twice",
    "slow",
    "stream-cut",
    "foreign-event",
]
TABLE_FAULTS = ["down", "slow", "reply-lost", "request-lost", "write-lost", "throttled"]
_events = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("send"),
            strategies.sampled_from(REQUEST_KINDS),
            strategies.booleans(),
        ),
        strategies.tuples(strategies.just("fault"), strategies.sampled_from(FAULTS)),
        strategies.tuples(
            strategies.just("table"), strategies.sampled_from(TABLE_FAULTS)
        ),
        strategies.tuples(strategies.just("silence")),
        strategies.tuples(strategies.just("kill"), strategies.booleans()),
    ),
    min_size=12,
    max_size=24,
)


class EventRunner:
    """Applies random events; requests overlap with the events that follow.

    At most one router is killed, because the other one holds the only copies of its
    billing records.
    """

    def __init__(self, site):
        self.site = site
        self.has_killed = False
        self.tasks = []
        self.last_number = 0

    async def apply(self, event):
        kind, *details = event
        if kind == "send":
            self._send(*details)
        elif kind == "fault":
            self.site.inject_backend_fault(*details)
        elif kind == "table":
            self.site.inject_table_fault(*details)
        elif kind == "silence":
            for standin in self.site.faulty_standins:
                standin.connections.silence_open()
        elif kind == "kill":
            await self._replace_router(*details)
        await asyncio.sleep(0.02)

    def _send(self, kind, uses_second_router):
        self.last_number += 1
        routers = self.site.routers()
        if kind == "keyed booking":
            for router in routers:
                key = f"key-{self.last_number}"
                self._start_request(kind, router, key)
        else:
            self._start_request(kind, routers[uses_second_router], "")

    def _start_request(self, kind, router, key):
        work = self.site.send(kind, self.last_number, router, key)
        self.tasks.append(asyncio.create_task(work))

    async def _replace_router(self, index):
        if not self.has_killed:
            self.has_killed = True
            await self.site.kill(self.site.routers()[index])
            await self.site.start_router(2 + index)


@then("responses, executions and billing agree after random events")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=12)
    @forall(_events)
    def check(events):
        async def run():
            site = FaultInjectionSite()
            await site.start()
            runner = EventRunner(site)
            try:
                for event in events:
                    await runner.apply(event)
                await asyncio.gather(*runner.tasks)
                site.site.table.faults.clear()
                await site.check_consistency_eventually()
            finally:
                await site.stop()

        asyncio.run(run())

    check()
