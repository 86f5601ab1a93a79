"""Messages by which instances pass on copies of the store's tables."""

import base64
import binascii
import zlib

from stoatpath.feeds.copies import NEVER_MS
from stoatpath.platform.fields import (
    MAX_INTEGER,
    REQUIRED,
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_table,
)
from stoatpath.platform.row_stores import StoredRow

# The encoding of values that a request may allow; builds from before it name none.
ZLIB = "zlib"
ENCODINGS = (ZLIB,)
# Smaller values gain less than the work of compressing them costs.
MIN_COMPRESSED_BYTES = 4 * 1024
# An operator's row is below 1 MB. The limit bounds the memory that a malformed value
# can take.
MAX_VALUE_BYTES = 16 * 1024 * 1024
# A version has the era of the store above its own 48 bits.
MAX_VERSION = 2**63 - 1


class TableUpdate:
    """Rows of a table that changed since a version, or all of them if `is_whole`.

    `version` is the version of the sender's copy, `confirmed_store_ms` the reading of
    the store's clock at the answer that last confirmed it. `changed_store_ms` is that
    at the first answer with the latest change, None if the sender does not tell.
    """

    __slots__ = (
        "rows",
        "version",
        "confirmed_store_ms",
        "is_whole",
        "changed_store_ms",
    )

    def __init__(
        self, rows, version, confirmed_store_ms, is_whole, changed_store_ms=None
    ):
        self.rows = rows
        self.version = version
        self.confirmed_store_ms = confirmed_store_ms
        self.is_whole = is_whole
        self.changed_store_ms = changed_store_ms

    @classmethod
    def from_copy(cls, copy, known_version):
        """Build the update that brings a copy of another version up to date.

        `known_version` is None for an instance that does not have the table yet.
        """
        rows = None if known_version is None else copy.changes_after(known_version)
        is_whole = rows is None
        if is_whole:
            rows = list(copy.rows_by_key.values())
        changed_store_ms = copy.changed_store_ms
        if changed_store_ms == NEVER_MS:
            changed_store_ms = None
        return cls(
            rows, copy.version, copy.confirmed_store_ms, is_whole, changed_store_ms
        )

    @classmethod
    def from_json(cls, data):
        """Build an update from its wire form; raise ValueError if it is malformed."""
        try:
            return cls(
                [_decode_row(row) for row in read_list(data, "rows")],
                _read_version(data, "version"),
                _read_clock(data, "confirmed_store_ms"),
                read_flag(data, "is_whole"),
                _read_clock(data, "changed_store_ms", None),
            )
        except (AttributeError, TypeError, binascii.Error, zlib.error) as error:
            raise ValueError(f"malformed table update: {error!r}") from error

    def to_json(self, encodings=()):
        """Return the wire form; `encodings` are those that the receiver understands."""
        return {
            "rows": [_encode_row(row, ZLIB in encodings) for row in self.rows],
            "version": self.version,
            "confirmed_store_ms": self.confirmed_store_ms,
            "is_whole": self.is_whole,
            "changed_store_ms": self.changed_store_ms,
        }


class TablesRequest:
    """A request for newer copies of the tables.

    `versions_by_table` are the versions that the sender has. The answer may be delayed
    by `wait_ms` until the receiver has a newer version, or a confirmation later than
    `confirmed_store_ms` on the store's clock. `sessions_digest` and `sessions` are the
    digest and the wire form of `SharedSessions`; the latter is None if the receiver
    has them. `encodings` are the encodings of values that the sender understands,
    `newest_version` is the newest version of the lead table that it has heard of.
    `loads` are load sums (`FleetLoads`), None from older builds.
    """

    __slots__ = (
        "versions_by_table",
        "confirmed_store_ms",
        "wait_ms",
        "sessions_digest",
        "sessions",
        "encodings",
        "newest_version",
        "loads",
    )

    def __init__(
        self,
        versions_by_table,
        confirmed_store_ms,
        wait_ms,
        sessions_digest="",
        sessions=None,
        encodings=ENCODINGS,
        newest_version=0,
        loads=None,
    ):
        self.versions_by_table = versions_by_table
        self.confirmed_store_ms = confirmed_store_ms
        self.wait_ms = wait_ms
        self.sessions_digest = sessions_digest
        self.sessions = sessions
        self.encodings = encodings
        self.newest_version = newest_version
        self.loads = loads

    @classmethod
    def from_json(cls, data):
        """Build a request from its wire form; raise ValueError if it is malformed."""
        try:
            versions = read_table(data, "versions")
            return cls(
                {table: _read_version(versions, table) for table in versions},
                _read_clock(data, "confirmed_store_ms", NEVER_MS),
                read_number(data, "wait_ms", 0),
                str(data["sessions_digest"]),
                data["sessions"],
                tuple(str(each) for each in read_list(data, "encodings", ())),
                _read_version(data, "newest_version", 0),
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
            "encodings": list(self.encodings),
            "newest_version": self.newest_version,
            "loads": self.loads,
        }


