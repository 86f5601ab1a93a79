"""The local copy of a table: its rows, and when they were last confirmed."""

from collections import deque

from stoatpath.platform.row_stores import StoredRow, era_of

NEVER_MS = float("-inf")
# Removals kept for instances that follow this copy; older copies are sent whole.
MAX_REMOVALS = 1_000


class RowChange:
    """A row that was added, changed or removed; `row` is None for a removed one."""

    __slots__ = ("key", "row")

    def __init__(self, key, row):
        self.key = key
        self.row = row


class TableCopy:
    """Rows by key; a row is never replaced by an older version of it.

    `version` is the table version from which changes are followed. `confirmed_ms` is a
    clock reading no later than the moment at which the store produced the latest
    answer. Changes after it may be missing. `unchanged_ms` is what `confirmed_ms` was
    before the latest changes came. `confirmed_store_ms` is that moment on the
    store's own clock. `changed_store_ms` is its reading at the first answer with the
    latest changes of the rows, `NEVER_MS` before a change.
    """

    __slots__ = (
        "rows_by_key",
        "version",
        "confirmed_ms",
        "unchanged_ms",
        "confirmed_store_ms",
        "changed_store_ms",
        "_removals",
        "_oldest_base_version",
    )

    def __init__(self):
        self.rows_by_key = {}
        self.version = 0
        self.confirmed_ms = NEVER_MS
        self.unchanged_ms = NEVER_MS
        self.confirmed_store_ms = NEVER_MS
        self.changed_store_ms = NEVER_MS
        self._removals = deque()
        self._oldest_base_version = None

    @property
    def is_known(self):
        """Return whether the table was read at least once."""
        return self._oldest_base_version is not None

    def age_ms(self, now_ms):
        """Return how long ago the copy was confirmed."""
        return now_ms - self.confirmed_ms

    def apply_full_read(self, rows, version, as_of_ms, as_of_store_ms=NEVER_MS):
        """Apply a read of the whole table; return the changes.

        A read that is older than the copy is ignored.
        """
        if self.is_known and version < self.version:
            return []
        changes = self._apply(rows)
        keys = {row.key for row in rows}
        for key in [key for key in self.rows_by_key if key not in keys]:
            changes.append(self._remove(key, version))
        if not self.is_known:
            self._oldest_base_version = version
        if era_of(version) > era_of(self.version):
            # The store's clock may have started anew, too.
            self.confirmed_store_ms = NEVER_MS
        self.version = version
        self._confirm(changes, as_of_ms, as_of_store_ms)
        return changes

    def apply_changes(self, rows, version, as_of_ms, as_of_store_ms=NEVER_MS):
        """Apply the rows that changed since the last read; return the changes.

        The answer may be late: a row that is not newer than the copy, and not in it,
        has been removed since.
        """
        changes = self._apply(
            row
            for row in rows
            if row.version > self.version or row.key in self.rows_by_key
        )
        self.version = max(self.version, version)
        self._confirm(changes, as_of_ms, as_of_store_ms)
        return changes

    def changes_after(self, version):
        """Return the rows that changed after a version, removed ones included.

        Return None if only the whole table can bring a copy of that version up to date.
        """
        if not self.is_known or version < self._oldest_base_version:
            return None
        changed = [row for row in self.rows_by_key.values() if row.version > version]
        return changed + [row for row in self._removals if row.version > version]

    def _confirm(self, changes, as_of_ms, as_of_store_ms):
        if changes:
            self.unchanged_ms = self.confirmed_ms
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)
        self.confirmed_store_ms = max(self.confirmed_store_ms, as_of_store_ms)

    def _apply(self, rows):
        changes = []
        for row in rows:
            previous = self.rows_by_key.get(row.key)
            if previous is not None and previous.version >= row.version:
                continue
            if not row.is_deleted:
                self.rows_by_key[row.key] = row
                changes.append(RowChange(row.key, row))
            elif previous is not None:
                changes.append(self._remove(row.key, row.version))
        return changes

    def _remove(self, key, version):
        del self.rows_by_key[key]
        self._removals.append(StoredRow(key, version, None, is_deleted=True))
        if len(self._removals) > MAX_REMOVALS:
            self._oldest_base_version = self._removals.popleft().version
        return RowChange(key, None)
