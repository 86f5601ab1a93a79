"""Keeps decisions about requests and prompt parts in the store.

They reach instances that no other instance reaches, and last when all instances end.
"""

import asyncio
import hashlib
import logging

from stoatpath.outcomes import is_failure
from stoatpath.platform.row_stores import Committed, RowWrite
from stoatpath.quarantine.exchanges import MAX_QUARANTINE_MS, TRIAL_MS
from stoatpath.quarantine.messages import Quarantine
from stoatpath.quarantine.quarantines import REMEMBERED_MS
from stoatpath.utils import cancel_and_wait, decode_json, encode_json

logger = logging.getLogger(__name__)

QUARANTINE_TABLE = "quarantines"
# A call of the store takes 100 entries; a write has a condition too.
MAX_WRITES = 50
# Pause after a write that failed, or that another instance came before. It doubles, as
# each call has a price.
RETRY_PAUSE_MS = 400.0
MAX_RETRY_PAUSE_MS = 3_200.0
# A decision that could not be stored for so long is left to the other instances.
SAVE_FOR_MS = 30_000.0
FOREVER_MS = float("inf")


class _Row:
    """A row of the table: its version, and when the decision may be forgotten."""

    __slots__ = ("version", "forget_ms")

    def __init__(self, version, forget_ms):
        self.version = version
        self.forget_ms = forget_ms


class _PendingDecision:
    """A `Quarantine` that is not stored yet, and until when that is tried."""

    __slots__ = ("quarantine", "give_up_ms")

    def __init__(self, quarantine, give_up_ms):
        self.quarantine = quarantine
        self.give_up_ms = give_up_ms


class QuarantineStorage:
    """Writes decisions of this instance to the store, and applies those of others.

    `table` is the `QuarantineTable`, `store` the `RowStore`. Ends of quarantines are
    stored as readings of the store's clock, which `reachability` translates.
    """

    __slots__ = (
        "_table",
        "_store",
        "_reachability",
        "_clock",
        "_rows_by_key",
        "_pending_by_key",
        "_writer",
    )

    def __init__(self, table, store, reachability, clock):
        self._table = table
        self._store = store
        self._reachability = reachability
        self._clock = clock
        self._rows_by_key = {}
        self._pending_by_key = {}
        self._writer = None

    def save(self, quarantine):
        """Store a decision in the background, unless a newer one replaces it."""
        give_up_ms = self._clock.now_ms() + SAVE_FOR_MS
        pending = _PendingDecision(quarantine, give_up_ms)
        self._pending_by_key[_row_key(quarantine)] = pending
        if self._writer is None or self._writer.done():
            self._writer = asyncio.get_running_loop().create_task(self._write_pending())
            self._writer.add_done_callback(_log_writer_failure)

    def apply(self, changes):
        """Apply `RowChange`s of the table."""
        for change in changes:
            if change.row is None:
                self._rows_by_key.pop(change.key, None)
                continue
            now_ms = self._clock.now_ms()
            quarantine = self._decode(change.row, now_ms)
            # A row that can't be read may be of a newer release: it stays.
            forget_ms = FOREVER_MS if quarantine is None else _forget_ms(quarantine)
            self._rows_by_key[change.key] = _Row(change.row.version, forget_ms)
            if quarantine is not None:
                self._table.merge(quarantine)

    async def close(self):
        """Stop writing."""
        if self._writer is not None:
            await cancel_and_wait([self._writer])

    def _decode(self, row, now_ms):
        """Return the decision in a row, or None if it is unreadable."""
        try:
            data = decode_json(row.value or b"")
            left_ms = float(data["until_store_ms"]) - self._store_ms(now_ms)
            if left_ms > MAX_QUARANTINE_MS + TRIAL_MS:
                raise ValueError("it ends later than any quarantine")
            return Quarantine.from_json(data | {"left_ms": left_ms}, now_ms)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            extra = {"row": row.key, "why": repr(error)}
            logger.warning("quarantine.row-unreadable", extra=extra)
            return None

    def _encode(self, quarantine, now_ms):
        data = quarantine.to_json(now_ms)
        left_ms = data.pop("left_ms")
        return encode_json(data | {"until_store_ms": self._store_ms(now_ms) + left_ms})

    def _store_ms(self, now_ms):
        """Return the reading of the store's clock; raise ValueError if unknown."""
        store_ms = self._reachability.store_ms(now_ms)
        if store_ms is None:
            raise ValueError("the store's clock is unknown")
        return store_ms

    async def _write_pending(self):
        """Write until nothing is pending."""
        pause_ms = RETRY_PAUSE_MS
        while True:
            self._drop_obsolete()
            if not self._pending_by_key:
                return
            if await self._write_some():
                pause_ms = RETRY_PAUSE_MS
                continue
            await self._clock.sleep_until(self._clock.now_ms() + pause_ms)
            pause_ms = min(MAX_RETRY_PAUSE_MS, 2 * pause_ms)

    def _drop_obsolete(self):
        """Drop decisions that a newer one has replaced, or that took too long."""
        now_ms = self._clock.now_ms()
        for key, pending in list(self._pending_by_key.items()):
            quarantine = pending.quarantine
            known = self._table.version(quarantine.service, quarantine.part)
            if known > quarantine.version:
                del self._pending_by_key[key]
            elif pending.give_up_ms <= now_ms:
                del self._pending_by_key[key]
                extra = {"service": quarantine.service, "part": quarantine.part}
                logger.error("quarantine.not-stored", extra=extra)

    async def _write_some(self):
        """Write pending decisions in one call; return whether they are stored."""
        now_ms = self._clock.now_ms()
        pending_by_key = dict(list(self._pending_by_key.items())[:MAX_WRITES])
        if self._reachability.store_ms(now_ms) is None:
            return False
        writes = [
            self._row_write(key, self._encode(pending.quarantine, now_ms))
            for key, pending in pending_by_key.items()
        ]
        removals = [
            self._row_write(key, None)
            for key, row in self._rows_by_key.items()
            if row.forget_ms <= now_ms and key not in pending_by_key
        ]
        result = await self._store.write(writes + removals[: MAX_WRITES - len(writes)])
        if not isinstance(result, Committed):
            why = result.detail if is_failure(result) else "another instance was first"
            logger.info("quarantine.write-failed", extra={"why": why})
            return False
        for key, pending in pending_by_key.items():
            forget_ms = _forget_ms(pending.quarantine)
            self._rows_by_key[key] = _Row(result.version, forget_ms)
            if self._pending_by_key.get(key) is pending:
                del self._pending_by_key[key]
        return True

    def _row_write(self, key, value):
        row = self._rows_by_key.get(key)
        version = 0 if row is None else row.version
        return RowWrite(QUARANTINE_TABLE, key, value, version)


def _log_writer_failure(task):
    if not task.cancelled() and task.exception() is not None:
        logger.error("quarantine.writer-failed", exc_info=task.exception())


def _row_key(quarantine):
    """Return the key of a decision's row, short for names of any length."""
    name = f"{quarantine.service}/{quarantine.part}"
    return hashlib.sha256(name.encode()).hexdigest()


def _forget_ms(quarantine):
    return quarantine.until_ms + REMEMBERED_MS