class TablesAnswer:
    """The newer copies, and what the sender knows of the store.

    `store_ms` is the latest possible reading of the store's clock when the answer was
    sent. `outage_end_store_ms` is that of the end of the store's last outage, which
    lasted `outage_duration_ms`; both are None without one. `is_leaving` tells that the
    sender stops soon. The sessions are as in `TablesRequest`. `expects_news` tells
    whether the sender's source or the store may still confirm its tables; None if the
    sender is of a build that does not tell. `is_arriving` tells whether bytes of newer
    rows are on their way to the sender. `age_ms` is the age of its copies, None if it
    has none or does not tell, `newest_version` and `loads` as in `TablesRequest`.
    """

    __slots__ = (
        "store_ms",
        "outage_end_store_ms",
        "outage_duration_ms",
        "is_leaving",
        "updates_by_table",
        "sessions_digest",
        "sessions",
        "expects_news",
        "is_arriving",
        "age_ms",
        "newest_version",
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
        expects_news=None,
        is_arriving=False,
        age_ms=None,
        newest_version=0,
        loads=None,
    ):
        self.store_ms = store_ms
        self.outage_end_store_ms = outage_end_store_ms
        self.outage_duration_ms = outage_duration_ms
        self.is_leaving = is_leaving
        self.updates_by_table = updates_by_table
        self.sessions_digest = sessions_digest
        self.sessions = sessions
        self.expects_news = expects_news
        self.is_arriving = is_arriving
        self.age_ms = age_ms
        self.newest_version = newest_version
        self.loads = loads

    @classmethod
    def from_json(cls, data):
        """Build an answer from its wire form; raise ValueError if it is malformed."""
        try:
            return cls(
                _read_clock(data, "store_ms", None),
                _read_clock(data, "outage_end_store_ms", None),
                read_number(data, "outage_duration_ms", 0, default=None),
                read_flag(data, "is_leaving"),
                {
                    table: TableUpdate.from_json(update)
                    for table, update in read_table(data, "tables").items()
                },
                str(data["sessions_digest"]),
                data["sessions"],
                read_flag(data, "expects_news", None),
                read_flag(data, "is_arriving", False),
                read_number(data, "age_ms", 0, default=None),
                _read_version(data, "newest_version", 0),
                data.get("loads"),
            )
        except (AttributeError, KeyError, TypeError) as error:
            raise ValueError(f"malformed answer: {error!r}") from error

    def to_json(self, encodings=()):
        """Return the wire form; `encodings` are those that the receiver understands."""
        return {
            "store_ms": self.store_ms,
            "outage_end_store_ms": self.outage_end_store_ms,
            "outage_duration_ms": self.outage_duration_ms,
            "is_leaving": self.is_leaving,
            "tables": {
                table: update.to_json(encodings)
                for table, update in self.updates_by_table.items()
            },
            "sessions_digest": self.sessions_digest,
            "sessions": self.sessions,
            "expects_news": self.expects_news,
            "is_arriving": self.is_arriving,
            "age_ms": self.age_ms,
            "newest_version": self.newest_version,
            "loads": self.loads,
        }


def _encode_row(row, may_compress):
    if may_compress and len(row.value or b"") >= MIN_COMPRESSED_BYTES:
        if row.compressed_text is None:
            row.compressed_text = base64.b64encode(zlib.compress(row.value)).decode()
        return [row.key, row.version, row.compressed_text, row.is_deleted, ZLIB]
    value = None if row.value is None else base64.b64encode(row.value).decode()
    return [row.key, row.version, value, row.is_deleted]


def _decode_row(data):
    key, version, value, is_deleted, *encoding = data
    fields = {"key": key, "version": version, "is_deleted": is_deleted}
    if not isinstance(key, str):
        raise ValueError(f"expected the key of a row, not {key!r}")
    version = _read_version(fields, "version")
    is_deleted = read_flag(fields, "is_deleted")
    decoded = None if value is None else base64.b64decode(value, validate=True)
    if not encoding:
        return StoredRow(key, version, decoded, is_deleted)
    if encoding != [ZLIB] or decoded is None:
        raise ValueError(f"unknown encoding {encoding!r}")
    row = StoredRow(key, version, _decompress(decoded), is_deleted)
    row.compressed_text = value
    return row


def _decompress(data):
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(data, MAX_VALUE_BYTES)
    if not decompressor.eof:
        raise ValueError(f"a value is cut off or over {MAX_VALUE_BYTES} bytes")
    return value


def _read_version(data, name, default=REQUIRED):
    return read_integer(data, name, 0, MAX_VERSION, default)


def _read_clock(data, name, default=REQUIRED):
    """Return a reading of the store's clock, in ms."""
    return read_number(data, name, -MAX_INTEGER, default=default)
