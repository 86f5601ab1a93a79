"""Steps about a running site under faults."""

import asyncio

from behave import given, then, when
from fault_sites import KINDS, FaultSite, hang, wait_until
from hypothesis import given as forall, settings, strategies
from processes import RouterProcess


@given("a running site with two routers")
def step_impl(context):
    context.script = []


@given('the next call of a backend server meets "{fault}"')
def step_impl(context, fault):
    async def step(site):
        site.arrange(fault)

    context.script.append(step)


@given('every call of a backend server meets "{fault}"')
def step_impl(context, fault):
    async def step(site):
        site.arrange(fault, None)

    context.script.append(step)


@given('the table\'s next writes meet "{fault}"')
def step_impl(context, fault):
    async def step(site):
        for router in site.routers():
            await router.outbox.flush()
        site.arrange_table(fault)

    context.script.append(step)


@when("a {kind} is sent")
def step_impl(context, kind):
    async def step(site):
        key = "key-1" if kind == "keyed booking" else ""
        await site.send(kind, 1, key=key)

    play(context, step)


def play(context, step):
    """Run the script and the last step on a site; check all promises there."""

    async def run():
        site = FaultSite()
        await site.start()
        try:
            for each in context.script:
                await each(site)
            await step(site)
            site.site.table.faults.clear()
            context.booked = {number: site.booked(number) for number in range(1, 11)}
            context.billed = await site.ledger()
            context.broken = await _find_broken(site)
            context.told = site.told
        finally:
            await site.stop()

    asyncio.run(run())


async def _find_broken(site):
    try:
        await site.check_promises()
    except AssertionError as error:
        return str(error)
    return ""


@then('its caller is told "{outcome}"')
def step_impl(context, outcome):
    told = context.told[-1]
    assert told.outcome == outcome, (told.status, told.outcome, told.body)


@then('the second caller is told "{outcome}"')
def step_impl(context, outcome):
    told = context.told[1]
    assert told.outcome == outcome, (told.status, told.outcome, told.body)


@then("what ran and what is billed agree with what callers were told")
def step_impl(context):
    assert context.broken == "", context.broken


@then("it ran {count:d} times")
def step_impl(context, count):
    assert context.booked[1] == count, context.booked[1]


@then("the key is billed {count:d} times")
def step_impl(context, count):
    assert len(context.billed) == count, context.billed


@when("a keyed booking is sent to one router, and again to the other")
def step_impl(context):
    async def step(site):
        first, second = site.routers()
        await site.send("keyed booking", 1, first, "key-1")
        await site.send("keyed booking", 1, second, "key-1")

    play(context, step)


@when("one key is sent to both routers at once, ten times")
def step_impl(context):
    async def step(site):
        for number in range(1, 11):
            await asyncio.gather(
                *(
                    site.send("keyed booking", number, router, f"key-{number}")
                    for router in site.routers()
                )
            )

    play(context, step)


@then("each of the keys ran once")
def step_impl(context):
    assert set(context.booked.values()) == {1}, context.booked


