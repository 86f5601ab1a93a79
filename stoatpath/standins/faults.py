"""Fault tables: which calls of a stand-in fail, how, and how often.

Kinds that the stand-ins of platform services share: `down`, `throttled`, `slow`,
`request-lost`, `reply-lost`, `garbage` (not JSON) and `wrong-shape` (JSON with
unexpected fields). Tables and objects also have `write-lost`: a write that is
confirmed, but not applied, and `empty-page` (no rows, though more follow).
"""

import asyncio

from aiohttp import web

from stoatpath.standins.servers import drop_connection

THROTTLED_STATUS = 429
DOWN_STATUS = 503


class Fault:
    """A fault of one operation.

    `count` is the number of calls that it affects, None until it is cleared;
    `delay_ms` is the delay of the kind `slow`, which replicas ignore (400 ms there).
    """

    __slots__ = ("operation", "kind", "count", "delay_ms")

    def __init__(self, operation, kind, count=1, delay_ms=0):
        self.operation = operation
        self.kind = kind
        self.count = count
        self.delay_ms = delay_ms

    def copy(self):
        """Return a copy with an independent count."""
        return Fault(self.operation, self.kind, self.count, self.delay_ms)


class FaultTable:
    """Queues of faults by operation, in the order in which they were added."""

    __slots__ = ("_by_operation",)

    def __init__(self):
        self._by_operation = {}

    def add(self, fault):
        """Add a fault to the queue of its operation."""
        self._by_operation.setdefault(fault.operation, []).append(fault)

    def clear(self):
        """Remove all faults."""
        self._by_operation.clear()

    def get_persistent_fault(self, operation):
        """Return the first fault of an operation that lasts until cleared, or None."""
        for fault in self._by_operation.get(operation, ()):
            if fault.count is None:
                return fault
        return None

    def next_fault(self, operation):
        """Return the fault of the next call of an operation, or None; count it down."""
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
    """Delay a call, or return the response that replaces it; None to run the call."""
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
    """Return the response of a call that was run, as modified by a fault."""
    kind = fault.kind if fault is not None else ""
    if kind == "reply-lost":
        drop_connection(request)
    if kind == "garbage":
        return web.Response(text="<html>bad gateway</html>")
    if kind == "wrong-shape":
        return web.json_response({"unexpected": [1, None]})
    if kind == "empty-page":
        return web.json_response(answer | {"rows": [], "truncated": True})
    return web.json_response(answer)
