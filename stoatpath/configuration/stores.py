"""The stored configuration, in the platform's table and object store.

Row `config/head` holds the latest revision, that of the latest snapshot in the object
store and that of the first retained history row. Rows `config/changes/REVISION` hold
the accepted submissions in order.
"""

import logging

from stoatpath.configuration.capacity import find_warnings
from stoatpath.configuration.conflicts import check_conflicts
from stoatpath.configuration.messages import AcceptedChange, Invalid, Problem, Risky
from stoatpath.configuration.snapshots import apply_changes
from stoatpath.configuration.validators import find_problems
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.services.messages import Condition, Put, Transaction

logger = logging.getLogger(__name__)

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/changes/"
SUBMIT_ATTEMPTS = 20
READ_BATCH_ROWS = 100
MAX_REPLAYED_ROWS = 400


def change_key(revision):
    """Return the row key of an accepted change."""
    return f"{CHANGE_PREFIX}{revision:010d}"


def change_keys(first, last):
    """Return the row keys of a range of revisions."""
    return [change_key(revision) for revision in range(first, last + 1)]


class Head:
    """The head row.

    `snapshot_revision` is the revision of the latest snapshot in the object store, or
    0; `first_revision` that of the oldest retained history row; `row_version` the
    version of the row itself.
    """

    __slots__ = ("revision", "snapshot_revision", "first_revision", "row_version")

    def __init__(self, revision, snapshot_revision, first_revision, row_version):
        self.revision = revision
        self.snapshot_revision = snapshot_revision
        self.first_revision = first_revision
        self.row_version = row_version

    @classmethod
    def from_row(cls, row):
        """Build the head from its row, which is absent before the first submission."""
        value = row.value if row.version else {}
        return cls(
            value.get("revision", 0),
            value.get("snapshot_revision", 0),
            value.get("first_revision", 1),
            row.version,
        )

    def to_json(self):
        """Return the stored form."""
        return {
            "revision": self.revision,
            "snapshot_revision": self.snapshot_revision,
            "first_revision": self.first_revision,
        }

    def replace(self, **fields):
        """Return a head with some fields changed."""
        names = ("revision", "snapshot_revision", "first_revision", "row_version")
        return Head(**{**{name: getattr(self, name) for name in names}, **fields})


class History:
    """The stored head, and the history rows after a base snapshot.

    `base` is the snapshot that the caller knows, or a later one from the object store.
    """

    __slots__ = ("head", "base", "changes")

    def __init__(self, head, base, changes):
        self.head = head
        self.base = base
        self.changes = changes

    def latest(self):
        """Return the snapshot at the stored head."""
        return self.base.with_history(self.changes)


