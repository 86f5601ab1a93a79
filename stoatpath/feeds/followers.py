"""The task that keeps the copy of one table up to date."""

import asyncio
import logging

from stoatpath.feeds.copies import TableCopy
from stoatpath.outcomes import is_failure
from stoatpath.platform.row_stores import RowPage
from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

# The first pause after a failed read, as a fraction of `backoff_cap_ms`.
BACKOFF_BASE_SHARE = 0.125
BACKOFF_CAP_MS = 800.0
# After a longer pause the table is read whole, since the store keeps a short history.
MAX_PAUSE_MS = 5_000.0
END_OF_KEYS = "\0"


class TableFollower:
    """Reads a whole table, then follows its changes; reads it again after any gap.

    `on_changes` is called with the `RowChange`s of each read, in order. Nothing is
    read while the event `is_enabled` is cleared; updates from another instance may
    still be applied. The first read after that does not wait for changes, so that it
    confirms the copy at once. After a change, the next read is delayed by
    `batch_delay_ms`, so that one call returns a series of changes. `on_answer` is
    called after each answer of the store with the newest version of all its tables,
    `on_failure` after each failed call, and `on_progress` as bytes of an answer arrive.
    `backoff_cap_ms` limits the pause after repeated problems.
    """

    __slots__ = (
        "copy",
        "is_enabled",
        "on_answer",
        "on_failure",
        "on_progress",
        "backoff_cap_ms",
        "_store",
        "_table",
        "_wait_ms",
        "_batch_delay_ms",
        "_reachability",
        "_clock",
        "_random",
        "_on_changes",
        "_is_history_gone",
        "_failures",
        "_is_overdue",
        "_is_resumed",
        "_poll_sent_ms",
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
        self.on_answer = lambda version: None
        self.on_failure = lambda: None
        self.on_progress = lambda: None
        self.backoff_cap_ms = BACKOFF_CAP_MS
        self._is_history_gone = False
        self._failures = 0
        self._is_overdue = asyncio.Event()
        self._is_resumed = False
        self._poll_sent_ms = None

    def set_times(self, wait_ms, batch_delay_ms):
        """Set how long a read waits for changes, and the delay after a change."""
        self._wait_ms = wait_ms
        self._batch_delay_ms = batch_delay_ms

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            if not self.is_enabled.is_set():
                await self.is_enabled.wait()
                self._is_resumed = True
            await self.step()

    def apply_update(self, update, as_of_ms):
        """Apply a `TableUpdate` of another instance, unless it is older than the copy.

        `as_of_ms` is a clock reading no later than the store's answer behind it.
        """
        if self.copy.is_known and update.version < self.copy.version:
            return
        if not update.is_whole and not self.copy.is_known:
            return
        apply = (
            self.copy.apply_full_read if update.is_whole else (self.copy.apply_changes)
        )
        known_version = self.copy.version if self.copy.is_known else None
        changes = apply(
            update.rows, update.version, as_of_ms, update.confirmed_store_ms
        )
        if known_version is None or self.copy.version > known_version:
            # The store may still have the changes after the newer version.
            self._is_history_gone = False
        changed_store_ms = update.changed_store_ms
        if changed_store_ms is None:
            changed_store_ms = update.confirmed_store_ms
        self._report_changes(changes, changed_store_ms)

    def check_version(self, version, max_wait_ms):
        """Replace a long poll that waits on although the store has a newer version.

        A change of another table also raises the version of the store. The poll may
        wait for `max_wait_ms`; its connection may have become unresponsive.
        """
        if self._poll_sent_ms is None or version <= self.copy.version:
            return
        if self._clock.now_ms() - self._poll_sent_ms >= max_wait_ms:
            self._is_overdue.set()

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
        if is_failure(problem):
            self._reachability.record_failure(problem, now_ms)
            self.on_failure()
        else:
            self._is_history_gone = True
            self._failures = 0
        base_ms = BACKOFF_BASE_SHARE * self.backoff_cap_ms
        limit_ms = min(self.backoff_cap_ms, base_ms * 2**self._failures)
        self._failures += 1
        pause_ms = limit_ms * self._random.uniform(0.5, 1.0)
        await self._clock.sleep_until(now_ms + pause_ms)

    async def _read(self, sent_ms):
        """Read once; return None, a failure, or the answer that the history is gone."""
        if self._needs_whole_table(sent_ms):
            return await self._read_table(sent_ms)
        page = await self._poll(sent_ms)
        if not isinstance(page, RowPage):
            return self._log_gap(page)
        as_of_ms = self._record_answer(page, sent_ms)
        changes = self.copy.apply_changes(
            page.rows, page.version, as_of_ms, page.store_ms
        )
        self._report_changes(changes, page.store_ms)
        self.on_answer(page.version)
        if page.rows:
            await self._clock.sleep_until(self._clock.now_ms() + self._batch_delay_ms)
        return None

    def _needs_whole_table(self, now_ms):
        """Return whether the store may not have all changes after the copy's version.

        Only rows of a newer version end what the store has said of this one.
        """
        return (
            not self.copy.is_known
            or self._is_history_gone
            or self.copy.age_ms(now_ms) > MAX_PAUSE_MS
        )

    async def _poll(self, sent_ms):
        """Wait for changes; once the poll is overdue, ask anew without waiting."""
        self._is_overdue.clear()
        self._poll_sent_ms = sent_ms
        wait_ms = 0 if self._is_resumed else self._wait_ms
        self._is_resumed = False
        poll = asyncio.create_task(self._wait_for_changes(wait_ms))
        overdue = asyncio.create_task(self._is_overdue.wait())
        try:
            await asyncio.wait({poll, overdue}, return_when=asyncio.FIRST_COMPLETED)
            if poll.done():
                return poll.result()
            return await self._wait_for_changes(0)
        finally:
            self._poll_sent_ms = None
            await cancel_and_wait([poll, overdue])

    def _record_progress(self):
        """Record that bytes of an answer arrive: its poll is not overdue."""
        if self._poll_sent_ms is not None:
            self._poll_sent_ms = self._clock.now_ms()
        self.on_progress()

    async def _wait_for_changes(self, wait_ms):
        return await self._store.wait_for_changes(
            self._table, self.copy.version, wait_ms, self._record_progress
        )

    async def _read_table(self, sent_ms):
        rows = []
        version = None
        as_of_ms = None
        as_of_store_ms = None
        start_key = ""
        while True:
            page = await self._store.read(self._table, start_key, self._record_progress)
            if not isinstance(page, RowPage):
                return page
            rows += page.rows
            page_as_of_ms = self._record_answer(page, sent_ms)
            # Later pages may be newer; following from the first page's version
            # reads the changes made in between again.
            version = page.version if version is None else version
            if as_of_ms is None:
                as_of_ms, as_of_store_ms = page_as_of_ms, page.store_ms
            if page.is_last:
                break
            start_key = page.rows[-1].key + END_OF_KEYS
        self._is_history_gone = False
        changes = self.copy.apply_full_read(rows, version, as_of_ms, as_of_store_ms)
        self._report_changes(changes, as_of_store_ms)
        self.on_answer(version)
        return None

    def _record_answer(self, page, sent_ms):
        """Return a clock reading no later than the store's answer."""
        now_ms = self._clock.now_ms()
        return self._reachability.record_answer(sent_ms, now_ms, page.store_ms)

    def _report_changes(self, changes, changed_store_ms):
        if changes:
            self.copy.changed_store_ms = changed_store_ms
            self._apply_changes(changes)

    def _apply_changes(self, changes):
        """Pass on changes; one that raises is left out, and the others are applied.

        The copy already has all of them, so no later read would bring them again.
        """
        try:
            self._on_changes(changes)
            return
        except Exception:
            logger.exception("store.changes-failed", extra={"table": self._table})
        for change in changes:
            try:
                self._on_changes([change])
            except Exception:
                extra = {"table": self._table, "row": change.key}
                logger.exception("store.row-failed", extra=extra)

    def _log_gap(self, page):
        if not is_failure(page):
            logger.info("store.history-gone", extra={"table": self._table})
        return page
