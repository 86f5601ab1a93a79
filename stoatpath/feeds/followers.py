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
    """Reads a whole table, then follows its changes; reads it again after any gap.

    `on_changes` is called with the `RowChange`s of each read, in order. Nothing is
    read while the event `is_enabled` is cleared. After a change, the next read is
    delayed by `batch_delay_ms`, so that one call returns a series of changes.
    """

    __slots__ = (
        "copy",
        "is_enabled",
        "_store",
        "_table",
        "_wait_ms",
        "_batch_delay_ms",
        "_reachability",
        "_clock",
        "_random",
        "_on_changes",
        "_is_synced",
        "_failures",
    )

    def __init__(
        self,
        store,
        table,
        wait_ms,
        batch_delay_ms,
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
        self._batch_delay_ms = batch_delay_ms
        self._reachability = reachability
        self._clock = clock
        self._random = random
        self._on_changes = on_changes
        self._is_synced = False
        self._failures = 0

    def set_times(self, wait_ms, batch_delay_ms):
        """Set how long a read waits for changes, and the delay after a change."""
        self._wait_ms = wait_ms
        self._batch_delay_ms = batch_delay_ms

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            if not self.is_enabled.is_set():
                self._is_synced = False
                await self.is_enabled.wait()
            await self.step()

    async def step(self):
        """Read once; after a problem, wait for an exponential backoff with jitter.

        Once the copy is synced, a read is a long poll of up to `wait_ms`.
        """
        sent_ms = self._clock.now_ms()
        problem = await self._read(sent_ms)
        now_ms = self._clock.now_ms()
        if problem is None:
            self._failures = 0
            return
        self._is_synced = False
        if is_failure(problem):
            self._reachability.record_failure(problem, now_ms)
        limit_ms = min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2**self._failures)
        self._failures += 1
        pause_ms = limit_ms * self._random.uniform(0.5, 1.0)
        await self._clock.sleep_until(now_ms + pause_ms)

    async def _read(self, sent_ms):
        """Read once; return None, a failure, or the answer that the history is gone."""
        if not self._is_synced:
            return await self._read_table(sent_ms)
        page = await self._store.wait_for_changes(
            self._table, self.copy.version, self._wait_ms
        )
        if not isinstance(page, RowPage):
            return self._log_gap(page)
        as_of_ms = self._record_answer(page, sent_ms)
        self._report_changes(self.copy.apply_changes(page.rows, page.version, as_of_ms))
        if page.rows:
            await self._clock.sleep_until(self._clock.now_ms() + self._batch_delay_ms)
        return None

    async def _read_table(self, sent_ms):
        rows = []
        version = None
        as_of_ms = None
        start_key = ""
        while True:
            page = await self._store.read(self._table, start_key)
            if not isinstance(page, RowPage):
                return page
            rows += page.rows
            page_as_of_ms = self._record_answer(page, sent_ms)
            # Later pages may be newer; following from the first page's version
            # reads the changes made in between again.
            version = page.version if version is None else version
            as_of_ms = page_as_of_ms if as_of_ms is None else as_of_ms
            if page.is_last or not page.rows:
                break
            start_key = page.rows[-1].key + END_OF_KEYS
        self._is_synced = True
        self._report_changes(self.copy.apply_full_read(rows, version, as_of_ms))
        return None

    def _record_answer(self, page, sent_ms):
        """Return a clock reading no later than the store's answer."""
        now_ms = self._clock.now_ms()
        return self._reachability.record_answer(sent_ms, now_ms, page.store_ms)

    def _report_changes(self, changes):
        if changes:
            self._on_changes(changes)

    def _log_gap(self, page):
        if not is_failure(page):
            logger.info("store.history-gone", extra={"table": self._table})
        return page
