"""Applies the placement orders that a stand-in engine receives.

An order lists all versions that the engine is to hold. Missing versions are fetched
from the weight store first; other versions are dropped once all of these are loaded.
"""

import asyncio

from aiohttp import web

from stoatpath.clock import Clock
from stoatpath.outcomes import is_failure
from stoatpath.utils import decode_json

STALE_FENCING_STATUS = 409
EXPIRED_STATUS = 410


class EngineOrders:
    """Validates and applies orders; `quality_by_version` is shared with the engine.

    Without a weight store, an order that needs to load a version has no effect.
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
        "_task",
    )

    def __init__(self, quality_by_version, checks_fencing, clock=None):
        self.quality_by_version = quality_by_version
        self.checks_fencing = checks_fencing
        self.checks_deadline = True
        self.fencing = 0
        self.accepted = []
        self.rejected = []
        self.ordered = None
        self.weights = None
        self._clock = clock or Clock()
        self._task = None

    @property
    def is_loading(self):
        """Return whether an order is being applied."""
        return self._task is not None and not self._task.done()

    def report(self):
        """Return the fields of a load report that describe orders."""
        if not self.is_loading:
            return {"is_loading": False}
        return {"is_loading": True, "ordered": sorted(self.ordered)}

    async def handle_order(self, request):
        """Start to apply an order, or reject one that is stale or expired."""
        message = decode_json(await request.read())
        if self.checks_fencing and message["fencing"] < self.fencing:
            self.rejected.append(message)
            return web.json_response(
                {"fencing": self.fencing}, status=STALE_FENCING_STATUS
            )
        if self.checks_deadline and self._clock.wall_ms() > message["not_after_ms"]:
            self.rejected.append(message)
            return web.json_response({"fencing": self.fencing}, status=EXPIRED_STATUS)
        self.fencing = max(self.fencing, message["fencing"])
        self.accepted.append(message)
        await self.stop()
        self.ordered = frozenset(message["versions"])
        self._task = asyncio.create_task(self._apply(self.ordered))
        return web.json_response({"fencing": self.fencing})

    async def stop(self):
        """Cancel the order that is being applied."""
        if self.is_loading:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def close(self):
        """Cancel the current order and close the connections to the weight store."""
        await self.stop()
        if self.weights is not None:
            await self.weights.close()

    async def _apply(self, ordered):
        for version in sorted(ordered - set(self.quality_by_version)):
            if self.weights is None:
                return
            weights = await self.weights.fetch(version)
            if is_failure(weights):
                return
            self.quality_by_version[version] = weights["quality"]
        for version in sorted(set(self.quality_by_version) - ordered):
            del self.quality_by_version[version]
