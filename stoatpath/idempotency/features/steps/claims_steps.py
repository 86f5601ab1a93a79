"""Steps about claims of idempotency keys."""

import asyncio
import time

from behave import given, then, when
from claims_rig import Caller, World
from hypothesis import given as forall, settings, strategies

from stoatpath.idempotency.claims import CLAIM_PREFIX
from stoatpath.idempotency.messages import (
    CLAIMED,
    DONE,
    NOT_RUN,
    Acquired,
    Replay,
    StoredAnswer,
)
from stoatpath.idempotency.retention import plan_sweep
from stoatpath.outcomes import KEY_REUSED, Outcome, is_failure
from stoatpath.utils import encode_json

DAY_MS = 24 * 3_600_000
RETENTION_MS = 3 * DAY_MS


def run(context, scenario):
    """Run a coroutine function on the scenario's world, in one event loop."""
    with asyncio.Runner() as runner:
        world = World()
        try:
            return runner.run(scenario(world))
        finally:
            world.close()


def play(context, check):
    """Run all steps so far and then a check, in a fresh world."""

    async def scenario(world):
        state = {"world": world, "first": world.add()}
        for step in context.script:
            await step(state)
        await check(state)

    run(context, scenario)


def add(context, step):
    if not hasattr(context, "script"):
        context.script = []
    context.script.append(step)


async def claim(state, request_id="req-1", instance=None, **changes):
    world = state["world"]
    instance = instance or state["first"]
    request = Caller.request(request_id, world.clock, **changes)
    task = instance.start(instance.keeper.claim(request))
    return request, (await world.finish(task))[0]


@given('a table that meets "{faults}"')
def step_impl(context, faults):
    async def step(state):
        state["world"].table.faults += faults.split(", ")

    add(context, step)


@given('a table that is "{kind}" for {seconds:d} s')
def step_impl(context, kind, seconds):
    async def step(state):
        table = state["world"].table
        first = table.faults[:1]
        until_ms = state["world"].clock.now_ms() + seconds * 1_000
        table.outage = (kind, until_ms)
        if first and first[0] != "down":
            table.outage = ("", 0)
            table.faults += [kind] * 200

    add(context, step)


@given("a request with a key that is claimed")
@when("a request with a key is claimed")
def step_impl(context):
    async def step(state):
        state["request"], state["verdict"] = await claim(state)

    add(context, step)


@then("the claim is won and stands in the table")
def step_impl(context):
    async def check(state):
        assert isinstance(state["verdict"], Acquired), state["verdict"]
        stored = state["world"].stored()
        assert (stored.attempt_id, stored.state) == ("req-1", CLAIMED)

    play(context, check)


@then("it still stands after every late write")
def step_impl(context):
    async def check(state):
        world = state["world"]
        await world.advance(world.clock.now_ms() + 10_000, 50)
        stored = world.stored()
        assert (stored.attempt_id, stored.state) == ("req-1", CLAIMED)

    play(context, check)


@then('the outcome is "{outcome}"')
def step_impl(context, outcome):
    async def check(state):
        assert is_failure(state["verdict"])
        assert state["verdict"].outcome.value == outcome

    play(context, check)


@then("after the table is back the key can be claimed again")
def step_impl(context):
    async def check(state):
        world = state["world"]
        world.table.faults.clear()
        world.table.outage = ("", 0)
        await world.advance(world.clock.now_ms() + 10_000, 20)
        assert state["first"].keeper.pending_marks == 0
        assert world.stored().state == NOT_RUN
        _, verdict = await claim(state, "req-2")
        assert isinstance(verdict, Acquired), verdict
        assert world.stored().attempt_id == "req-2"

    play(context, check)


@when("two attempts with one key are claimed at {places}")
def step_impl(context, places):
    async def step(state):
        world = state["world"]
        other = world.add() if places == "two instances" else state["first"]
        tasks = []
        for name, instance in (("req-1", state["first"]), ("req-2", other)):
            request = Caller.request(name, world.clock)
            tasks.append(instance.start(instance.keeper.claim(request)))
        state["verdicts"] = await world.finish(*tasks)

    add(context, step)


@then("just one of them is won")
def step_impl(context):
    async def check(state):
        won = [each for each in state["verdicts"] if isinstance(each, Acquired)]
        assert len(won) == 1, state["verdicts"]

    play(context, check)


@then('the other one\'s outcome is "{outcome}"')
def step_impl(context, outcome):
    async def check(state):
        lost = [each for each in state["verdicts"] if not isinstance(each, Acquired)]
        assert [each.outcome.value for each in lost] == [outcome], lost

    play(context, check)


@when("its instance is killed and {days:d} days pass")
def step_impl(context, days):
    async def step(state):
        state["first"].kill()
        state["world"].clock.advance_by(days * DAY_MS)
        state["first"] = state["world"].add()

    add(context, step)


@then('another attempt\'s outcome is "{outcome}"')
def step_impl(context, outcome):
    async def check(state):
        _, verdict = await claim(state, "req-2")
        assert is_failure(verdict) and verdict.outcome.value == outcome, verdict

    play(context, check)


@then("a sweep of old claims leaves the claim alone")
def step_impl(context):
    async def check(state):
        await _sweep(state)
        assert state["world"].stored().state == CLAIMED

    play(context, check)


async def _sweep(state):
    world = state["world"]
    rows = await world.table.scan(CLAIM_PREFIX)
    for transaction in plan_sweep(rows.values(), world.clock.wall_ms(), RETENTION_MS):
        world.table.apply(transaction)