class ConfigurationStore:
    """Reads the stored configuration history of a site, and appends to it.

    A site is one deployment, with one table and object store.

    Without an `archive`, readers replay all rows. `read_capacity` is a coroutine
    function that returns a `ListedCapacity` or None.
    """

    __slots__ = ("_table", "_clock", "_archive", "_read_capacity")

    def __init__(self, table, clock, archive=None, read_capacity=None):
        self._table = table
        self._clock = clock
        self._archive = archive
        self._read_capacity = read_capacity

    async def read_after(self, snapshot):
        """Return the snapshot at the stored head, or a failure."""
        history = await self.read_history(snapshot)
        return history if is_failure(history) else history.latest()

    async def read_history(self, snapshot):
        """Return the `History` after a known snapshot, or a failure."""
        head = await self.read_head()
        if is_failure(head):
            return head
        if head.revision < snapshot.revision:
            detail = f"the stored head {head.revision} is below {snapshot.revision}"
            return Failure(PLATFORM_UNAVAILABLE, detail)
        base = await self._select_base(head, snapshot)
        if is_failure(base):
            return base
        changes = await self.read_changes(base.revision + 1, head.revision)
        if is_failure(changes):
            return changes
        return History(head, base, changes)

    async def read_head(self):
        """Return the stored head or a failure."""
        rows = await self._table.read([HEAD_KEY])
        return rows if is_failure(rows) else Head.from_row(rows[HEAD_KEY])

    async def read_changes(self, first, last):
        """Return the history rows of a range of revisions, or a failure."""
        keys = change_keys(first, last)
        changes = []
        for start in range(0, len(keys), READ_BATCH_ROWS):
            batch = keys[start : start + READ_BATCH_ROWS]
            rows = await self._table.read(batch)
            if is_failure(rows):
                return rows
            if any(rows[key].version == 0 for key in batch):
                detail = f"history rows from {batch[0]} on are no longer kept"
                return Failure(PLATFORM_UNAVAILABLE, detail)
            changes += [AcceptedChange.from_json(rows[key].value) for key in batch]
        return changes

    async def submit(self, snapshot, submission):
        """Return `Accepted`, `Invalid`, `Risky`, `Conflict` or a failure.

        `snapshot` only saves reads: history is replayed from it up to the stored head,
        against which the submission is checked. A submission counts as accepted once
        it is read back from history, so a lost reply does not change the verdict.
        """
        may_be_written = False
        capacity = await self._get_capacity(submission)
        for _ in range(SUBMIT_ATTEMPTS):
            verdict = await self._evaluate(snapshot, submission, capacity)
            if is_failure(verdict) and may_be_written:
                return Failure(verdict.reason, verdict.detail, Outcome.UNKNOWN)
            if not isinstance(verdict, Head):
                return verdict
            result = await self._append(verdict, submission)
            if is_failure(result) and result.outcome is Outcome.NOT_RUN:
                if not may_be_written:
                    return result
            elif is_failure(result):
                may_be_written = True
        outcome = Outcome.UNKNOWN if may_be_written else Outcome.NOT_RUN
        detail = "other submissions kept coming first"
        return Failure(PLATFORM_UNAVAILABLE, detail, outcome)

    async def check(self, snapshot, submission):
        """Return the verdict on a submission without storing it.

        A `Head` means that it would be accepted.
        """
        capacity = await self._get_capacity(submission)
        return await self._evaluate(snapshot, submission, capacity)

    async def _evaluate(self, snapshot, submission, capacity):
        """Return a verdict, or the `Head` that the submission may be appended to."""
        history = await self.read_history(snapshot)
        if is_failure(history):
            return history
        latest = history.latest()
        accepted_since = await self._changes_since(history, submission.base_revision)
        if is_failure(accepted_since) or isinstance(accepted_since, Invalid):
            return accepted_since
        verdict = check_conflicts(submission, accepted_since, latest.by_kind)
        if verdict is not None:
            return verdict
        new_documents = apply_changes(latest.by_kind, submission.changes)
        problems = find_problems(new_documents)
        if problems:
            return Invalid(problems)
        if not submission.accept_warnings:
            warnings = find_warnings(new_documents, submission.changes, capacity)
            if warnings:
                return Risky(warnings)
        return history.head

    async def _changes_since(self, history, base_revision):
        head = history.head
        if not head.first_revision - 1 <= base_revision <= head.revision:
            expected = f"a revision from {head.first_revision - 1} to {head.revision}"
            return Invalid([Problem("base_revision", base_revision, expected)])
        if history.base.revision <= base_revision:
            return [each for each in history.changes if each.revision > base_revision]
        return await self.read_changes(base_revision + 1, head.revision)

    async def _get_capacity(self, submission):
        """Read the listed capacity.

        It is read once per submission, so that retries differ by the head alone.
        """
        if self._read_capacity is None or submission.accept_warnings:
            return None
        return await self._read_capacity()

    async def _append(self, head, submission):
        revision = head.revision + 1
        change = AcceptedChange(revision, self._clock.wall_ms(), submission)
        transaction = Transaction(
            [Condition(HEAD_KEY, head.row_version)],
            [
                Put(HEAD_KEY, head.replace(revision=revision).to_json()),
                Put(change_key(revision), change.to_json()),
            ],
        )
        return await self._table.transact(transaction)

    async def replace_head(self, head, new_head, deletes=()):
        """Replace the head and delete rows, unless the head has changed since."""
        transaction = Transaction(
            [Condition(HEAD_KEY, head.row_version)],
            [Put(HEAD_KEY, new_head.to_json())],
            deletes,
        )
        return await self._table.transact(transaction)

    async def _select_base(self, head, snapshot):
        """Return the snapshot to replay rows from, or a failure."""
        replay_count = head.revision - snapshot.revision
        is_replayable = snapshot.revision + 1 >= head.first_revision
        if is_replayable and replay_count <= MAX_REPLAYED_ROWS:
            return snapshot
        if self._archive is None or head.snapshot_revision <= snapshot.revision:
            return snapshot
        stored = await self._archive.read_snapshot(head.snapshot_revision)
        if not is_failure(stored):
            return stored
        logger.warning("configuration.snapshot-failed", extra={"why": stored.detail})
        return snapshot if is_replayable else stored
