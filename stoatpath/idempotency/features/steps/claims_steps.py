"""Steps for claims of idempotency keys."""

import asyncio
import time

from behave import given, then, when
from claims_rig import CallerRequests, Environment
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
from stoatpath.idempotency.retention import build_sweep_transactions
from stoatpath.outcomes import KEY_REUSED, Outcome, is_failure
from stoatpath.utils import encode_json

DAY_MS = 24 * 3_600_000
RETENTION_MS = 3 * DAY_MS


def run(context, scenario):
    """Run a coroutine function on a new environment, in one event loop."""
    with asyncio.Runner() as runner:
        environment = Environment()
        try:
            return runner.run(scenario(environment))
        finally:
            environment.close()


def run_scenario(context, check):
    """Run all steps so far and then a check, in a new environment."""

    async def scenario(environment):
        state = {"environment": environment, "first": environment.add_instance()}
        for step in context.steps:
            await step(state)
        await check(state)

    run(context, scenario)


def add_step(context, step):
    if not hasattr(context, "steps"):
        context.steps = []
    context.steps.append(step)


async def claim(state, request_id="req-1", instance=None, **changes):
    environment = state["environment"]
    instance = instance or state["first"]
    request = CallerRequests.build(request_id, environment.clock, **changes)
    task = instance.start(instance.claims.claim(request))
    return request, (await environment.run_until_done(task))[0]


@given('a table that meets "{faults}"')
def step_impl(context, faults):
    async def step(state):
        state["environment"].table.faults += faults.split(", ")

    add_step(context, step)


@given('a table that is "{kind}" for {seconds:d} s')
def step_impl(context, kind, seconds):
    async def step(state):
        table = state["environment"].table
        first = table.faults[:1]
        until_ms = state["environment"].clock.now_ms() + seconds * 1_000
        table.outage = (kind, until_ms)
        # After another first fault, the outage begins with the second call: it is
        # queued as single faults instead.
        if first and first[0] != "down":
            table.outage = ("", 0)
            table.faults += [kind] * 200

    add_step(context, step)


@given("a request with a key that is claimed")
@when("a request with a key is claimed")
def step_impl(context):
    async def step(state):
        state["request"], state["result"] = await claim(state)

    add_step(context, step)


@then("the claim is acquired and stored in the table")
def step_impl(context):
    async def check(state):
        assert isinstance(state["result"], Acquired), state["result"]
        stored_claim = state["environment"].stored_claim()
        assert (stored_claim.attempt_id, stored_claim.state) == ("req-1", CLAIMED)

    run_scenario(context, check)


@then("it is still stored after every late write")
def step_impl(context):
    async def check(state):
        environment = state["environment"]
        await environment.advance(environment.clock.now_ms() + 10_000, 50)
        stored_claim = environment.stored_claim()
        assert (stored_claim.attempt_id, stored_claim.state) == ("req-1", CLAIMED)

    run_scenario(context, check)


@then('the outcome is "{outcome}"')
def step_impl(context, outcome):
    async def check(state):
        assert is_failure(state["result"])
        assert state["result"].outcome.value == outcome

    run_scenario(context, check)


@then("once the table is reachable the key can be claimed again")
def step_impl(context):
    async def check(state):
        environment = state["environment"]
        environment.table.faults.clear()
        environment.table.outage = ("", 0)
        await environment.advance(environment.clock.now_ms() + 10_000, 20)
        assert state["first"].claims.pending_final_writes == 0
        assert environment.stored_claim().state == NOT_RUN
        _, result = await claim(state, "req-2")
        assert isinstance(result, Acquired), result
        assert environment.stored_claim().attempt_id == "req-2"

    run_scenario(context, check)


@when("two attempts with one key are claimed at {places}")
def step_impl(context, places):
    async def step(state):
        environment = state["environment"]
        other = (
            environment.add_instance() if places == "two instances" else state["first"]
        )
        tasks = []
        for name, instance in (("req-1", state["first"]), ("req-2", other)):
            request = CallerRequests.build(name, environment.clock)
            tasks.append(instance.start(instance.claims.claim(request)))
        state["results"] = await environment.run_until_done(*tasks)

    add_step(context, step)


@then("exactly one of them is acquired")
def step_impl(context):
    async def check(state):
        acquired = [each for each in state["results"] if isinstance(each, Acquired)]
        assert len(acquired) == 1, state["results"]

    run_scenario(context, check)


@then('the other one\'s outcome is "{outcome}"')
def step_impl(context, outcome):
    async def check(state):
        others = [each for each in state["results"] if not isinstance(each, Acquired)]
        assert [each.outcome.value for each in others] == [outcome], others

    run_scenario(context, check)


@when("its instance is killed and {days:d} days pass")
def step_impl(context, days):
    async def step(state):
        state["first"].kill()
        state["environment"].clock.advance_by(days * DAY_MS)
        state["first"] = state["environment"].add_instance()

    add_step(context, step)


@then('another attempt\'s outcome is "{outcome}"')
def step_impl(context, outcome):
    async def check(state):
        _, result = await claim(state, "req-2")
        assert is_failure(result) and result.outcome.value == outcome, result

    run_scenario(context, check)


@then("a sweep of expired claims leaves the claim unchanged")
def step_impl(context):
    async def check(state):
        await _sweep_claims(state)
        assert state["environment"].stored_claim().state == CLAIMED

    run_scenario(context, check)


async def _sweep_claims(state):
    environment = state["environment"]
    rows = await environment.table.scan(CLAIM_PREFIX)
    for transaction in build_sweep_transactions(
        rows.values(), environment.clock.wall_ms(), RETENTION_MS
    ):
        environment.table.apply(transaction)