@then('an attempt with another body is refused as "{outcome}" for "{reason}"')
def step_impl(context, outcome, reason):
    async def check(state):
        _, verdict = await claim(state, "req-3", body="b2")
        found = (verdict.outcome.value, verdict.reason.name)
        assert found == (outcome, reason), verdict

    play(context, check)


@when("it is released")
def step_impl(context):
    async def step(state):
        keeper = state["first"].keeper
        started = time.monotonic()
        await keeper.release(state["request"], state["verdict"])
        state["released_s"] = time.monotonic() - started

    add(context, step)


@then("the release took less than 1 s of real time")
def step_impl(context):
    async def check(state):
        assert state["released_s"] < 1.0

    play(context, check)


@then("the key can be claimed again within {seconds:d} s")
def step_impl(context, seconds):
    async def check(state):
        world = state["world"]
        await world.advance(world.clock.now_ms() + seconds * 1_000, 20)
        _, verdict = await claim(state, "req-2")
        assert isinstance(verdict, Acquired), verdict

    play(context, check)


@when("it is finished with an answer")
@when("it is finished with an answer of {size:d} bytes")
def step_impl(context, size=20):
    async def step(state):
        answer = StoredAnswer(200, "text/plain", b"x" * size, "v@1", "req-1")
        keeper = state["first"].keeper
        await keeper.complete(state["request"], state["verdict"], answer)

    add(context, step)


@then("another attempt replays the same bytes")
def step_impl(context):
    async def check(state):
        world = state["world"]
        await world.advance(world.clock.now_ms() + 10_000, 20)
        _, verdict = await claim(state, "req-2")
        assert isinstance(verdict, Replay), verdict
        assert verdict.answer.body == b"x" * 20
        assert verdict.answer.request_id == "req-1"

    play(context, check)


@then("the row is smaller than {size:d} bytes")
def step_impl(context, size):
    async def check(state):
        world = state["world"]
        await world.advance(world.clock.now_ms() + 1_000)
        assert len(encode_json(world.stored().to_json())) < size

    play(context, check)


@when("{count:d} requests with keys are claimed at once")
def step_impl(context, count):
    async def step(state):
        world = state["world"]
        keeper = state["first"].keeper
        tasks = []
        for number in range(count):
            request = Caller.request(f"req-{number}", world.clock, key=f"k{number}")
            tasks.append(state["first"].start(keeper.claim(request)))
        state["verdicts"] = await world.finish(*tasks)

    add(context, step)


@then("all of them are won with at most {most:d} writes")
def step_impl(context, most):
    async def check(state):
        assert all(isinstance(each, Acquired) for each in state["verdicts"])
        assert state["world"].table.writes <= most, state["world"].table.writes

    play(context, check)


@when("{days:d} days pass and old claims are swept")
def step_impl(context, days):
    async def step(state):
        world = state["world"]
        await world.advance(world.clock.now_ms() + 1_000)
        world.clock.advance_by(days * DAY_MS)
        await _sweep(state)

    add(context, step)


@then("no row is left")
def step_impl(context):
    async def check(state):
        assert not state["world"].table.rows

    play(context, check)


FAULTS = ["none", "slow", "down", "request-lost", "reply-lost", "write-lost", "late"]
_attempts = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(["k1", "k2"]),
        strategies.sampled_from(["b1", "b1", "b1", "b2"]),
        strategies.integers(0, 4_000),
        strategies.sampled_from(["answer", "refuse", "kill"]),
    ),
    min_size=1,
    max_size=7,
)


class Trial:
    """One random course of attempts; counts what really ran."""

    def __init__(self, world):
        self.world = world
        self.instances = [world.add() for _ in range(3)]
        self.runs_by_key = {}
        self.ran = set()
        self.verdicts = []

    async def attempt(self, number, place, key, body, delay_ms, end):
        clock = self.world.clock
        await clock.sleep_until(clock.now_ms() + delay_ms)
        keeper = self.instances[place].keeper
        request = Caller.request(f"req-{number}", clock, key, body, timeout_ms=8_000)
        verdict = await keeper.claim(request)
        self.verdicts.append((request, verdict))
        if not isinstance(verdict, Acquired):
            return
        if end == "refuse":
            await keeper.release(request, verdict)
            return
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        self.ran.add(request.request_id)
        if end == "kill":
            self.instances[place].kill()
            self.instances[place] = self.world.add()
            return
        body = f"answer of {request.request_id}".encode()
        answer = StoredAnswer(200, "text/plain", body, "v@1", request.request_id)
        await keeper.complete(request, verdict, answer)

    def check(self):
        assert all(runs == 1 for runs in self.runs_by_key.values()), self.runs_by_key
        for request, verdict in self.verdicts:
            if isinstance(verdict, Replay):
                owner = verdict.answer.request_id
                assert owner in self.ran
                assert verdict.answer.body == f"answer of {owner}".encode()
            elif is_failure(verdict) and verdict.outcome is Outcome.NOT_RUN:
                assert verdict.reason is KEY_REUSED
                assert request.request_id not in self.ran
        for key in self.runs_by_key:
            assert self.world.stored(key).state in (CLAIMED, DONE)


@then("over random faults, kills and retries a key runs at most once")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=120)
    @forall(_attempts, strategies.lists(strategies.sampled_from(FAULTS), max_size=12))
    def check(attempts, faults):
        async def scenario(world):
            world.table.faults += faults
            trial = Trial(world)
            for number, attempt in enumerate(attempts):
                place = trial.instances[attempt[0]]
                place.start(trial.attempt(number, *attempt))
            await world.advance(25_000, 50)
            trial.check()

        run(context, scenario)

    check()
