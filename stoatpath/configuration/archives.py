"""Snapshots and archived history of the configuration in the object store."""

from stoatpath.configuration.snapshots import Snapshot
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, is_failure
from stoatpath.services.objects import MISSING

SNAPSHOT_PREFIX = "configuration/snapshots/"
HISTORY_PREFIX = "configuration/history/"
MAX_SNAPSHOTS = 3


def snapshot_key(revision):
    """Return the key of the snapshot of a revision."""
    return f"{SNAPSHOT_PREFIX}{revision:010d}"


def history_key(first):
    """Return the key of the archived history that starts at a revision."""
    return f"{HISTORY_PREFIX}{first:010d}"


class ConfigurationArchive:
    """Reads and writes snapshots and archived history.

    The key determines the content, so concurrent and repeated writes are harmless.
    """

    __slots__ = ("_objects",)

    def __init__(self, objects):
        self._objects = objects

    async def write_snapshot(self, snapshot):
        """Store a snapshot; return its key or a failure."""
        key = snapshot_key(snapshot.revision)
        return await self._objects.put_and_verify(key, snapshot.to_json())

    async def read_snapshot(self, revision):
        """Return a stored snapshot or a failure."""
        found = await self._objects.get(snapshot_key(revision))
        if is_failure(found):
            return found
        if found is MISSING or found.value.get("revision") != revision:
            detail = f"the snapshot of revision {revision} is missing"
            return Failure(PLATFORM_UNAVAILABLE, detail)
        return Snapshot.from_json(found.value)

    async def write_history(self, changes):
        """Store history rows; return the key or a failure."""
        rows = [change.to_json() for change in changes]
        return await self._objects.put_and_verify(
            history_key(rows[0]["revision"]), rows
        )

    async def drop_old_snapshots(self):
        """Delete all but the latest `MAX_SNAPSHOTS`; return a failure or None."""
        keys = await self._objects.keys(SNAPSHOT_PREFIX)
        if is_failure(keys):
            return keys
        for key in keys[:-MAX_SNAPSHOTS]:
            deleted = await self._objects.delete(key)
            if is_failure(deleted):
                return deleted
        return None
