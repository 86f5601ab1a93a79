"""How a stand-in engine takes orders to hold versions.

An order is a complete desired state. What is missing is fetched from the weight
store first; what is not wanted is dropped once all of that is loaded.
"""

import asyncio

from aiohttp import web

from stoatpath.clock import Clock
from stoatpath.outcomes import is_failure
from stoatpath.utils import decode_json

STALE_STATUS = 409
LATE_STATUS = 410


class EngineOrders:
    """The orders of one engine. `by_version` is the engine's own table.

    Without a weight store an engine only drops versions and ignores loads.
    """

    __slots__ = (
        "quality_by_version",
        "checks_fencing",
        "checks_deadline",
        "fencing",
        "accepted",
        "rejected",
        "ordered",
        "weights",
        "_clock",
        "_job",
    )

    def __init__(self, by_version, checks_fencing, clock=None):
        self.quality_by_version = by_version
        self.checks_fencing = checks_fencing
        self.checks_deadline = True
        self.fencing = 0
        self.accepted = []
        self.rejected = []
        self.ordered = None
        self.weights = None
        self._clock = clock or Clock()
        self._job = None

    @property
    def is_loading(self):
        """Return whether an order is still being worked on."""
        return self._job is not None and not self._job.done()

    def report(self):
        """Return what a load report says of orders."""
        if not self.is_loading:
            return {"is_loading": False}
        return {"is_loading": True, "ordered": sorted(self.ordered)}

    async def handle_order(self, request):
        """Answer an order."""
        message = decode_json(await request.read())
        if self.checks_fencing and message["fencing"] < self.fencing:
            self.rejected.append(message)
            return web.json_response({"fencing": self.fencing}, status=STALE_STATUS)
        if self.checks_deadline and self._clock.wall_ms() > message["not_after_ms"]:
            self.rejected.append(message)
            return web.json_response({"fencing": self.fencing}, status=LATE_STATUS)
        self.fencing = max(self.fencing, message["fencing"])
        self.accepted.append(message)
        await self.stop()
        self.ordered = frozenset(message["versions"])
        self._job = asyncio.create_task(self._work(self.ordered))
        return web.json_response({"fencing": self.fencing})

    async def stop(self):
        """Give up the order that is being worked on."""
        if self.is_loading:
            self._job.cancel()
            await asyncio.gather(self._job, return_exceptions=True)

    async def close(self):
        """Stop, and close the connections to the weight store."""
        await self.stop()
        if self.weights is not None:
            await self.weights.close()

    async def _work(self, ordered):
        for version in sorted(ordered - set(self.quality_by_version)):
            if self.weights is None:
                return
            weights = await self.weights.fetch(version)
            if is_failure(weights):
                return
            self.quality_by_version[version] = weights["quality"]
        for version in sorted(set(self.quality_by_version) - ordered):
            del self.quality_by_version[version]
