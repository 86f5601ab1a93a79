"""An in-memory table row and processes that compete for its lease."""

from stoatpath.clock import ManualClock
from stoatpath.leases.states import LeaseState

SHARD = 3
ORDER_TIMEOUT_MS = 4_000


class MemoryRow:
    """One row with conditional writes; `version` 0 stands for an absent row."""

    def __init__(self):
        self.version = 0
        self.row = None

    def write(self, lease_write):
        """Apply a write if its condition holds; return whether it did."""
        if lease_write.row_version != self.version:
            return False
        self.version += 1
        self.row = lease_write.row
        return True


class Engine:
    """An engine that records the orders it accepted."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.fencing = 0
        self.accepted = []

    def order(self, name, fencing, now_ms):
        """Accept an order, unless tokens are checked and this one is stale."""
        if self.checks_fencing and fencing < self.fencing:
            return
        self.fencing = max(self.fencing, fencing)
        self.accepted.append((name, fencing, now_ms))


class Process:
    """One candidate for the lease, whose clock has an offset."""

    def __init__(self, name, row, clock, offset_ms):
        self.name = name
        self.lease = LeaseState(SHARD, name)
        self.row = row
        self.clock = clock
        self.offset_ms = offset_ms
        self.serial = 0

    def now_ms(self):
        """Return the clock reading of this process."""
        return self.clock.now_ms() + self.offset_ms

    def read(self):
        """Read the row."""
        self.lease.observe(self.row.version, self.row.row, self.now_ms())

    def next_write(self):
        """Return the write that is due now, or None."""
        self.serial += 1
        nonce = f"{self.name}-{self.serial}"
        return self.lease.next_write(self.now_ms(), nonce, True)

    def tick(self):
        """Read, write what is due, and read back."""
        self.read()
        write = self.next_write()
        if write is not None:
            self.row.write(write)
            self.read()
        return write

    def may_order(self):
        """Return whether the lease lasts until an order's deadline."""
        return self.lease.is_held(self.now_ms() + ORDER_TIMEOUT_MS)

    def is_holder(self):
        """Return whether this process believes that it holds the lease."""
        return self.lease.is_held(self.now_ms())


def start_pair():
    """Return a clock, a row and two processes; the first holds the lease."""
    clock = ManualClock()
    row = MemoryRow()
    first = Process("a", row, clock, 1_000_000.0)
    second = Process("b", row, clock, 5.0)
    first.tick()
    second.tick()
    return clock, row, first, second
