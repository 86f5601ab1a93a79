"""Stand-in of the platform's object store."""

from aiohttp import web

from stoatpath.standins.faults import (
    FaultTable,
    apply_fault_after_call,
    apply_fault_before_call,
)
from stoatpath.standins.servers import StandinServer
from stoatpath.utils import decode_json


class ObjectStoreStandin:
    """Objects by key, in memory, with faults by operation."""

    __slots__ = ("faults", "by_key", "calls", "_server")

    def __init__(self):
        self.faults = FaultTable()
        self.by_key = {}
        self.calls = 0
        self._server = StandinServer([web.post("/v1/objects/{operation}", self._serve)])

    async def start(self):
        """Listen and return the base URL."""
        return f"http://{await self._server.start()}"

    async def stop(self):
        """Stop listening."""
        await self._server.stop()

    async def _serve(self, request):
        operation = request.match_info["operation"]
        message = decode_json(await request.read())
        fault = self.faults.next_fault(operation)
        early = await apply_fault_before_call(fault, request)
        if early is not None:
            return early
        self.calls += 1
        handlers = {
            "put": self._put,
            "get": self._get,
            "list": self._list,
            "delete": self._delete,
        }
        is_lost = fault is not None and fault.kind == "write-lost"
        if is_lost and operation in ("put", "delete"):
            return web.json_response({"key": message["key"]})
        return apply_fault_after_call(fault, request, handlers[operation](message))

    def _put(self, message):
        self.by_key[message["key"]] = message["value"]
        return {"key": message["key"]}

    def _get(self, message):
        key = message["key"]
        found = key in self.by_key
        return {"key": key, "found": found, "value": self.by_key.get(key)}

    def _list(self, message):
        prefix = message["prefix"]
        return {"keys": [key for key in self.by_key if key.startswith(prefix)]}

    def _delete(self, message):
        self.by_key.pop(message["key"], None)
        return {"key": message["key"]}
