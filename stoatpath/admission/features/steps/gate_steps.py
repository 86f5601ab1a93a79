"""Steps about the gate at which requests wait."""

import asyncio
import random
import time

from behave import given, then, when

from stoatpath.admission.gates import AdmissionGate
from stoatpath.admission.messages import AdmissionRequest, Grant
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.clock import Clock

POOL = "tern-small@1"
PATIENCE_MS = 5
ROUNDS = 200
SLOTS = 3


def ask(name, clock, patience_ms=10_000):
    """Return a request that waits for a slot of the pool."""
    deadline_ms = clock.now_ms() + patience_ms
    return AdmissionRequest(name, "reef-villages", 1, (POOL,), deadline_ms, 0.0, True)


def make_gate(slots):
    """Return a gate over one pool, and its clock."""
    clock = Clock()
    gate = AdmissionGate(AdmissionQueue(1_000), clock)
    gate.set_capacities({POOL: slots})
    return gate, clock


async def free_slots(gate, clock):
    """Take every slot there is; return how many there were, and give them back."""
    grants = []
    while True:
        waiting = asyncio.create_task(gate.acquire(ask(f"probe-{len(grants)}", clock)))
        await asyncio.sleep(0)
        if not waiting.done():
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            break
        grants.append(waiting.result())
    for grant in grants:
        gate.release(grant)
    return len(grants)


@given("a gate with one slot that is taken")
def step_impl(context):
    pass


@when("a request waits and the slot is freed in the turn in which it {ending}")
def step_impl(context, ending):
    async def run():
        gate, clock = make_gate(1)
        held = await gate.acquire(ask("first", clock))
        waiting = asyncio.create_task(gate.acquire(ask("second", clock, PATIENCE_MS)))
        await asyncio.sleep(0)
        if ending == "times out":
            asyncio.get_running_loop().call_later(
                PATIENCE_MS / 2_000, gate.release, held
            )
            time.sleep(4 * PATIENCE_MS / 1_000)
        else:
            gate.release(held)
            waiting.cancel()
        (context.result,) = await asyncio.gather(waiting, return_exceptions=True)
        if isinstance(context.result, Grant):
            gate.release(context.result)
        context.free = await free_slots(gate, clock)

    asyncio.run(run())


@then("the slot is free again")
def step_impl(context):
    assert context.free == 1, context.free


@then("any order of arrivals, timeouts, cancellations and releases frees all slots")
def step_impl(context):
    chance = random.Random(5)

    async def use(gate, clock, name):
        grant = await gate.acquire(ask(name, clock, chance.choice([1, 3, 1_000])))
        if isinstance(grant, Grant):
            try:
                await asyncio.sleep(chance.choice([0, 0.001, 0.003]))
            finally:
                gate.release(grant)

    async def run():
        gate, clock = make_gate(SLOTS)
        tasks = []
        for number in range(ROUNDS):
            tasks.append(asyncio.create_task(use(gate, clock, f"request-{number}")))
            if chance.random() < 0.4:
                await asyncio.sleep(0.001)
            if chance.random() < 0.3:
                chance.choice(tasks).cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return await free_slots(gate, clock)

    assert asyncio.run(run()) == SLOTS
