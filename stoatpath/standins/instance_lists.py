"""Stand-in of the platform's instance list, which may lag behind."""

from aiohttp import web

from stoatpath.standins.faults import (
    FaultTable,
    apply_fault_after_call,
    apply_fault_before_call,
)
from stoatpath.standins.servers import StandinServer


class InstanceListStandin:
    """Entries by name as the platform would publish them."""

    __slots__ = ("faults", "by_name", "reads", "down", "_server")

    def __init__(self):
        self.faults = FaultTable()
        self.by_name = {}
        self.reads = 0
        self.down = False
        self._server = StandinServer([web.post("/v1/instances", self._read)])

    async def start(self):
        """Listen and return the base URL."""
        return f"http://{await self._server.start()}"

    async def stop(self):
        """Stop listening."""
        await self._server.stop()

    def add(self, entry):
        """Add or replace an entry."""
        self.by_name[entry.name] = entry

    def remove(self, name):
        """Remove an entry if it is listed."""
        self.by_name.pop(name, None)

    async def _read(self, request):
        if self.down:
            return web.Response(status=503)
        fault = self.faults.next_fault("read")
        early = await apply_fault_before_call(fault, request)
        if early is not None:
            return early
        self.reads += 1
        entries = [entry.to_json() for entry in self.by_name.values()]
        return apply_fault_after_call(fault, request, {"instances": entries})
