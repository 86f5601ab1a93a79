"""State machine of the lease of one shard, as seen by one process.

The holder times its lease from before it sent the write, any other process from
after it first read that write. So the lease expires at the holder first, whatever
the network delays, provided that the clocks keep running while a process or machine
is suspended.
"""

from stoatpath.leases.messages import LeaseRow, LeaseWrite

LEASE_MS = 15_000
# Age of the holder's last write at which it renews the lease.
RENEW_MS = 5_000
# Other processes wait this long after a lease's end, for clocks of different rates.
CLOCK_DRIFT_MARGIN_MS = 500
NEVER_MS = float("-inf")


class LeaseState:
    """The lease of one shard as seen by one process.

    `held_until_ms` is when the lease expires if this process holds it, `claimed_ms`
    when it read back its claim.
    """

    __slots__ = (
        "shard",
        "holder",
        "held_until_ms",
        "claimed_ms",
        "fencing",
        "row_version",
        "_row",
        "_first_seen_ms",
        "_sent_ms_by_nonce",
        "_renew_at_ms",
    )

    def __init__(self, shard, holder):
        self.shard = shard
        self.holder = holder
        self.held_until_ms = NEVER_MS
        self.claimed_ms = NEVER_MS
        self.fencing = 0
        self.row_version = None
        self._row = None
        self._first_seen_ms = NEVER_MS
        self._sent_ms_by_nonce = {}
        self._renew_at_ms = NEVER_MS

    def is_held(self, until_ms):
        """Return whether this process holds the lease until a clock reading."""
        return until_ms < self.held_until_ms

    def observe(self, row_version, row, now_ms):
        """Update the state from a row just read; `row` is None if it is absent."""
        if self.row_version is not None and row_version < self.row_version:
            return
        if row_version != self.row_version:
            self.row_version = row_version
            self._row = row
            self._first_seen_ms = now_ms
            self._update_holding(now_ms)

    def next_write(self, now_ms, nonce, may_claim):
        """Return the write that this process should send now, or None."""
        if self.row_version is None:
            return None
        if self.is_held(now_ms):
            if now_ms < self._renew_at_ms:
                return None
            return self._write(LeaseRow(self.holder, self.fencing, nonce), now_ms)
        if not may_claim or not self._is_free(now_ms):
            return None
        fencing = 1 if self._row is None else self._row.fencing + 1
        return self._write(LeaseRow(self.holder, fencing, nonce), now_ms)

    def release(self, now_ms, nonce):
        """Stop holding the lease; return the write that releases it, or None."""
        if not self.is_held(now_ms):
            return None
        self.held_until_ms = NEVER_MS
        return self._write(LeaseRow(self.holder, self.fencing, nonce, True), now_ms)

    def _write(self, row, now_ms):
        self._sent_ms_by_nonce[row.nonce] = now_ms
        return LeaseWrite(self.row_version, row, now_ms)

    def _is_free(self, now_ms):
        if self._row is None or self._row.is_released:
            return True
        free_at_ms = self._first_seen_ms + LEASE_MS + CLOCK_DRIFT_MARGIN_MS
        return now_ms >= free_at_ms

    def _update_holding(self, now_ms):
        """Hold the lease if this process wrote the row, otherwise give it up."""
        sent_ms = None
        if self._row is not None:
            sent_ms = self._sent_ms_by_nonce.get(self._row.nonce)
        self._sent_ms_by_nonce.clear()
        if sent_ms is None or self._row.is_released:
            self.held_until_ms = NEVER_MS
            return
        if self._row.fencing != self.fencing or self.held_until_ms == NEVER_MS:
            self.claimed_ms = now_ms
        self.fencing = self._row.fencing
        self.held_until_ms = sent_ms + LEASE_MS
        self._renew_at_ms = sent_ms + RENEW_MS
