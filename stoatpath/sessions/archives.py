"""Keeps pins that a roll-out could change in the platform's table, in batches."""

import asyncio
import hashlib
import logging

from stoatpath.outcomes import is_failure
from stoatpath.services.messages import Put, Transaction
from stoatpath.sessions.pins import SessionPin

logger = logging.getLogger(__name__)

PIN_PREFIX = "pins/"
MAX_BATCH_PINS = 200
MAX_WAITING_PINS = 5_000
RETRY_PERIOD_MS = 1_000
MIN_BATCH_PERIOD_MS = 100
SITE_WRITES_PER_S = 50
READS_PER_S = 2.0
HALTED = "halted"


class PinArchive:
    """The task that writes pins at risk, and reads one when memory has none.

    A pin is at risk while its model has a roll-out: without one, the same session
    would be given the same current version again.
    """

    __slots__ = (
        "_table",
        "_follower",
        "_clock",
        "_waiting_by_key",
        "_filled",
        "_reads",
        "_reads_at_ms",
        "dropped",
    )

    def __init__(self, table, follower, clock):
        self._table = table
        self._follower = follower
        self._clock = clock
        self._waiting_by_key = {}
        self._filled = asyncio.Event()
        self._reads = READS_PER_S
        self._reads_at_ms = clock.now_ms()
        self.dropped = 0

    def enqueue(self, pin):
        """Write a pin soon if it is at risk; the oldest waiting one may be lost."""
        if not self._is_at_risk(pin.version.partition("@")[0]):
            return
        self._waiting_by_key[pin.key] = pin
        if len(self._waiting_by_key) > MAX_WAITING_PINS:
            del self._waiting_by_key[next(iter(self._waiting_by_key))]
            self.dropped += 1
        self._filled.set()

    async def read_pin(self, service, key, is_certain):
        """Return the stored pin of a session, or None.

        When the holders were certain that there is none, only a few reads a
        second are spent on those that lost both holders.
        """
        if not any(self._is_at_risk(model) for model in service.cascade):
            return None
        if is_certain and not self._may_read():
            return None
        row_key = row_key_of(key)
        rows = await self._table.read([row_key])
        if is_failure(rows) or rows[row_key].version == 0:
            return None
        return SessionPin.from_json(rows[row_key].value)

    async def run(self):
        """Write batches until cancelled."""
        while True:
            await self._filled.wait()
            await self._clock.sleep_until(self._clock.now_ms() + self.period_ms())
            if not await self.flush():
                await self._clock.sleep_until(self._clock.now_ms() + RETRY_PERIOD_MS)

    def period_ms(self):
        """Return the time between batches that bounds the writes of the site.

        Until a pin is written, its two holders keep it.
        """
        members = self._follower.count_members()
        return max(MIN_BATCH_PERIOD_MS, members * 1000 / SITE_WRITES_PER_S)

    async def flush(self):
        """Write what waits; return whether all of it is written."""
        while self._waiting_by_key:
            keys = list(self._waiting_by_key)[:MAX_BATCH_PINS]
            batch = {key: self._waiting_by_key.pop(key) for key in keys}
            puts = [Put(row_key_of(pin.key), pin.to_json()) for pin in batch.values()]
            result = await self._table.transact(Transaction([], puts))
            if is_failure(result):
                logger.warning("sessions.write-failed", extra={"why": result.detail})
                self._waiting_by_key = {**batch, **self._waiting_by_key}
                return False
        self._filled.clear()
        return True

    def _is_at_risk(self, model):
        rollouts = self._follower.snapshot.rollouts_by_name.values()
        return any(
            body["model"] == model and body.get("state") != HALTED for body in rollouts
        )

    def _may_read(self):
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._reads_at_ms) / 1000 * READS_PER_S
        self._reads = min(READS_PER_S, self._reads + earned)
        self._reads_at_ms = now_ms
        if self._reads < 1.0:
            return False
        self._reads -= 1.0
        return True


def row_key_of(key):
    """Return the row key of a session."""
    return PIN_PREFIX + hashlib.sha256(key.encode()).hexdigest()
