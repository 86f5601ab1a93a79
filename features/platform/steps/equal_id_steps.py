"""Steps about open requests with equal identifiers."""

import asyncio
import time
from collections import Counter

from behave import given, then, when
from callers import ATTEMPT_ID, request_headers, send_request, wait_until
from relaying_steps import DeploymentFixture

from stoatpath.standins.deployments import CALLER_KEY

OTHER_KEY = "key-of-quarry"
DELAY_BEFORE_PAIRS_S = 0.5
# Nobody is refused for the time that a request would wait.
TIMEOUT_MS = 30_000


def build_headers(route, request_id, key):
    return request_headers(route, 1, Authorization=f"Bearer {key}") | {
        ATTEMPT_ID: request_id,
        "X-Stoatpath-Deadline-Ms": str(TIMEOUT_MS),
    }


@given("a deployment whose backend servers take {delay:d} ms for a request")
def step_impl(context, delay):
    fixture = context.fixture = DeploymentFixture()
    context.add_cleanup(fixture.close)
    for replica in fixture.replicas():
        replica.delay_ms = delay
    deployment = fixture.deployment
    tenants = [
        *deployment.config["tenants"],
        {"name": "quarry", "api_keys": [OTHER_KEY]},
    ]
    routes = [each | {"timeout_ms": TIMEOUT_MS} for each in deployment.config["routes"]]
    fixture.run(deployment.update_config(tenants=tenants, routes=routes))


@when("{count:d} callers send one request after the other for {seconds:d} s")
def step_impl(context, count, seconds):
    context.responses_by_id = {}

    async def send_in_turn(caller):
        ends_s = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < ends_s:
            turn += 1
            request_id = f"c-{caller}-{turn}"
            headers = build_headers("book", request_id, CALLER_KEY)
            context.responses_by_id[request_id] = await send_request(
                context.fixture.gateway, "book", headers=headers
            )

    context.senders = [
        context.fixture.loop.create_task(send_in_turn(caller))
        for caller in range(count)
    ]


@when("{owner} sends {count:d} pairs of requests with one identifier a pair meanwhile")
def step_impl(context, owner, count):
    key = CALLER_KEY if owner == "the same one" else OTHER_KEY

    async def send(pair):
        headers = build_headers("look", f"pair-{pair}", key)
        return await send_request(context.fixture.gateway, "look", headers=headers)

    async def work():
        await asyncio.sleep(DELAY_BEFORE_PAIRS_S)
        pairs = [number // 2 for number in range(2 * count)]
        context.pair_responses = await asyncio.gather(*map(send, pairs))
        await asyncio.gather(*context.senders)

    context.fixture.run(work())


@then("each request of the callers is answered with {status:d} and ran once")
def step_impl(context, status):
    statuses = Counter(each.status for each in context.responses_by_id.values())
    assert set(statuses) == {status}, statuses
    runs_by_id = Counter(run.request_id for run in context.fixture.runs())
    for request_id, response in context.responses_by_id.items():
        assert runs_by_id[request_id] == 1, request_id
        assert response.body.endswith(f"answers {request_id}".encode()), response.body


@then("each request of the pairs is answered with {status:d}")
def step_impl(context, status):
    statuses = Counter(each.status for each in context.pair_responses)
    assert set(statuses) == {status}, statuses


@then("all slots are free again")
def step_impl(context):
    gate = context.fixture.gateway.gate

    def are_free():
        in_use = sum(load.in_use for load in gate.pool_loads())
        return not in_use and not gate.waiting_count()

    assert context.fixture.run(wait_until(are_free))
