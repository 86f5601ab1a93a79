"""The task that keeps one process at the latest configuration."""

import asyncio
import logging

from stoatpath.configuration.snapshots import Snapshot
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

POLL_PERIOD_MS = 1_000


class ConfigurationFollower:
    """Polls the store; applies only revisions above the one in force.

    `fresh_as_of_ms` is the clock reading at which the revision in force was
    last known to be the stored head.
    """

    __slots__ = ("snapshot", "fresh_as_of_ms", "_store", "_clock", "_changed")

    def __init__(self, store, clock):
        self.snapshot = Snapshot.empty()
        self.fresh_as_of_ms = float("-inf")
        self._store = store
        self._clock = clock
        self._changed = asyncio.Event()

    async def run(self):
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep_until(self._clock.now_ms() + POLL_PERIOD_MS)

    async def poll(self):
        """Read the store once."""
        asked_at_ms = self._clock.now_ms()
        latest = await self._store.read_after(self.snapshot)
        if is_failure(latest):
            logger.warning("configuration.poll-failed", extra={"why": latest.detail})
            return
        self.offer(latest, asked_at_ms)

    def offer(self, snapshot, as_of_ms):
        """Take a snapshot known to be the head at a clock reading."""
        if snapshot.revision < self.snapshot.revision:
            return
        if snapshot.revision > self.snapshot.revision:
            self.snapshot = snapshot
            logger.info("configuration.in-force", extra={"revision": snapshot.revision})
            self._changed.set()
            self._changed = asyncio.Event()
        self.fresh_as_of_ms = max(self.fresh_as_of_ms, as_of_ms)

    async def wait_for(self, revision):
        """Return once a revision or a later one is in force."""
        while self.snapshot.revision < revision:
            await self._changed.wait()
