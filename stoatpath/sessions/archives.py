"""Writes the pins that a roll-out could change to the platform's table, in batches."""

import asyncio
import hashlib
import logging

from stoatpath.outcomes import is_failure
from stoatpath.services.messages import Put, Transaction
from stoatpath.sessions.pins import SessionPin

logger = logging.getLogger(__name__)

PIN_PREFIX = "pins/"
MAX_BATCH_PINS = 200
MAX_PENDING_PINS = 5_000
RETRY_PERIOD_MS = 1_000
MIN_BATCH_PERIOD_MS = 100
MAX_SITE_TRANSACTIONS_PER_S = 50
MAX_READS_PER_S = 2.0
HALTED = "halted"


class PinArchive:
    """Writes pins at risk in batches, and reads a pin that no instance has in memory.

    A pin and its model are at risk while the model has a roll-out that is not
    halted. Without a roll-out a lost pin does no harm: the session gets the same
    current version.
    """

    __slots__ = (
        "_table",
        "_follower",
        "_clock",
        "_pending_by_key",
        "_has_pending",
        "_read_allowance",
        "_read_allowance_updated_ms",
        "dropped",
    )

    def __init__(self, table, follower, clock):
        self._table = table
        self._follower = follower
        self._clock = clock
        self._pending_by_key = {}
        self._has_pending = asyncio.Event()
        self._read_allowance = MAX_READS_PER_S
        self._read_allowance_updated_ms = clock.now_ms()
        self.dropped = 0

    def enqueue(self, pin):
        """Queue a pin for writing if its model is at risk.

        A full queue drops the pin of the session that was queued first.
        """
        if not self._is_at_risk(pin.version.partition("@")[0]):
            return
        self._pending_by_key[pin.key] = pin
        if len(self._pending_by_key) > MAX_PENDING_PINS:
            del self._pending_by_key[next(iter(self._pending_by_key))]
            self.dropped += 1
        self._has_pending.set()

    async def read_pin(self, service, key, is_conclusive):
        """Return the stored pin of a session, or None.

        When the lookup at the holders was conclusive, a stored pin exists only if
        both holders were lost. Such reads are limited to `MAX_READS_PER_S`.
        """
        if not any(self._is_at_risk(model) for model in service.cascade):
            return None
        if is_conclusive and not self._try_spend_read():
            return None
        row_key = pin_row_key(key)
        rows = await self._table.read([row_key])
        if is_failure(rows) or rows[row_key].version == 0:
            return None
        return SessionPin.from_json(rows[row_key].value)

    async def run(self):
        """Write batches of pending pins until cancelled."""
        while True:
            await self._has_pending.wait()
            await self._clock.sleep_until(self._clock.now_ms() + self.batch_period_ms())
            if not await self.flush():
                await self._clock.sleep_until(self._clock.now_ms() + RETRY_PERIOD_MS)

    def batch_period_ms(self):
        """Return the time between batches, which grows with the number of members.

        It bounds the writes of the whole site. Until a pin is written, its two
        holders have it in memory.
        """
        members = self._follower.count_members()
        return max(MIN_BATCH_PERIOD_MS, members * 1000 / MAX_SITE_TRANSACTIONS_PER_S)

    async def flush(self):
        """Write all pending pins; return whether every write succeeded."""
        while self._pending_by_key:
            keys = list(self._pending_by_key)[:MAX_BATCH_PINS]
            batch = {key: self._pending_by_key.pop(key) for key in keys}
            puts = [Put(pin_row_key(pin.key), pin.to_json()) for pin in batch.values()]
            result = await self._table.transact(Transaction([], puts))
            if is_failure(result):
                logger.warning("sessions.write-failed", extra={"why": result.detail})
                self._pending_by_key = {**batch, **self._pending_by_key}
                return False
        self._has_pending.clear()
        return True

    def _is_at_risk(self, model):
        rollouts = self._follower.snapshot.rollouts_by_name.values()
        return any(
            rollout["model"] == model and rollout.get("state") != HALTED
            for rollout in rollouts
        )

    def _try_spend_read(self):
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._read_allowance_updated_ms) / 1000 * MAX_READS_PER_S
        self._read_allowance = min(MAX_READS_PER_S, self._read_allowance + refilled)
        self._read_allowance_updated_ms = now_ms
        if self._read_allowance < 1.0:
            return False
        self._read_allowance -= 1.0
        return True


def pin_row_key(key):
    """Return the table row key of a pin key."""
    return PIN_PREFIX + hashlib.sha256(key.encode()).hexdigest()
