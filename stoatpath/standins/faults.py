"""Fault tables: which calls of a stand-in fail, how, and how often.

Kinds that every platform stand-in knows: `down`, `throttled`, `slow`,
`request-lost`, `reply-lost`, `write-lost` (answered as done, not done),
`garbage` (not JSON) and `wrong-shape` (JSON of another form).
"""

import asyncio

from aiohttp import web

from stoatpath.standins.servers import drop_connection

THROTTLED_STATUS = 429
DOWN_STATUS = 503


class Fault:
    """One kind of fault for one operation, for a number of calls.

    `delay_ms` is used by the kinds that wait; `count` is None for a fault that
    stays until it is cleared.
    """

    __slots__ = ("operation", "kind", "count", "delay_ms")

    def __init__(self, operation, kind, count=1, delay_ms=0):
        self.operation = operation
        self.kind = kind
        self.count = count
        self.delay_ms = delay_ms

    def copy(self):
        """Return the same fault with a count of its own."""
        return Fault(self.operation, self.kind, self.count, self.delay_ms)


class FaultTable:
    """Faults by operation, taken in the order in which they were added."""

    __slots__ = ("_by_operation",)

    def __init__(self):
        self._by_operation = {}

    def add(self, fault):
        """Arrange a fault."""
        self._by_operation.setdefault(fault.operation, []).append(fault)

    def clear(self):
        """Drop every arranged fault."""
        self._by_operation.clear()

    def get_persistent_fault(self, operation):
        """Return the fault of an operation that lasts until cleared, or None."""
        for fault in self._by_operation.get(operation, ()):
            if fault.count is None:
                return fault
        return None

    def next_fault(self, operation):
        """Return the fault that the next call of an operation meets, or None."""
        faults = self._by_operation.get(operation)
        if not faults:
            return None
        fault = faults[0]
        if fault.count is not None:
            fault.count -= 1
            if fault.count <= 0:
                faults.pop(0)
        return fault


async def apply_fault_before_call(fault, request):
    """Return the answer that a fault gives before the call is run, or None."""
    if fault is None:
        return None
    if fault.kind == "slow":
        await asyncio.sleep(fault.delay_ms / 1000)
    if fault.kind == "request-lost":
        drop_connection(request)
    if fault.kind in ("down", "request-lost"):
        return web.Response(status=DOWN_STATUS)
    if fault.kind == "throttled":
        return web.Response(status=THROTTLED_STATUS)
    return None


def apply_fault_after_call(fault, request, answer):
    """Return the answer of a call that was run, as a fault leaves it."""
    kind = fault.kind if fault is not None else ""
    if kind == "reply-lost":
        drop_connection(request)
    if kind == "garbage":
        return web.Response(text="<html>bad gateway</html>")
    if kind == "wrong-shape":
        return web.json_response({"unexpected": [1, None]})
    return web.json_response(answer)