MOMENTS = {
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
            await wait_until(site.ledger)
        else:
            await _kill_at(site, first, moment)
        await site.send("keyed booking", 1, second, "key-1")

    play(context, step)


async def _kill_at(site, router, moment):
    if moment == "after the send":
        site.arrange("slow")
        reached = lambda: site.booked(1)  # noqa: E731
    else:
        hanging = hang(router, *MOMENTS[moment])
        reached = hanging.reached.is_set
    task = asyncio.create_task(site.send("keyed booking", 1, router, "key-1"))
    await wait_until(reached)
    await site.kill(router)
    await task


async def _start_process(site, period_ms):
    return await RouterProcess.start(
        site.site, "router-9", "zone-a", BILLING_FLUSH_PERIOD_MS=period_ms
    )


async def _answer_some(site, router):
    """Send requests until the process serves, then one of each kind."""
    await wait_until(lambda: _serves(site, router))
    site.told.clear()
    await site.send("keyed booking", 1, router, "key-1")
    await site.send("question", 2, router)
    await site.send("summary", 3, router)
    assert {told.outcome for told in site.told} == {"completed"}


async def _serves(site, router):
    told = await site.send("lookup", 10, router)
    return told.outcome == "completed"


async def _are_billed(site):
    billed = await site.ledger()
    return all(told.request_id in billed for told in site.told)


@when("a router process answers and gets SIGKILL before its flush")
def step_impl(context):
    async def step(site):
        router = await _start_process(site, 60_000)
        try:
            await _answer_some(site, router)
            assert not await _are_billed(site)
            router.kill()
            await wait_until(lambda: _are_billed(site))
            await site.send("keyed booking", 1, site.routers()[0], "key-1")
        finally:
            await router.stop()

    play(context, step)


@when("a router process answers, is paused until its peer has billed, and wakes")
def step_impl(context):
    async def step(site):
        router = await _start_process(site, 60_000)
        try:
            await _answer_some(site, router)
            router.pause()
            await wait_until(lambda: _are_billed(site))
            await site.send("keyed booking", 1, site.routers()[0], "key-1")
            router.resume()
            await wait_until(lambda: _serves(site, router))
            told = await site.send("question", 4, router)
            assert told.outcome == "completed", told.body
            router.terminate()
            await router.wait()
        finally:
            await router.stop()

    play(context, step)


@when("a router process is paused while a booking runs, and wakes later")
def step_impl(context):
    async def step(site):
        router = await _start_process(site, 60_000)
        try:
            await wait_until(lambda: _serves(site, router))
            site.told.clear()
            site.arrange("slow")
            work = site.send("keyed booking", 1, router, "key-1")
            first = asyncio.create_task(work)
            await wait_until(lambda: site.booked(1))
            router.pause()
            await site.send("keyed booking", 1, site.routers()[0], "key-1")
            await asyncio.sleep(1.0)
            router.resume()
            await first
            router.terminate()
            await router.wait()
        finally:
            await router.stop()

    play(context, step)


@then('the first caller is told "{outcome}"')
def step_impl(context, outcome):
    assert context.told[0].outcome == outcome, context.told[0].body


@then("the key's second caller gets a replay")
def step_impl(context):
    keyed = [told for told in context.told if told.key]
    assert [told.is_replay for told in keyed] == [False, True]
    assert keyed[0].body == keyed[1].body


@then("each answer is billed once, by the peer")
def step_impl(context):
    answers = [
        told.request_id
        for told in context.told
        if told.outcome == "completed" and not told.is_replay
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
            strategies.sampled_from(KINDS),
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


class Course:
    """Plays random events; requests overlap with what follows them.

    One router is killed at most: its copies are at the other one.
    """

    def __init__(self, site):
        self.site = site
        self.has_killed = False
        self.tasks = []
        self.numbers = 0

    async def play(self, event):
        kind, *details = event
        if kind == "send":
            self._send(*details)
        elif kind == "fault":
            self.site.arrange(*details)
        elif kind == "table":
            self.site.arrange_table(*details)
        elif kind == "silence":
            for standin in self.site.faulty:
                standin.connections.silence_open()
        elif kind == "kill":
            await self._replace(*details)
        await asyncio.sleep(0.02)

    def _send(self, kind, to_second):
        self.numbers += 1
        routers = self.site.routers()
        if kind == "keyed booking":
            for router in routers:
                key = f"key-{self.numbers}"
                self._start(kind, router, key)
        else:
            self._start(kind, routers[to_second], "")

    def _start(self, kind, router, key):
        work = self.site.send(kind, self.numbers, router, key)
        self.tasks.append(asyncio.create_task(work))

    async def _replace(self, second):
        if not self.has_killed:
            self.has_killed = True
            await self.site.kill(self.site.routers()[second])
            await self.site.start_router(2 + second)


@then("over random courses the site keeps its promises")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=12)
    @forall(_events)
    def check(events):
        async def run():
            site = FaultSite()
            await site.start()
            course = Course(site)
            try:
                for event in events:
                    await course.play(event)
                await asyncio.gather(*course.tasks)
                site.site.table.faults.clear()
                await site.check_promises_in_time()
            finally:
                await site.stop()

        asyncio.run(run())

    check()
