"""The task that keeps the configuration of this process up to date."""

import asyncio
import logging

from stoatpath.configuration.snapshots import Snapshot
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

MIN_POLL_PERIOD_MS = 1_000
MAX_POLL_PERIOD_MS = 5_000
MAX_SITE_POLLS_PER_S = 100
MAX_CACHED_CHANGES = 256
UNREADABLE = (AttributeError, KeyError, TypeError, ValueError)


class ConfigurationFollower:
    """Polls the store, and applies only revisions above the one in force.

    `fresh_as_of_ms` is the clock reading at which the revision in force was last
    known to be the stored head. `store_problem` is the reason why the last poll
    failed, or empty. `changes` caches the latest history rows by revision, for peers
    that lag behind. `count_members` returns the number of polling members.
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
        """Return the period at which all members make `MAX_SITE_POLLS_PER_S`.

        It is kept between the minimum and maximum poll periods.
        """
        period_ms = self.count_members() * 1000 / MAX_SITE_POLLS_PER_S
        return min(MAX_POLL_PERIOD_MS, max(MIN_POLL_PERIOD_MS, period_ms))

    async def poll(self):
        """Read the store once, and apply what is new."""
        sent_ms = self._clock.now_ms()
        history = await self._store.read_history(self.snapshot)
        if is_failure(history):
            self.store_problem = history.detail
            logger.warning("configuration.poll-failed", extra={"why": history.detail})
            return
        self.store_problem = ""
        self.apply_history(history.base, history.changes, sent_ms)

    def apply_history(self, base, changes, as_of_ms):
        """Apply history rows to a base snapshot.

        They lead to the revision that was the stored head at `as_of_ms`.
        """
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
        for revision in sorted(self.changes)[:-MAX_CACHED_CHANGES]:
            del self.changes[revision]
        self.apply_snapshot(latest, as_of_ms)

    def apply_snapshot(self, snapshot, as_of_ms):
        """Put a snapshot in force, unless a later revision is.

        It was the stored head at the clock reading `as_of_ms`.
        """
        if snapshot.revision < self.snapshot.revision:
            return
        if snapshot.revision > self.snapshot.revision:
            self.snapshot = snapshot
            logger.info("configuration.in-force", extra={"revision": snapshot.revision})
            self._changed.set()
            self._changed = asyncio.Event()
        self.fresh_as_of_ms = max(self.fresh_as_of_ms, as_of_ms)

    def changes_after(self, revision):
        """Return the history rows above a revision, or None if any is not cached."""
        revisions = range(revision + 1, self.snapshot.revision + 1)
        if any(each not in self.changes for each in revisions):
            return None
        return [self.changes[each] for each in revisions]

    async def wait_for_revision(self, revision):
        """Wait until a revision or a later one is in force."""
        while self.snapshot.revision < revision:
            await self._changed.wait()

    async def wait_for_change(self):
        """Wait until the next revision is in force."""
        await self._changed.wait()
