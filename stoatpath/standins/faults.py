"""Fault tables: which calls of a stand-in fail, how, and how often."""


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

    def take(self, operation):
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
