"""The task that writes snapshots and ends the life of old history rows."""

import logging

from stoatpath.configuration.stores import change_keys
from stoatpath.outcomes import is_failure
from stoatpath.utils import rendezvous_rank

logger = logging.getLogger(__name__)

KEEPER_PERIOD_MS = 5_000
SNAPSHOT_EVERY_REVISIONS = 200
ARCHIVED_ROWS = 200
DUTY = "configuration-history"


class HistoryKeeper:
    """Does the duty in the controller that ranks first among the live ones.

    Two that both believe to be first do no harm: objects are fixed by their
    key, and the head row is replaced by compare-and-set.
    """

    __slots__ = ("_store", "_archive", "_follower", "_members", "_clock", "_kept_rows")

    def __init__(self, store, archive, follower, members, clock, kept_rows):
        self._store = store
        self._archive = archive
        self._follower = follower
        self._members = members
        self._clock = clock
        self._kept_rows = kept_rows

    async def run(self):
        """Look after the history until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + KEEPER_PERIOD_MS)
            own = self._members.local
            names = self._members.live_names(own.role)
            if names and rendezvous_rank(DUTY, names)[0] == own.name:
                await self.maintain_history()

    async def maintain_history(self):
        """Write a snapshot if one is due, then archive rows that are too old."""
        head = await self._store.read_head()
        if is_failure(head):
            return
        snapshot = self._follower.snapshot
        lag = snapshot.revision - head.snapshot_revision
        if lag >= SNAPSHOT_EVERY_REVISIONS and snapshot.revision <= head.revision:
            await self._write_snapshot(head, snapshot)
        elif self._last_to_archive(head) is not None:
            await self._archive_rows(head, self._last_to_archive(head))

    def _last_to_archive(self, head):
        last = head.first_revision + ARCHIVED_ROWS - 1
        oldest_kept = head.revision - self._kept_rows
        is_due = last < oldest_kept and last <= head.snapshot_revision
        return last if is_due else None

    async def _write_snapshot(self, head, snapshot):
        stored = await self._archive.write_snapshot(snapshot)
        if is_failure(stored):
            logger.warning(
                "configuration.snapshot-failed", extra={"why": stored.detail}
            )
            return
        new_head = head.replace(snapshot_revision=snapshot.revision)
        await self._store.replace_head(head, new_head)
        await self._archive.drop_old_snapshots()
        logger.info(
            "configuration.snapshot-written", extra={"revision": snapshot.revision}
        )

    async def _archive_rows(self, head, last):
        from_revision = head.first_revision
        changes = await self._store.read_changes(from_revision, last)
        if is_failure(changes):
            return
        stored = await self._archive.write_history(changes)
        if is_failure(stored):
            logger.warning("configuration.archive-failed", extra={"why": stored.detail})
            return
        keys = change_keys(from_revision, last)
        await self._store.replace_head(
            head, head.replace(first_revision=last + 1), keys
        )
        logger.info(
            "configuration.history-archived",
            extra={"first": from_revision, "last": last},
        )
