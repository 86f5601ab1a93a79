"""A complete site with one router, and the work that its components ran."""

import asyncio
import random

import aiohttp

from stoatpath.billing.ledgers import read_ledger
from stoatpath.cascades.planners import Planner
from stoatpath.services.tables import Table
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration, chat

PLANNER_SEED = 7
WAIT_STEP_S = 0.02
WAIT_STEPS = 500


def run_with_site(work, **overrides):
    """Run `work(site, router, session)` against a started site."""

    async def run():
        site = Site()
        await site.start(routers=0)
        router = await site.start_router("router-1", "zone-a", **overrides)
        # The planner runs a few requests on the cheapest version at random, to learn.
        router.planner = Planner(router.estimates, random.Random(PLANNER_SEED))
        try:
            await Demonstration(site).submit_samples()
            async with aiohttp.ClientSession() as session:
                await wait_until(lambda: knows_backends(router))
                return await work(site, router, session)
        finally:
            site.table.faults.clear()
            await site.stop()

    return asyncio.run(run())


def knows_backends(router):
    """Return whether the load reports of all backend servers have arrived."""
    backends = router.backends.by_name.values()
    return backends and all(each.slots for each in backends)


async def wait_until(condition):
    """Return when a condition holds; it may be a coroutine function."""
    for _ in range(WAIT_STEPS):
        is_met = condition()
        if asyncio.iscoroutine(is_met):
            is_met = await is_met
        if is_met:
            return
        await asyncio.sleep(WAIT_STEP_S)
    raise AssertionError("the condition did not become true in time")


def headers_of(organisation, **headers):
    """Return the headers of a request of an organisation."""
    secret = f"{organisation}.{organisation}-sample-secret"
    return {"Authorization": f"Bearer {secret}", **headers}


def complete(session, router, organisation="reef-villages", headers=(), **changes):
    """Start a chat completion of an organisation."""
    body = {**chat("desk-assist", "High tide?"), **changes}
    return session.post(
        f"http://{router.address}/v1/chat/completions",
        json=body,
        headers=headers_of(organisation, **dict(headers)),
    )


def book(session, router, hut, key, organisation="sunset-huts", **headers):
    """Start a booking, a call that may not be repeated."""
    return session.post(
        f"http://{router.address}/services/booking-desk/bookings",
        json={"hut": hut},
        headers=headers_of(organisation, **{"Idempotency-Key": key}, **headers),
    )


def bookings(site):
    """Return the request bodies of all bookings that ran."""
    return [
        body
        for service in site.services_by_name.values()
        for _, method, _, body in service.executions
        if method == "POST"
    ]


def executions(site):
    """Return all runs that engines started."""
    return [
        each for engine in site.engines_by_name.values() for each in engine.executions
    ]


async def ledger(site):
    """Return all billing records."""
    for router in site.routers_by_name.values():
        await router.outbox.flush()
    table = Table.from_url(site.settings("check", "zone-a").table_url)
    try:
        return await read_ledger(table)
    finally:
        await table.close()