@then('an attempt with another body is refused as "{outcome}" for "{reason}"')
def step_impl(context, outcome, reason):
    async def check(state):
        _, result = await claim(state, "req-3", body="b2")
        refusal = (result.outcome.value, result.reason.name)
        assert refusal == (outcome, reason), result

    run_scenario(context, check)


@when("it is released")
def step_impl(context):
    async def step(state):
        claims = state["first"].claims
        started = time.monotonic()
        await claims.release(state["request"], state["result"])
        state["released_s"] = time.monotonic() - started

    add_step(context, step)


@then("the release took less than 1 s of real time")
def step_impl(context):
    async def check(state):
        assert state["released_s"] < 1.0

    run_scenario(context, check)


@then("the key can be claimed again within {seconds:d} s")
def step_impl(context, seconds):
    async def check(state):
        environment = state["environment"]
        await environment.advance(environment.clock.now_ms() + seconds * 1_000, 20)
        _, result = await claim(state, "req-2")
        assert isinstance(result, Acquired), result

    run_scenario(context, check)


@when("it is finished with an answer")
@when("it is finished with an answer of {size:d} bytes")
def step_impl(context, size=20):
    async def step(state):
        answer = StoredAnswer(200, "text/plain", b"x" * size, "v@1", "req-1")
        claims = state["first"].claims
        await claims.complete(state["request"], state["result"], answer)

    add_step(context, step)


@then("another attempt replays the same bytes")
def step_impl(context):
    async def check(state):
        environment = state["environment"]
        await environment.advance(environment.clock.now_ms() + 10_000, 20)
        _, result = await claim(state, "req-2")
        assert isinstance(result, Replay), result
        assert result.answer.body == b"x" * 20
        assert result.answer.request_id == "req-1"

    run_scenario(context, check)


@then("the row is smaller than {size:d} bytes")
def step_impl(context, size):
    async def check(state):
        environment = state["environment"]
        await environment.advance(environment.clock.now_ms() + 1_000)
        assert len(encode_json(environment.stored_claim().to_json())) < size

    run_scenario(context, check)


@when("{count:d} requests with keys are claimed at once")
def step_impl(context, count):
    async def step(state):
        environment = state["environment"]
        claims = state["first"].claims
        tasks = []
        for number in range(count):
            request = CallerRequests.build(
                f"req-{number}", environment.clock, key=f"k{number}"
            )
            tasks.append(state["first"].start(claims.claim(request)))
        state["results"] = await environment.run_until_done(*tasks)

    add_step(context, step)


@then("all of them are acquired with at most {most:d} writes")
def step_impl(context, most):
    async def check(state):
        assert all(isinstance(each, Acquired) for each in state["results"])
        assert state["environment"].table.writes <= most, state[
            "environment"
        ].table.writes

    run_scenario(context, check)


@when("{days:d} days pass and expired claims are swept")
def step_impl(context, days):
    async def step(state):
        environment = state["environment"]
        await environment.advance(environment.clock.now_ms() + 1_000)
        environment.clock.advance_by(days * DAY_MS)
        await _sweep_claims(state)

    add_step(context, step)


@then("no row is left")
def step_impl(context):
    async def check(state):
        assert not state["environment"].table.rows

    run_scenario(context, check)


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


class RandomRun:
    """A random sequence of attempts; counts the requests that were executed."""

    def __init__(self, environment):
        self.environment = environment
        self.instances = [environment.add_instance() for _ in range(3)]
        self.runs_by_key = {}
        self.executed = set()
        self.results = []

    async def attempt(self, number, instance_index, key, body, delay_ms, ending):
        clock = self.environment.clock
        await clock.sleep_until(clock.now_ms() + delay_ms)
        claims = self.instances[instance_index].claims
        request = CallerRequests.build(
            f"req-{number}", clock, key, body, timeout_ms=8_000
        )
        result = await claims.claim(request)
        self.results.append((request, result))
        if not isinstance(result, Acquired):
            return
        if ending == "refuse":
            await claims.release(request, result)
            return
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        self.executed.add(request.request_id)
        if ending == "kill":
            self.instances[instance_index].kill()
            self.instances[instance_index] = self.environment.add_instance()
            return
        body = f"answer of {request.request_id}".encode()
        answer = StoredAnswer(200, "text/plain", body, "v@1", request.request_id)
        await claims.complete(request, result, answer)

    def check(self):
        assert all(runs == 1 for runs in self.runs_by_key.values()), self.runs_by_key
        for request, result in self.results:
            if isinstance(result, Replay):
                owner = result.answer.request_id
                assert owner in self.executed
                assert result.answer.body == f"answer of {owner}".encode()
            elif is_failure(result) and result.outcome is Outcome.NOT_RUN:
                assert result.reason is KEY_REUSED
                assert request.request_id not in self.executed
        for key in self.runs_by_key:
            assert self.environment.stored_claim(key).state in (CLAIMED, DONE)


@then("over random faults, kills and retries a key runs at most once")
def step_impl(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=120)
    @forall(_attempts, strategies.lists(strategies.sampled_from(FAULTS), max_size=12))
    def check(attempts, faults):
        async def scenario(environment):
            environment.table.faults += faults
            random_run = RandomRun(environment)
            for number, attempt in enumerate(attempts):
                instance = random_run.instances[attempt[0]]
                instance.start(random_run.attempt(number, *attempt))
            await environment.advance(25_000, 50)
            random_run.check()

        run(context, scenario)

    check()
