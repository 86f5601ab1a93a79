"""Messages by which instances pass on copies of the store's tables."""

import base64
import binascii

from stoatpath.feeds.copies import NEVER_MS
from stoatpath.platform.row_stores import StoredRow


class TableUpdate:
    """Rows of a table that changed since a version, or all of them if `is_whole`.

    `version` is the version of the sender's copy, `confirmed_store_ms` the reading of
    the store's clock at the answer that last confirmed it.
    """

    __slots__ = ("rows", "version", "confirmed_store_ms", "is_whole")

    def __init__(self, rows, version, confirmed_store_ms, is_whole):
        self.rows = rows
        self.version = version
        self.confirmed_store_ms = confirmed_store_ms
        self.is_whole = is_whole

    @classmethod
    def from_copy(cls, copy, known_version):
        """Build the update that brings a copy of another version up to date.

        `known_version` is None for an instance that does not have the table yet.
        """
        rows = None if known_version is None else copy.changes_after(known_version)
        is_whole = rows is None
        if is_whole:
            rows = list(copy.rows_by_key.values())
        return cls(rows, copy.version, copy.confirmed_store_ms, is_whole)

    @classmethod
    def from_json(cls, data):
        """Build an update from its wire form; raise ValueError if it is malformed."""
        try:
            rows = [_decode_row(row) for row in data["rows"]]
            version = int(data["version"])
            confirmed_store_ms = float(data["confirmed_store_ms"])
            return cls(rows, version, confirmed_store_ms, data["is_whole"] is True)
        except (KeyError, TypeError, binascii.Error) as error:
            raise ValueError(f"malformed table update: {error!r}") from error

    def to_json(self):
        """Return the wire form."""
        return {
            "rows": [_encode_row(row) for row in self.rows],
            "version": self.version,
            "confirmed_store_ms": self.confirmed_store_ms,
            "is_whole": self.is_whole,
        }


class TablesRequest:
    """A request for newer copies of the tables.

    `versions_by_table` are the versions that the sender has. The answer may be delayed
    by `wait_ms` until the receiver has a newer version, or a confirmation later than
    `confirmed_store_ms` on the store's clock. `sessions_digest` and `sessions` are the
    digest and the wire form of `SharedSessions`; the latter is None if the receiver
    has them. `loads` are load sums (`FleetLoads`), None from older builds.
    """

    __slots__ = (
        "versions_by_table",
        "confirmed_store_ms",
        "wait_ms",
        "sessions_digest",
        "sessions",
        "loads",
    )

    def __init__(
        self,
        versions_by_table,
        confirmed_store_ms,
        wait_ms,
        sessions_digest="",
        sessions=None,
        loads=None,
    ):
        self.versions_by_table = versions_by_table
        self.confirmed_store_ms = confirmed_store_ms
        self.wait_ms = wait_ms
        self.sessions_digest = sessions_digest
        self.sessions = sessions
        self.loads = loads

    @classmethod
    def from_json(cls, data):
        """Build a request from its wire form; raise ValueError if it is malformed."""
        try:
            versions_by_table = {
                table: int(version) for table, version in data["versions"].items()
            }
            confirmed = _number_or_none(data["confirmed_store_ms"])
            confirmed_store_ms = NEVER_MS if confirmed is None else confirmed
            return cls(
                versions_by_table,
                confirmed_store_ms,
                float(data["wait_ms"]),
                str(data["sessions_digest"]),
                data["sessions"],
                data.get("loads"),
            )
        except (AttributeError, KeyError, TypeError) as error:
            raise ValueError(f"malformed request: {error!r}") from error

    def to_json(self):
        """Return the wire form."""
        is_confirmed = self.confirmed_store_ms != NEVER_MS
        return {
            "versions": self.versions_by_table,
            "confirmed_store_ms": self.confirmed_store_ms if is_confirmed else None,
            "wait_ms": self.wait_ms,
            "sessions_digest": self.sessions_digest,
            "sessions": self.sessions,
            "loads": self.loads,
        }


class TablesAnswer:
    """The newer copies, and what the sender knows of the store.

    `store_ms` is the latest possible reading of the store's clock when the answer was
    sent. `outage_end_store_ms` is that of the end of the store's last outage, which
    lasted `outage_duration_ms`; both are None without one. `is_leaving` tells that the
    sender stops soon. The sessions and the load sums are as in `TablesRequest`.
    """

    __slots__ = (
        "store_ms",
        "outage_end_store_ms",
        "outage_duration_ms",
        "is_leaving",
        "updates_by_table",
        "sessions_digest",
        "sessions",
        "loads",
    )

    def __init__(
        self,
        store_ms,
        outage_end_store_ms,
        outage_duration_ms,
        is_leaving,
        updates_by_table,
        sessions_digest="",
        sessions=None,
        loads=None,
    ):
        self.store_ms = store_ms
        self.outage_end_store_ms = outage_end_store_ms
        self.outage_duration_ms = outage_duration_ms
        self.is_leaving = is_leaving
        self.updates_by_table = updates_by_table
        self.sessions_digest = sessions_digest
        self.sessions = sessions
        self.loads = loads

    @classmethod
    def from_json(cls, data):
        """Build an answer from its wire form; raise ValueError if it is malformed."""
        try:
            return cls(
                _number_or_none(data["store_ms"]),
                _number_or_none(data["outage_end_store_ms"]),
                _number_or_none(data["outage_duration_ms"]),
                data["is_leaving"] is True,
                {
                    table: TableUpdate.from_json(update)
                    for table, update in data["tables"].items()
                },
                str(data["sessions_digest"]),
                data["sessions"],
                data.get("loads"),
            )
        except (AttributeError, KeyError, TypeError) as error:
            raise ValueError(f"malformed answer: {error!r}") from error

    def to_json(self):
        """Return the wire form."""
        return {
            "store_ms": self.store_ms,
            "outage_end_store_ms": self.outage_end_store_ms,
            "outage_duration_ms": self.outage_duration_ms,
            "is_leaving": self.is_leaving,
            "tables": {
                table: update.to_json()
                for table, update in self.updates_by_table.items()
            },
            "sessions_digest": self.sessions_digest,
            "sessions": self.sessions,
            "loads": self.loads,
        }


def _encode_row(row):
    value = None if row.value is None else base64.b64encode(row.value).decode()
    return [row.key, row.version, value, row.is_deleted]


def _decode_row(data):
    key, version, value, is_deleted = data
    decoded = None if value is None else base64.b64decode(value, validate=True)
    return StoredRow(str(key), int(version), decoded, is_deleted is True)


def _number_or_none(value):
    return None if value is None else float(value)
