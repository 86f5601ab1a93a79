"""Stand-in of the platform's transactional table service.

Writes and reads per second are limited. A transaction counts as one write; a read
or a page of a scan counts as one read.
"""

import bisect
import re

from aiohttp import web

from stoatpath.clock import Clock
from stoatpath.leases.messages import LEASE_PREFIX
from stoatpath.standins.faults import (
    THROTTLED_STATUS,
    FaultTable,
    apply_fault_after_call,
    apply_fault_before_call,
)
from stoatpath.standins.servers import StandinServer
from stoatpath.utils import decode_json

WRITES_PER_S = 400
READS_PER_S = 2_000
LEASE_ROW = re.compile(rf"{LEASE_PREFIX}\d+$")


class TableStandin:
    """Rows in memory, with conditional transactions, rate limits and faults."""

    __slots__ = (
        "faults",
        "rows",
        "writes",
        "reads",
        "throttled",
        "_keys",
        "_clock",
        "_window",
        "_server",
    )

    def __init__(self, clock=None):
        self.faults = FaultTable()
        self.rows = {}
        self.writes = 0
        self.reads = 0
        self.throttled = 0
        self._keys = []
        self._clock = clock or Clock()
        self._window = [0, 0, 0]
        self._server = StandinServer(
            [
                web.post("/v1/transact", self._transact),
                web.post("/v1/read", self._read),
                web.post("/v1/scan", self._scan),
            ]
        )

    async def start(self):
        """Listen and return the base URL."""
        return f"http://{await self._server.start()}"

    async def stop(self):
        """Stop listening."""
        await self._server.stop()

    def put(self, key, value):
        """Write a row."""
        version, _ = self.rows.get(key, (0, None))
        if version == 0:
            bisect.insort(self._keys, key)
        self.rows[key] = (version + 1, value)

    def delete(self, key):
        """Remove a row."""
        if key in self.rows:
            del self.rows[key]
            self._keys.pop(bisect.bisect_left(self._keys, key))

    def _exceeds_rate(self, is_write):
        second = int(self._clock.now_ms() / 1000)
        if self._window[0] != second:
            self._window = [second, 0, 0]
        index = 1 if is_write else 2
        self._window[index] += 1
        return self._window[index] > (WRITES_PER_S if is_write else READS_PER_S)

    async def _admit(self, request, operation, keys=()):
        """Return a pair: the response that replaces the call or None, and the fault."""
        is_write = operation == "transact"
        if self._exceeds_rate(is_write):
            self.throttled += 1
            return web.Response(status=THROTTLED_STATUS), None
        fault = self._next_fault(operation, keys)
        return await apply_fault_before_call(fault, request), fault

    def _next_fault(self, operation, keys):
        """Return the fault of a call; calls on leases alone get lasting faults only.

        Controllers read and write leases all the time, and would use up a fault
        that a test adds for its own next call.
        """
        if keys and all(LEASE_ROW.match(key) for key in keys):
            return self.faults.get_persistent_fault(operation)
        return self.faults.next_fault(operation)

    async def _transact(self, request):
        message = decode_json(await request.read())
        early, fault = await self._admit(
            request, "transact", [put["key"] for put in message["puts"]]
        )
        if early is not None:
            return early
        if fault is not None and fault.kind == "write-lost":
            return web.json_response({"applied": True, "current": []})
        self.writes += 1
        conditions = message["conditions"]
        is_applied = all(
            self._version(each["key"]) == each["version"] for each in conditions
        )
        if is_applied:
            for put in message["puts"]:
                self.put(put["key"], put["value"])
            for key in message.get("deletes", ()):
                self.delete(key)
        current = [] if is_applied else [self._row(each["key"]) for each in conditions]
        return apply_fault_after_call(
            fault, request, {"applied": is_applied, "current": current}
        )

    async def _read(self, request):
        message = decode_json(await request.read())
        early, fault = await self._admit(request, "read", message["keys"])
        if early is not None:
            return early
        self.reads += 1
        rows = [self._row(key) for key in message["keys"]]
        return apply_fault_after_call(fault, request, {"rows": rows})

    async def _scan(self, request):
        message = decode_json(await request.read())
        early, fault = await self._admit(request, "scan")
        if early is not None:
            return early
        self.reads += 1
        prefix = message["prefix"]
        start = (
            bisect.bisect_right(self._keys, message["after"]) if message["after"] else 0
        )
        start = max(start, bisect.bisect_left(self._keys, prefix))
        page = self._keys[start : start + message["limit"]]
        rows = [self._row(key) for key in page if key.startswith(prefix)]
        return apply_fault_after_call(fault, request, {"rows": rows})

    def _version(self, key):
        return self.rows.get(key, (0, None))[0]

    def _row(self, key):
        version, value = self.rows.get(key, (0, None))
        return {"key": key, "version": version, "value": value}
