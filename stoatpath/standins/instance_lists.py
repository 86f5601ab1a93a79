"""Stand-in of the platform's lagging list of instances."""

from aiohttp import web

from stoatpath.standins.servers import StandinServer


class InstanceListStandin:
    """Entries by name as the platform would publish them."""

    __slots__ = ("by_name", "down", "_server")

    def __init__(self):
        self.by_name = {}
        self.down = False
        self._server = StandinServer([web.post("/v1/instances", self._read)])

    async def start(self):
        """Listen and return the base URL."""
        return f"http://{await self._server.start()}"

    async def stop(self):
        """Stop listening."""
        await self._server.stop()

    def add(self, entry):
        """Publish an entry, or a change of one."""
        self.by_name[entry.name] = entry

    def remove(self, name):
        """Withdraw an entry."""
        self.by_name.pop(name, None)

    async def _read(self, request):
        if self.down:
            return web.Response(status=503)
        entries = [entry.to_json() for entry in self.by_name.values()]
        return web.json_response({"instances": entries})
