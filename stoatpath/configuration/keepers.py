"""The task that writes snapshots and archives old history rows."""

import logging

from stoatpath.configuration.stores import change_keys
from stoatpath.outcomes import is_failure
from stoatpath.utils import rendezvous_rank

logger = logging.getLogger(__name__)

KEEPER_PERIOD_MS = 5_000
SNAPSHOT_EVERY_REVISIONS = 200
ARCHIVE_BATCH_ROWS = 200
RANKING_KEY = "configuration-history"


class HistoryKeeper:
    """Maintains the history, in the live controller that ranks first.

    Two controllers that both rank themselves first do no harm: the key of an object
    determines its content, and the head row is replaced by compare-and-set.
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
        """Maintain the history until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + KEEPER_PERIOD_MS)
            local = self._members.local
            names = self._members.live_names(local.role)
            if names and rendezvous_rank(RANKING_KEY, names)[0] == local.name:
                await self.maintain_history()

    async def maintain_history(self):
        """Write a snapshot if one is due; otherwise archive rows if any are due."""
        head = await self._store.read_head()
        if is_failure(head):
            return
        snapshot = self._follower.snapshot
        unsaved_revisions = snapshot.revision - head.snapshot_revision
        if (
            unsaved_revisions >= SNAPSHOT_EVERY_REVISIONS
            and snapshot.revision <= head.revision
        ):
            await self._write_snapshot(head, snapshot)
        elif self._last_archivable_revision(head) is not None:
            await self._archive_rows(head, self._last_archivable_revision(head))

    def _last_archivable_revision(self, head):
        last_revision = head.first_revision + ARCHIVE_BATCH_ROWS - 1
        oldest_kept = head.revision - self._kept_rows
        is_due = last_revision < oldest_kept and last_revision <= head.snapshot_revision
        return last_revision if is_due else None

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

    async def _archive_rows(self, head, last_revision):
        from_revision = head.first_revision
        changes = await self._store.read_changes(from_revision, last_revision)
        if is_failure(changes):
            return
        stored = await self._archive.write_history(changes)
        if is_failure(stored):
            logger.warning("configuration.archive-failed", extra={"why": stored.detail})
            return
        keys = change_keys(from_revision, last_revision)
        await self._store.replace_head(
            head, head.replace(first_revision=last_revision + 1), keys
        )
        logger.info(
            "configuration.history-archived",
            extra={"first": from_revision, "last": last_revision},
        )
