"""Steps for cached answers of plain services."""

import asyncio
from types import SimpleNamespace

import aiohttp
from behave import given, then, when

from stoatpath.billing.ledgers import read_ledger
from stoatpath.dispatch.messages import Answer
from stoatpath.lookups.answer_caches import AnswerCache
from stoatpath.lookups.cache_control import parse_cache_ttl_s
from stoatpath.services.tables import Table
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration

PATH = "/services/booking-desk/huts?from=monday"


@given("an answer with status {status:d} and headers {headers}")
def step_impl(context, status, headers):
    pairs = [header.split(": ") for header in headers.split("; ")]
    context.cache_ttl_s = parse_cache_ttl_s(status, dict(pairs))


@then("it may be cached for {seconds:d} seconds")
def step_impl(context, seconds):
    assert context.cache_ttl_s == seconds, context.cache_ttl_s


@given('a site whose booking desk sends Cache-Control "{header}"')
def step_impl(context, header):
    context.header = header


@given('a site whose booking desk sends Cache-Control ""')
def step_impl(context):
    context.header = ""


async def _call(session, address, organisation, method, path):
    secret = f"{organisation}.{organisation}-sample-secret"
    headers = {"Authorization": f"Bearer {secret}"}
    url = f"http://{address}{path}"
    async with session.request(method, url, headers=headers) as response:
        assert response.status == 200, response.status
        await response.read()
        return response.headers["Stoatpath-Request-Id"]


async def _run(context, first, second, between):
    site = Site()
    await site.start(routers=1)
    try:
        await Demonstration(site).submit_samples()
        desks = [
            standin
            for name, standin in site.services_by_name.items()
            if name.startswith("booking-desk")
        ]
        for desk in desks:
            desk.cache_control = context.header
        router = next(iter(site.routers_by_name.values()))
        address = router.address
        async with aiohttp.ClientSession() as session:
            ids = [await _call(session, address, first, "GET", PATH)]
            if between == "a booking":
                path = "/services/booking-desk/bookings"
                ids.append(await _call(session, address, second, "POST", path))
            ids.append(await _call(session, address, second, "GET", PATH))
        await router.outbox.flush()
        table = Table.from_url(site.settings("check", "zone-a").table_url)
        context.ledger = await read_ledger(table)
        await table.close()
        context.ids = ids
        context.ran = [
            method for desk in desks for _, method, _, _ in desk.executions
        ].count("GET")
    finally:
        await site.stop()


@when('"{first}" looks up the huts and then "{second}" does, with {between} between')
def step_impl(context, first, second, between):
    asyncio.run(_run(context, first, second, between))


@then("the booking desk ran {count:d} lookups")
def step_impl(context, count):
    assert context.ran == count, context.ran


@then("each answer has its own request identifier and is billed once")
def step_impl(context):
    assert len(set(context.ids)) == len(context.ids)
    billed = sorted(record["request_id"] for record in context.ledger)
    assert billed == sorted(context.ids), billed


def _request(path="/huts", is_lookup=True):
    return SimpleNamespace(
        organisation=SimpleNamespace(name="sunset-huts"),
        service=SimpleNamespace(name="booking-desk"),
        is_repeatable=is_lookup,
        method="GET" if is_lookup else "POST",
        path=path,
        idempotency_key="",
        body=b"",
    )


def _answer(size=2, cache_ttl_s=5):
    return Answer(200, "text/plain", b"x" * size, "", 0, cache_ttl_s)


@given("an empty cache")
def step_impl(context):
    context.cache = AnswerCache()


@when("a lookup is sent, a booking begins and ends, and the lookup is answered")
def step_impl(context):
    context.cache.invalidate(_request(is_lookup=False), 110.0)
    context.cache.invalidate(_request(is_lookup=False), 120.0)
    context.cache.store_answer(_request(), _answer(), 100.0)


@then("the answer is not cached")
def step_impl(context):
    assert context.cache.get_answer(_request(), 130.0) is None
    context.cache.store_answer(_request(), _answer(), 121.0)
    assert context.cache.get_answer(_request(), 130.0) is not None


@when("an answer with a lifetime of {seconds:d} seconds is stored")
def step_impl(context, seconds):
    context.cache.store_answer(_request(), _answer(cache_ttl_s=seconds), 0.0)


@then("it is found after {found_ms:d} ms and not after {gone_ms:d} ms")
def step_impl(context, found_ms, gone_ms):
    assert context.cache.get_answer(_request(), float(found_ms)) is not None
    assert context.cache.get_answer(_request(), float(gone_ms)) is None


@when("{count:d} answers of {size:d} bytes are stored")
def step_impl(context, count, size):
    context.paths = [f"/huts/{index}" for index in range(count)]
    for path in context.paths:
        context.cache.store_answer(_request(path), _answer(size), 0.0)


@then("at most {most:d} of them are found, the latest among them")
def step_impl(context, most):
    found = [
        path for path in context.paths if context.cache.get_answer(_request(path), 1.0)
    ]
    assert len(found) <= most, len(found)
    assert found[-1] == context.paths[-1]
