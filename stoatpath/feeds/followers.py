"""The task that keeps the copy of one table up to date."""

import asyncio
import logging

from stoatpath.feeds.copies import TableCopy
from stoatpath.outcomes import is_failure
from stoatpath.platform.row_stores import RowPage

logger = logging.getLogger(__name__)

BACKOFF_BASE_MS = 100.0
BACKOFF_CAP_MS = 800.0
END_OF_KEYS = "\0"


class TableFollower:
    """Reads a table whole, then follows its changes; starts over after any gap.

    `on_changes` is called with the `RowChange`s of each read, in order. Nothing is
    read while `is_wanted` is cleared. After a change the next read waits for
    `gather_ms`, so that a series of them is read in a few calls.
    """

    __slots__ = (
        "copy",
        "is_enabled",
        "_store",
        "_table",
        "_wait_ms",
        "_gather_ms",
        "_reachability",
        "_clock",
        "_random",
        "_on_changes",
        "_is_whole",
        "_failures",
    )

    def __init__(
        self,
        store,
        table,
        wait_ms,
        gather_ms,
        reachability,
        clock,
        random,
        on_changes,
    ):
        self.copy = TableCopy()
        self.is_enabled = asyncio.Event()
        self.is_enabled.set()
        self._store = store
        self._table = table
        self._wait_ms = wait_ms
        self._gather_ms = gather_ms
        self._reachability = reachability
        self._clock = clock
        self._random = random
        self._on_changes = on_changes
        self._is_whole = False
        self._failures = 0

    def set_times(self, wait_ms, gather_ms):
        """Take how long a read waits for changes, and how long they are gathered."""
        self._wait_ms = wait_ms
        self._gather_ms = gather_ms

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            if not self.is_enabled.is_set():
                self._is_whole = False
                await self.is_enabled.wait()
            await self.step()

    async def step(self):
        """Read once; wait where the next read is not due at once."""
        sent_ms = self._clock.now_ms()
        problem = await self._read(sent_ms)
        now_ms = self._clock.now_ms()
        if problem is None:
            self._failures = 0
            return
        self._is_whole = False
        if is_failure(problem):
            self._reachability.record_failure(problem, now_ms)
        limit_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2**self._failures)
        self._failures += 1
        pause_ms = limit_ms * self._random.uniform(0.5, 1.0)
        await self._clock.sleep_until(now_ms + pause_ms)

    async def _read(self, sent_ms):
        """Return None, or what kept the copy from being confirmed."""
        if not self._is_whole:
            return await self._read_whole(sent_ms)
        page = await self._store.follow(self._table, self.copy.version, self._wait_ms)
        if not isinstance(page, RowPage):
            return self._note_gap(page)
        made_ms = self._record_answer(page, sent_ms)
        self._tell(self.copy.apply_changes(page.rows, page.version, made_ms))
        if page.rows:
            await self._clock.sleep_until(self._clock.now_ms() + self._gather_ms)
        return None

    async def _read_whole(self, sent_ms):
        rows = []
        version = None
        made_ms = None
        start = ""
        while True:
            page = await self._store.read(self._table, start)
            if not isinstance(page, RowPage):
                return page
            rows += page.rows
            page_made_ms = self._record_answer(page, sent_ms)
            # Later pages may be newer: changes since the first one are read again.
            version = page.version if version is None else version
            made_ms = page_made_ms if made_ms is None else made_ms
            if page.is_whole or not page.rows:
                break
            start = page.rows[-1].key + END_OF_KEYS
        self._is_whole = True
        self._tell(self.copy.apply_whole(rows, version, made_ms))
        return None

    def _record_answer(self, page, sent_ms):
        """Return a clock reading before the store made a page."""
        now_ms = self._clock.now_ms()
        return self._reachability.record_answer(sent_ms, now_ms, page.store_ms)

    def _tell(self, changes):
        if changes:
            self._on_changes(changes)

    def _note_gap(self, page):
        if not is_failure(page):
            logger.info("store.history-gone", extra={"table": self._table})
        return page
