"""Stand-in of the platform's rate-limited weight store.

The weights of a version are the quality with which a stand-in engine answers
once it has loaded the version. Faults of `fetch`: `down`, `slow`, `request-lost`,
`throttled`.
"""

from aiohttp import web

from stoatpath.clock import Clock
from stoatpath.standins.faults import FaultTable, apply_fault_before_call
from stoatpath.standins.servers import StandinServer
from stoatpath.utils import decode_json

THROTTLED_STATUS = 429
MISSING_STATUS = 404
MINUTE_MS = 60_000


class WeightsStandin:
    """Serves the quality of each version, up to `per_minute` fetches a minute."""

    __slots__ = (
        "quality_by_version",
        "faults",
        "fetches",
        "throttled",
        "_per_minute",
        "_fetched_ms",
        "_clock",
        "_server",
    )

    def __init__(self, quality_by_version, per_minute=60, clock=None):
        self.quality_by_version = dict(quality_by_version)
        self.faults = FaultTable()
        self.fetches = []
        self.throttled = 0
        self._per_minute = per_minute
        self._fetched_ms = []
        self._clock = clock or Clock()
        self._server = StandinServer([web.post("/v1/weights", self._fetch)])

    async def start(self):
        """Listen and return the base URL."""
        return f"http://{await self._server.start()}"

    async def stop(self):
        """Stop listening."""
        await self._server.stop()

    async def _fetch(self, request):
        message = decode_json(await request.read())
        early = await apply_fault_before_call(self.faults.next_fault("fetch"), request)
        if early is not None:
            return early
        now_ms = self._clock.now_ms()
        recent = [each for each in self._fetched_ms if each > now_ms - MINUTE_MS]
        if len(recent) >= self._per_minute:
            self.throttled += 1
            return web.Response(status=THROTTLED_STATUS)
        self._fetched_ms = [*recent, now_ms]
        version = message["version"]
        if version not in self.quality_by_version:
            return web.Response(status=MISSING_STATUS)
        self.fetches.append(version)
        quality = self.quality_by_version[version]
        return web.json_response({"weights": {"quality": quality}})
