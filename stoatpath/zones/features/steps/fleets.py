"""Gateways and backend servers in several zones, and their callers."""

import asyncio
import itertools

import aiohttp

from stoatpath.standins.deployments import CALLER_KEY, HOST, Deployment

ATTEMPT_ID = "X-Stoatpath-Attempt-Id"
REPLY_TIMEOUT_S = 10
KNOWN_WITHIN_S = 5.0
POSTED_ROUTES = ("book", "chat", "tell", "sum")
MODEL_ROUTES = ("chat", "tell", "sum")


class CallerResponse:
    """A response as its caller got it; status 0 means that the connection failed."""

    def __init__(self, status, headers, body, took_s):
        self.status = status
        self.headers = headers
        self.body = body
        self.took_s = took_s


class ZoneFleet:
    """A deployment with an event loop of its own.

    `responses` holds those since the last change of the zones.
    """

    def __init__(self, gateways, backends, zones, regions=None):
        self.loop = asyncio.new_event_loop()
        self.deployment = Deployment()
        self.responses = []
        self.arrivals_before = {}
        self.regions = regions
        self._numbers = itertools.count()
        self.run(self._start(gateways, backends, zones))

    def run(self, work):
        return self.loop.run_until_complete(work)

    @property
    def gateways(self):
        return self.deployment.gateways

    def replicas(self, zone):
        replicas = self.deployment.replicas_by_name.values()
        return [each for each in replicas if each.zone == zone]

    def close(self):
        self.run(self.deployment.stop())
        self.loop.close()

    async def _start(self, gateways, backends, zones):
        deployment = self.deployment
        await deployment.start(backends, backends, 0, zones)
        for index in range(gateways):
            await self.add_gateway(f"gateway-{index}")
        await deployment.wait_until_in_sync()

    async def add_gateway(self, name):
        seeds = [each.peer_server.address for each in self.gateways]
        gateway = await self.deployment.add_gateway(
            name, "z0", seeds, self.regions, evac_ms=5_000
        )
        await self.deployment.wait_until_in_sync()
        return gateway

    async def order(self, zone, is_drained):
        """Write or remove the row; return the seconds until all gateways knew it."""
        self.forget_past()
        store = self.deployment.store
        key = f"evacuate/{zone}"
        await (store.put("op", key, {}) if is_drained else store.remove("op", key))
        started_s = self.loop.time()
        is_known = await wait_until(
            lambda: all(
                each.eligible.evacuations.is_drained(zone) is is_drained
                for each in self.gateways
            ),
            KNOWN_WITHIN_S,
        )
        assert is_known, f"{zone}: not known after {KNOWN_WITHIN_S} s"
        return self.loop.time() - started_s

    def forget_past(self):
        """Count responses and arrivals from now on."""
        self.responses = []
        self.arrivals_before = {
            name: len(each.arrivals)
            for name, each in self.deployment.replicas_by_name.items()
        }

    def arrivals(self, zone):
        """Return the number of requests that came to a zone since then."""
        return sum(
            len(each.arrivals) - self.arrivals_before.get(each.name, 0)
            for each in self.replicas(zone)
        )

    async def send(self, route, gateway=None, **changes):
        """Send one request through a gateway; keep and return its response."""
        number = next(self._numbers)
        started_s = self.loop.time()
        status, headers, body = await self._send(
            route, gateway or self.gateways[0], number, changes
        )
        took_s = self.loop.time() - started_s
        self.responses.append(CallerResponse(status, headers, body, took_s))
        return self.responses[-1]

    async def _send(self, route, gateway, number, changes):
        is_posted = route in POSTED_ROUTES
        url = f"http://{gateway.listener.address}/{route}/1"
        timeout = aiohttp.ClientTimeout(total=REPLY_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                async with session.request(
                    "POST" if is_posted else "GET",
                    url,
                    headers=request_headers(route, number) | changes,
                    data=f"body {number}".encode() if is_posted else None,
                ) as response:
                    body = await response.read()
                    return response.status, response.headers, body
            except aiohttp.ClientError as error:
                return 0, {}, repr(error).encode()

    async def send_through_all(self, count, route, **changes):
        for _ in range(count):
            await asyncio.gather(
                *(self.send(route, gateway, **changes) for gateway in self.gateways)
            )


def request_headers(route, number):
    headers = {
        "Host": HOST,
        ATTEMPT_ID: f"attempt-{number}",
        "X-Stoatpath-Deadline-Ms": "4000",
        "Authorization": f"Bearer {CALLER_KEY}",
    }
    if route in MODEL_ROUTES:
        headers |= {
            "Accept": "*/*" if route == "sum" else "text/event-stream",
            "X-Stoatpath-Model": "*",
            "X-Stoatpath-Token-Counts": "100,50",
            "X-Stoatpath-Prompt-Prefix": f"aa{number}:60,bb:40",
            "Session": f"s-{number}",
        }
    return headers


async def wait_until(condition, seconds=5.0):
    """Return whether the condition becomes true in time."""
    for _ in range(int(seconds / 0.01)):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return condition()
