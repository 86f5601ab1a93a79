"""Steps on requests that end plain services, through the routers of a site."""

import asyncio

import aiohttp
from behave import given, then, when

from stoatpath.clock import Clock
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration

SERVICE = "booking-desk"
CALLER_KEY = "sunset-huts.sunset-huts-sample-secret"
REPLY_TIMEOUT_S = 10
TAIL_MS = 2_000.0


class Lookup:
    """A lookup with the clock reading at which it was sent, and its response."""

    def __init__(self, path, sent_ms, status, headers):
        self.path = path
        self.sent_ms = sent_ms
        self.status = status
        self.headers = headers


class Lookups:
    """Sends lookups through the routers of a site in turn."""

    def __init__(self, site, session):
        self.site = site
        self.session = session
        self.done = []

    async def send_steadily(self, paths, rate, seconds):
        """Send lookups for the paths that `paths(number)` returns; await the answers."""
        tasks = []
        for number in range(int(rate * seconds)):
            tasks.append(asyncio.create_task(self._send(paths(number), number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    async def _send(self, path, number):
        routers = list(self.site.routers_by_name.values())
        address = routers[number % len(routers)].address
        sent_ms = Clock().now_ms()
        url = f"http://{address}/services/{SERVICE}{path}"
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        async with self.session.get(url, headers=headers) as response:
            lookup = Lookup(path, sent_ms, response.status, response.headers)
            self.done.append(lookup)


@given('booking-desk servers that end when they run "{path}", for {seconds:g} s each')
def step_impl(context, path, seconds):
    context.path = path
    context.down_s = seconds


@when(
    'the lookup "{path}" comes {rate:d} times a second for {seconds:d} s '
    "through the routers in turn, beside {others:d} others"
)
def step_impl(context, path, rate, seconds, others):
    async def run():
        site = Site()
        await site.start(routers=context.routers)
        try:
            await Demonstration(site).submit_samples()
            standins = site.services_of(SERVICE)
            for standin in standins:
                standin.end_on(context.path, context.down_s)
            timeout = aiohttp.ClientTimeout(total=REPLY_TIMEOUT_S)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                lookups = Lookups(site, session)
                await asyncio.gather(
                    lookups.send_steadily(lambda number: path, rate, seconds),
                    lookups.send_steadily(
                        lambda number: f"/huts/12?night={number}", others, seconds
                    ),
                )
            context.lookups = lookups.done
            context.ends_ms = sorted(
                end_ms for standin in standins for end_ms in standin.ends_ms
            )
        finally:
            await site.stop()

    asyncio.run(run())


@then("at most {count:d} of these run later than {seconds:d} s after the second end")
def step_impl(context, count, seconds):
    from_ms = context.ends_ms[1] + 1000 * seconds
    late = [end_ms for end_ms in context.ends_ms if end_ms > from_ms]
    assert len(late) <= count, (len(late), len(context.ends_ms))


def last_lookups(context, is_poison):
    sent = [
        each for each in context.lookups if (each.path == context.path) == is_poison
    ]
    from_ms = max(each.sent_ms for each in sent) - TAIL_MS
    return [each for each in sent if each.sent_ms >= from_ms]


@then("the last of these are refused with {status:d} and a time to return")
def step_impl(context, status):
    for lookup in last_lookups(context, is_poison=True):
        assert lookup.status == status, lookup.status
        assert float(lookup.headers["Retry-After"]) > 0.0


@then(
    "at least {least:d} in {total:d} of the others sent in the last 2 s "
    "are answered with {status:d}"
)
def step_impl(context, least, total, status):
    last = last_lookups(context, is_poison=False)
    served = sum(lookup.status == status for lookup in last)
    assert served * total >= least * len(last), (served, len(last))
