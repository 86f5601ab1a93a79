"""The local copy of a table: its rows, and when they were last confirmed."""

NEVER_MS = float("-inf")


class RowChange:
    """A row that was added, changed or removed; `row` is None for a removed one."""

    __slots__ = ("key", "row")

    def __init__(self, key, row):
        self.key = key
        self.row = row


class TableCopy:
    """Rows by key; a row is never replaced by an older version of it.

    Versions of removed rows are not remembered. `version` is the table version from
    which changes are followed.

    `confirmed_ms` is a clock reading no later than the moment at which the store
    produced the latest answer. Changes after it may be missing.
    """

    __slots__ = ("rows_by_key", "version", "confirmed_ms")

    def __init__(self):
        self.rows_by_key = {}
        self.version = 0
        self.confirmed_ms = NEVER_MS

    def age_ms(self, now_ms):
        """Return how long ago the copy was confirmed."""
        return now_ms - self.confirmed_ms

    def apply_full_read(self, rows, version, as_of_ms):
        """Apply a read of the whole table; return the changes."""
        changes = self._apply(rows)
        keys = {row.key for row in rows}
        for key in [key for key in self.rows_by_key if key not in keys]:
            del self.rows_by_key[key]
            changes.append(RowChange(key, None))
        self.version = version
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)
        return changes

    def apply_changes(self, rows, version, as_of_ms):
        """Apply the rows that changed since the last read; return the changes."""
        changes = self._apply(rows)
        self.version = max(self.version, version)
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)
        return changes

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
                del self.rows_by_key[row.key]
                changes.append(RowChange(row.key, None))
        return changes
