"""Claims, renews and hands over the leases of shards."""

import logging

from stoatpath.leases.messages import LeaseRow, lease_key
from stoatpath.leases.states import LeaseState
from stoatpath.outcomes import Outcome, is_failure
from stoatpath.services.messages import Condition, Put, Transaction
from stoatpath.utils import new_id, rendezvous_rank

logger = logging.getLogger(__name__)

SHARDS = 16
TICK_MS = 1_000
# The first candidate and the standby that takes over from it.
CANDIDATES_PER_SHARD = 2
SHARD_HASH_PREFIX = "shard-"


def shard_of(resource):
    """Return the shard of a resource, such as the name of a pool or roll-out."""
    shards = [f"{SHARD_HASH_PREFIX}{shard}" for shard in range(SHARDS)]
    return int(rendezvous_rank(resource, shards)[0].removeprefix(SHARD_HASH_PREFIX))


class LeaseKeeper:
    """Leases of all shards. `live_names` returns the processes that may hold one.

    Candidates are ranked by rendezvous hashing. The first candidate of a shard claims
    it; the second one follows its row and takes over once the first is not live.
    """

    __slots__ = (
        "_table",
        "_clock",
        "_name",
        "_live_names",
        "_handover_after_ms",
        "by_shard",
    )

    def __init__(self, table, clock, name, incarnation, live_names):
        self._table = table
        self._clock = clock
        self._name = name
        self._live_names = live_names
        self._handover_after_ms = {}
        holder = f"{name}/{incarnation}"
        self.by_shard = {shard: LeaseState(shard, holder) for shard in range(SHARDS)}

    def lease_of(self, resource):
        """Return the lease of the shard of a resource."""
        return self.by_shard[shard_of(resource)]

    def defer_handover(self, shard, deadline_ms):
        """Don't hand a shard over to a preferred candidate before a clock reading."""
        known_ms = self._handover_after_ms.get(shard, deadline_ms)
        self._handover_after_ms[shard] = max(known_ms, deadline_ms)

    async def run(self):
        """Maintain the leases until cancelled."""
        while True:
            await self.tick()
            await self._clock.sleep_until(self._clock.now_ms() + TICK_MS)

    async def tick(self):
        """Read the rows of the relevant leases, then send the writes that are due."""
        leases = self._relevant_leases()
        if not leases or not await self._read(leases):
            return
        for lease, is_first in leases:
            await self._maintain_lease(lease, is_first)

    async def release_all(self):
        """Release every held lease, for a graceful stop."""
        for lease in self.by_shard.values():
            write = lease.release(self._clock.now_ms(), new_id("lease"))
            if write is not None:
                await self._submit_write(lease, write)

    def _relevant_leases(self):
        """Return leases held or followed here, and whether this process ranks first."""
        names = self._live_names()
        now_ms = self._clock.now_ms()
        leases = []
        for shard, lease in self.by_shard.items():
            ranked = rendezvous_rank(lease_key(shard), names)[:CANDIDATES_PER_SHARD]
            if self._name in ranked or lease.is_held(now_ms):
                leases.append((lease, ranked[:1] == [self._name]))
        return leases

    async def _read(self, leases):
        keys = [lease_key(lease.shard) for lease, _ in leases]
        rows = await self._table.read(keys)
        if is_failure(rows):
            logger.warning("leases.read-failed", extra={"why": rows.detail})
            return False
        for lease, _ in leases:
            self._observe(lease, rows[lease_key(lease.shard)])
        return True

    def _observe(self, lease, row):
        value = LeaseRow.from_json(row.value) if row.version else None
        lease.observe(row.version, value, self._clock.now_ms())

    async def _maintain_lease(self, lease, is_first):
        now_ms = self._clock.now_ms()
        nonce = new_id("lease")
        is_busy = now_ms < self._handover_after_ms.get(lease.shard, now_ms)
        if lease.is_held(now_ms) and not is_first and not is_busy:
            write = lease.release(now_ms, nonce)
        else:
            write = lease.next_write(now_ms, nonce, is_first)
        if write is not None and await self._submit_write(lease, write):
            await self._read_back(lease, write)

    async def _submit_write(self, lease, write):
        """Send a write; return whether it may have taken effect."""
        key = lease_key(lease.shard)
        result = await self._table.transact(
            Transaction(
                [Condition(key, write.row_version)], [Put(key, write.row.to_json())]
            )
        )
        if is_failure(result):
            logger.warning("leases.write-unsettled", extra={"why": result.detail})
        return not is_failure(result) or result.outcome is not Outcome.NOT_RUN

    async def _read_back(self, lease, write):
        """Read the row back: a lost reply doesn't tell if the write took effect."""
        key = lease_key(lease.shard)
        rows = await self._table.read([key])
        if not is_failure(rows):
            self._observe(lease, rows[key])
            self._log_write(lease, write)

    def _log_write(self, lease, write):
        logger.info(
            "leases.written",
            extra={
                "shard": lease.shard,
                "fencing": write.row.fencing,
                "held": lease.is_held(self._clock.now_ms()),
                "released": write.row.is_released,
            },
        )
