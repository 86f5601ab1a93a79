"""Steps that check answers of a complete site with one router."""

import asyncio
import time

from bad_requests import completion, request
from behave import given, then, when
from listeners import read_reply
from sites import (
    book,
    bookings,
    complete,
    executions,
    ledger,
    run_with_site,
    wait_until,
)

from stoatpath.admission.rates import RateLimits
from stoatpath.configuration.messages import MODEL, Change
from stoatpath.standins.faults import Fault
from stoatpath.utils import decode_json, encode_json

DONE = b"data: [DONE]\n\n"
RATE_PER_S = 20
SHORT_TIMEOUT_MS = 600


def withdraw(router, model, label, current):
    """Apply a configuration in which a version is withdrawn."""
    snapshot = router.follower.snapshot
    body = decode_json(encode_json(snapshot.by_kind[MODEL][model]))
    body["versions"][label]["state"] = "withdrawn"
    body["current"] = current
    change = Change(MODEL, model, body)
    router.follower.snapshot = snapshot.with_changes(snapshot.revision, [change])


@given("a site with one router")
def step_impl(context):
    context.limits = RateLimits


@when("a session whose version was withdrawn requests a stream")
def step_impl(context):
    async def work(site, router, session):
        request_headers = {"Stoatpath-Session": "guest-1"}
        async with complete(
            session, router, headers=request_headers, stream=True
        ) as response:
            context.first = response.headers["Stoatpath-Version"]
            await response.read()
        model, _, label = context.first.partition("@")
        withdraw(router, model, label, "2")
        async with complete(
            session, router, headers=request_headers, stream=True
        ) as response:
            context.headers = response.headers
            context.body = await response.read()

    run_with_site(work)


@then("the response head names the version, the session and why it moved")
def step_impl(context):
    assert context.first.endswith("@1")
    assert context.headers["Stoatpath-Version"].endswith("@2")
    assert context.headers["Stoatpath-Session"].startswith("st1.")
    assert "withdrawn" in context.headers["Stoatpath-Session-Moved"]


@then("the stream ends with its end marker")
def step_impl(context):
    assert context.body.endswith(DONE)


@when("every engine cuts its stream midway")
def step_impl(context):
    async def work(site, router, session):
        for engine in site.engines_by_name.values():
            engine.faults.add(Fault("complete", "stream-cut", count=None))
        context.body = b""
        async with complete(session, router, stream=True, max_tokens=60) as response:
            context.status = response.status
            try:
                async for chunk in response.content.iter_any():
                    context.body += chunk
            except OSError:
                context.was_cut = True
            except Exception as error:
                context.was_cut = "payload" in str(error).lower()
        context.records = await ledger(site)

    context.was_cut = False
    run_with_site(work)


@then("the caller received a part of the stream and no end marker")
def step_impl(context):
    assert context.status == 200 and context.body and context.was_cut
    assert DONE not in context.body


@then("nothing is billed")
def step_impl(context):
    assert context.records == [], context.records


@when("{count:d} requests are pipelined on one connection")
def step_impl(context, count):
    async def work(site, router, session):
        for engine in site.engines_by_name.values():
            engine.token_ms = 0.1
        messages = [[{"role": "user", "content": f"turn {n}"}] for n in range(count)]
        data = b"".join(request(completion(messages=each)) for each in messages)
        host, _, port = router.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        context.replies = [await read_reply(reader) for _ in range(count)]
        writer.close()

    run_with_site(work)


@then("the answers are in the order of the requests")
def step_impl(context):
    for index, reply in enumerate(context.replies):
        answer = decode_json(reply.body)
        text = answer["choices"][0]["message"]["content"]
        assert f"answers: turn {index} " in f"{text} ", text
        assert answer["id"] == reply.headers["Stoatpath-Request-Id"]


@when("{count:d} callers disconnect from their streams midway")
def step_impl(context, count):
    async def work(site, router, session):
        for engine in site.engines_by_name.values():
            engine.token_ms = 20
        for _ in range(count):
            call = complete(session, router, stream=True, max_tokens=2_000)
            async with call as response:
                await response.content.readany()
                response.close()
        await wait_until(lambda: not router.listener.open_by_id)
        context.held = [
            name
            for name, pool in router.gate._queue._pools_by_name.items()
            if pool.in_use
        ]
        engines = site.engines_by_name.values()
        await wait_until(lambda: not any(engine.running for engine in engines))
        context.finished = [each for each in executions(site) if each.finished]
        context.records = await ledger(site)

    run_with_site(work)


@then("no slot stays acquired and no engine completes a run")
def step_impl(context):
    assert context.held == []
    assert context.finished == []


@when("a caller disconnects from a slow keyed call and repeats it")
def step_impl(context):
    async def work(site, router, session):
        for service in site.services_by_name.values():
            service.faults.add(Fault("serve", "slow", delay_ms=300))
        try:
            async with asyncio.timeout(0.1):
                await book(session, router, 7, "hut-7")
        except TimeoutError:
            context.has_left = True
        await wait_until(lambda: bookings(site))
        await router.pipeline.drain()
        async with book(session, router, 7, "hut-7") as response:
            context.replay = (response.status, response.headers, await response.json())
        context.ran = bookings(site)
        context.records = await ledger(site)

    run_with_site(work)


