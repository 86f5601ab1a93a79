"""Stand-in of the platform's rating service.

An answer of a stand-in engine states its quality in its text, from which the
score is parsed.
"""

import re

from aiohttp import web

from stoatpath.standins.faults import (
    FaultTable,
    apply_fault_after_call,
    apply_fault_before_call,
)
from stoatpath.standins.servers import StandinServer
from stoatpath.utils import decode_json

_QUALITY_PATTERN = re.compile(r"\[quality (\d\.\d+)\]")


class RatingStandin:
    """Scores answers by the quality that their text states."""

    __slots__ = ("faults", "down", "ratings", "_server")

    def __init__(self):
        self.faults = FaultTable()
        self.down = False
        self.ratings = 0
        self._server = StandinServer([web.post("/v1/ratings", self._rate)])

    async def start(self):
        """Listen and return the base URL."""
        return f"http://{await self._server.start()}"

    async def stop(self):
        """Stop listening."""
        await self._server.stop()

    async def _rate(self, request):
        if self.down:
            return web.Response(status=503)
        message = decode_json(await request.read())
        fault = self.faults.next_fault("rate")
        early = await apply_fault_before_call(fault, request)
        if early is not None:
            return early
        self.ratings += 1
        match = _QUALITY_PATTERN.search(message["answer"])
        answer = {"score": float(match.group(1)) if match else 0.0}
        return apply_fault_after_call(fault, request, answer)
