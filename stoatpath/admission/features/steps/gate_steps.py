"""Steps for the gate at which requests wait for slots."""

import asyncio
import random
import time

from behave import given, then, when

from stoatpath.admission.gates import AdmissionGate
from stoatpath.admission.messages import AdmissionRequest, Grant
from stoatpath.admission.queues import AdmissionQueue
from stoatpath.clock import Clock

POOL = "tern-small@1"
MAX_WAIT_MS = 5
ROUNDS = 200
SLOTS = 3


def make_request(name, clock, max_wait_ms=10_000):
    """Return a request for a slot of the pool that can wait for a time."""
    deadline_ms = clock.now_ms() + max_wait_ms
    return AdmissionRequest(name, "reef-villages", 1, (POOL,), deadline_ms, 0.0, True)


def make_gate(slots):
    """Return a gate over one pool, and its clock."""
    clock = Clock()
    gate = AdmissionGate(AdmissionQueue(1_000), clock)
    gate.set_capacities({POOL: slots})
    return gate, clock


async def count_free_slots(gate, clock):
    """Acquire all free slots, release them again and return their number."""
    grants = []
    while True:
        waiting = asyncio.create_task(
            gate.acquire(make_request(f"probe-{len(grants)}", clock))
        )
        await asyncio.sleep(0)
        if not waiting.done():
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            break
        grants.append(waiting.result())
    for grant in grants:
        gate.release(grant)
    return len(grants)


@given("a gate with one slot, which is in use")
def step_impl(context):
    pass


@when(
    "a request waits and the slot is freed in the loop iteration in which it {ending}"
)
def step_impl(context, ending):
    async def run():
        gate, clock = make_gate(1)
        grant = await gate.acquire(make_request("first", clock))
        waiting = asyncio.create_task(
            gate.acquire(make_request("second", clock, MAX_WAIT_MS))
        )
        await asyncio.sleep(0)
        if ending == "times out":
            asyncio.get_running_loop().call_later(
                MAX_WAIT_MS / 2_000, gate.release, grant
            )
            time.sleep(4 * MAX_WAIT_MS / 1_000)
        else:
            gate.release(grant)
            waiting.cancel()
        (context.result,) = await asyncio.gather(waiting, return_exceptions=True)
        if isinstance(context.result, Grant):
            gate.release(context.result)
        context.free = await count_free_slots(gate, clock)

    asyncio.run(run())


@then("the slot is free again")
def step_impl(context):
    assert context.free == 1, context.free


@then("all slots are free after any arrivals, timeouts, cancellations and releases")
def step_impl(context):
    rng = random.Random(5)

    async def acquire_and_release(gate, clock, name):
        grant = await gate.acquire(make_request(name, clock, rng.choice([1, 3, 1_000])))
        if isinstance(grant, Grant):
            try:
                await asyncio.sleep(rng.choice([0, 0.001, 0.003]))
            finally:
                gate.release(grant)

    async def run():
        gate, clock = make_gate(SLOTS)
        tasks = []
        for number in range(ROUNDS):
            tasks.append(
                asyncio.create_task(
                    acquire_and_release(gate, clock, f"request-{number}")
                )
            )
            if rng.random() < 0.4:
                await asyncio.sleep(0.001)
            if rng.random() < 0.3:
                rng.choice(tasks).cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return await count_free_slots(gate, clock)

    assert asyncio.run(run()) == SLOTS