@then("the repeated call gets the stored answer")
def step_impl(context):
    status, headers, answer = context.replay
    assert context.has_left and status == 200
    assert headers["Stoatpath-Replay"] == "true"
    assert answer["service"].startswith("booking-desk")


@then("the call ran once and is billed once")
def step_impl(context):
    assert len(context.ran) == 1, context.ran
    assert len(context.records) == 1, context.records


@when("a keyed stream is requested twice")
def step_impl(context):
    async def work(site, router, session):
        context.answers = []
        for _ in range(2):
            request_headers = {"Idempotency-Key": "lease-44"}
            async with complete(
                session, router, headers=request_headers, stream=True
            ) as response:
                context.answers.append((response.headers, await response.read()))
        context.ran = executions(site)
        context.records = await ledger(site)

    run_with_site(work)


@then("both answers have the same events and the second is a replay")
def step_impl(context):
    (first, first_body), (second, second_body) = context.answers
    assert first_body == second_body and first_body.endswith(DONE)
    assert first_body.count(b"data: ") > 10
    assert "Stoatpath-Replay" not in first
    assert second["Stoatpath-Replay"] == "true"
    assert second["Stoatpath-Version"] == first["Stoatpath-Version"]


@then("the stream ran once and is billed once")
def step_impl(context):
    assert len(context.ran) == 1 and len(context.records) == 1


class ExhaustedRateLimits(RateLimits):
    """Rate limits that use up all tokens before each request."""

    def acquire_token(self, organisation, now_ms):
        while (refusal := super().acquire_token(organisation, now_ms)) is None:
            pass
        return refusal


async def lookup(session, router, organisation="surf-school"):
    """Request a hut; return status, headers and body."""
    url = f"http://{router.address}/services/booking-desk/huts/1"
    secret = f"{organisation}.{organisation}-sample-secret"
    headers = {"Authorization": f"Bearer {secret}"}
    async with session.get(url, headers=headers) as response:
        return response.status, response.headers, await response.json()


@when("an organisation sends more than its rate limit")
def step_impl(context):
    async def work(site, router, session):
        started = time.monotonic()
        context.replies = []
        while not any(status == 429 for status, *_ in context.replies):
            sends = [lookup(session, router) for _ in range(2 * RATE_PER_S)]
            context.replies += await asyncio.gather(*sends)
        context.elapsed_s = time.monotonic() - started
        context.ran = [
            each[0]
            for service in site.services_by_name.values()
            for each in service.executions
        ]

    run_with_site(work)


@then("the rest is refused as rate-limited with a Retry-After header, and did not run")
def step_impl(context):
    refused = [reply for reply in context.replies if reply[0] == 429]
    for _, headers, body in refused:
        assert body["error"]["type"] == "rate-limited"
        assert headers["Stoatpath-Outcome"] == "not-run"
        assert int(headers["Retry-After"]) >= 1
        assert headers["Stoatpath-Request-Id"] not in context.ran
    admitted = len(context.replies) - len(refused)
    assert len(context.ran) == admitted
    assert admitted <= RATE_PER_S * (context.elapsed_s + 1) + 1, admitted


@given("the organisation has used up its rate limit")
def step_impl(context):
    context.limits = ExhaustedRateLimits


@when("a keyed request follows whose key {state}")
def step_impl(context, state):
    async def work(site, router, session):
        if state == "has an answer":
            async with book(session, router, 5, "hut-5", "surf-school") as response:
                assert response.status == 200
        if state == "may be running":
            for service in site.services_by_name.values():
                service.faults.add(Fault("serve", "error-after"))
            async with book(session, router, 5, "hut-5", "surf-school") as response:
                assert response.headers["Stoatpath-Outcome"] == "unknown"
        if state == "can't be read":
            site.table.faults.add(Fault("read", "down", count=None))
        router.rates = context.limits()
        async with book(session, router, 5, "hut-5", "surf-school") as response:
            context.reply = (response.status, response.headers["Stoatpath-Outcome"])

    run_with_site(work)


@then("its answer is {status:d} with the outcome {outcome}")
def step_impl(context, status, outcome):
    assert context.reply == (status, outcome), context.reply


@when("a keyed call needs a table that responds after its deadline")
def step_impl(context):
    async def work(site, router, session):
        site.table.faults.add(Fault("transact", "slow", delay_ms=1_500))
        limit = {"Stoatpath-Timeout-Ms": str(SHORT_TIMEOUT_MS)}
        async with book(session, router, 3, "hut-3", **limit) as response:
            context.outcome = response.headers["Stoatpath-Outcome"]
        context.claims = [key for key in site.table.rows if key.startswith("claims/")]
        context.ran_before = bookings(site)
        await router.pipeline.drain()
        async with book(session, router, 3, "hut-3") as response:
            context.status = response.status
        context.ran = bookings(site)

    run_with_site(work)


@then("its outcome is unknown by its deadline, and it did not run")
def step_impl(context):
    assert context.outcome == "unknown"
    assert context.claims == [], "the answer waited for the table"
    assert context.ran_before == []


@then("the key can be used again")
def step_impl(context):
    assert context.status == 200
    assert len(context.ran) == 1
