"""The task that keeps one process at the latest configuration."""

import asyncio
import logging

from stoatpath.configuration.snapshots import Snapshot
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

MIN_POLL_PERIOD_MS = 1_000
MAX_POLL_PERIOD_MS = 5_000
SITE_POLLS_PER_S = 100
KEPT_CHANGES = 256
UNREADABLE = (AttributeError, KeyError, TypeError, ValueError)


class ConfigurationFollower:
    """Polls the store; applies only revisions above the one in force.

    `fresh_as_of_ms` is the clock reading at which the revision in force was
    last known to be the stored head. `store_problem` tells why the last poll
    failed, or is empty. `changes` holds the latest history rows by revision,
    for peers that are behind. `count_members` returns how many members poll.
    """

    __slots__ = (
        "snapshot",
        "fresh_as_of_ms",
        "store_problem",
        "changes",
        "count_members",
        "_store",
        "_clock",
        "_changed",
    )

    def __init__(self, store, clock):
        self.snapshot = Snapshot.empty()
        self.fresh_as_of_ms = float("-inf")
        self.store_problem = "the store was not read yet"
        self.changes = {}
        self.count_members = lambda: 1
        self._store = store
        self._clock = clock
        self._changed = asyncio.Event()

    async def run(self):
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep_until(self._clock.now_ms() + self.poll_period_ms())

    def poll_period_ms(self):
        """Return the period that keeps the reads of the whole site bounded."""
        wanted_ms = self.count_members() * 1000 / SITE_POLLS_PER_S
        return min(MAX_POLL_PERIOD_MS, max(MIN_POLL_PERIOD_MS, wanted_ms))

    async def poll(self):
        """Read the store once."""
        asked_at_ms = self._clock.now_ms()
        history = await self._store.read_history(self.snapshot)
        if is_failure(history):
            self.store_problem = history.detail
            logger.warning("configuration.poll-failed", extra={"why": history.detail})
            return
        self.store_problem = ""
        self.apply_history(history.base, history.changes, asked_at_ms)

    def apply_history(self, base, changes, as_of_ms):
        """Take history rows on a base that lead to the head at a clock reading."""
        if base.revision + len(changes) < self.snapshot.revision:
            return
        try:
            latest = base.with_history(changes)
        except UNREADABLE as error:
            self.store_problem = f"unreadable documents: {type(error).__name__}"
            logger.error(
                "configuration.unreadable",
                extra={"above": self.snapshot.revision, "why": repr(error)},
            )
            return
        for change in changes:
            self.changes[change.revision] = change
        for revision in sorted(self.changes)[:-KEPT_CHANGES]:
            del self.changes[revision]
        self.apply_snapshot(latest, as_of_ms)

    def apply_snapshot(self, snapshot, as_of_ms):
        """Take a snapshot known to be the head at a clock reading."""
        if snapshot.revision < self.snapshot.revision:
            return
        if snapshot.revision > self.snapshot.revision:
            self.snapshot = snapshot
            logger.info("configuration.in-force", extra={"revision": snapshot.revision})
            self._changed.set()
            self._changed = asyncio.Event()
        self.fresh_as_of_ms = max(self.fresh_as_of_ms, as_of_ms)

    def changes_after(self, revision):
        """Return the history rows above a revision, or None if not all are kept."""
        wanted = range(revision + 1, self.snapshot.revision + 1)
        if any(each not in self.changes for each in wanted):
            return None
        return [self.changes[each] for each in wanted]

    async def wait_for_revision(self, revision):
        """Return once a revision or a later one is in force."""
        while self.snapshot.revision < revision:
            await self._changed.wait()

    async def wait_for_change(self):
        """Return once another revision is in force."""
        await self._changed.wait()
