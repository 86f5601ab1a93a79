"""The configuration as kept in the platform's table.

Row `config/head` holds the latest revision, rows `config/changes/REVISION` the
accepted submissions in order.
"""

from stoatpath.configuration.messages import (
    Accepted,
    AcceptedChange,
    Conflict,
    Invalid,
)
from stoatpath.configuration.snapshots import apply_changes
from stoatpath.configuration.validators import find_problems
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.platform.messages import Applied, Condition, Put, Transaction

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/changes/"
SUBMIT_ATTEMPTS = 5
READ_BATCH_ROWS = 100


def change_key(revision):
    """Return the row key of an accepted change."""
    return f"{CHANGE_PREFIX}{revision:010d}"


class ConfigurationStore:
    """Reads and extends the stored history of one site."""

    __slots__ = ("_table", "_clock")

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock

    async def read_after(self, snapshot):
        """Return the snapshot at the stored head, or a failure."""
        head = await self._read_head()
        if is_failure(head):
            return head
        changes = await self._read_changes(snapshot.revision + 1, head.revision)
        if is_failure(changes):
            return changes
        for change in changes:
            snapshot = snapshot.with_changes(change.revision, change.submission.changes)
        return snapshot

    async def submit(self, snapshot, submission):
        """Return `Accepted`, `Invalid`, `Conflict` or a failure.

        `snapshot` is any revision known to the caller; the stored head decides.
        """
        for _ in range(SUBMIT_ATTEMPTS):
            head = await self._read_head()
            if is_failure(head):
                return head
            changes = await self._read_changes(
                submission.base_revision + 1, head.revision
            )
            if is_failure(changes):
                return changes
            settled = _settle(submission, changes)
            if settled is not None:
                return settled
            latest = await self.read_after(snapshot)
            if is_failure(latest):
                return latest
            if latest.revision != head.revision:
                continue
            problems = find_problems(apply_changes(latest.by_kind, submission.changes))
            if problems:
                return Invalid(problems)
            result = await self._append(head, submission)
            if isinstance(result, Applied):
                return Accepted(head.revision + 1)
        return Failure(
            PLATFORM_UNAVAILABLE, "the submission did not settle", Outcome.UNKNOWN
        )

    async def _append(self, head, submission):
        revision = head.revision + 1
        change = AcceptedChange(revision, self._clock.wall_ms(), submission)
        transaction = Transaction(
            [Condition(HEAD_KEY, head.row_version)],
            [
                Put(HEAD_KEY, {"revision": revision}),
                Put(change_key(revision), change.to_json()),
            ],
        )
        return await self._table.transact(transaction)

    async def _read_head(self):
        rows = await self._table.read([HEAD_KEY])
        if is_failure(rows):
            return rows
        row = rows[HEAD_KEY]
        return _Head(row.value["revision"] if row.version else 0, row.version)

    async def _read_changes(self, first, last):
        keys = [change_key(revision) for revision in range(first, last + 1)]
        changes = []
        for start in range(0, len(keys), READ_BATCH_ROWS):
            batch = keys[start : start + READ_BATCH_ROWS]
            rows = await self._table.read(batch)
            if is_failure(rows):
                return rows
            changes += [AcceptedChange.from_json(rows[key].value) for key in batch]
        return changes


class _Head:
    """The head row: latest revision and the version of the row itself."""

    __slots__ = ("revision", "row_version")

    def __init__(self, revision, row_version):
        self.revision = revision
        self.row_version = row_version


def _settle(submission, changes):
    """Return the verdict that accepted changes already give, or None."""
    mine = {(change.kind, change.name) for change in submission.changes}
    racing = []
    for accepted in changes:
        if accepted.submission.submission_id == submission.submission_id:
            return Accepted(accepted.revision)
        theirs = accepted.submission.changes
        if any((change.kind, change.name) in mine for change in theirs):
            racing.append(accepted)
    return Conflict(racing) if racing else None
