"""Client of the platform's object store: whole JSON values by key."""

from stoatpath.outcomes import is_failure
from stoatpath.services.connections import PlatformConnection

OBJECTS_TIMEOUT_MS = 5_000


class ObjectStore:
    """Puts, gets, lists and deletes objects. A put replaces the whole object.

    Callers write each key with one content only, so that a put whose reply was
    lost can be repeated.
    """

    __slots__ = ("connection",)

    def __init__(self, connection):
        self.connection = connection

    @classmethod
    def from_url(cls, url, tls=None, timeout_ms=OBJECTS_TIMEOUT_MS):
        """Build a client of the service at a base URL."""
        return cls(PlatformConnection(url, timeout_ms, tls))

    async def put(self, key, value):
        """Store an object; return the key or a failure."""
        message = {"key": key, "value": value}
        return await self.connection.call("/v1/objects/put", message, _parse_key)

    async def get(self, key):
        """Return `StoredObject`, `MISSING` or a failure."""
        message = {"key": key}
        return await self.connection.call("/v1/objects/get", message, _parse_object)

    async def keys(self, prefix):
        """Return the sorted keys that start with a prefix, or a failure."""
        message = {"prefix": prefix}
        return await self.connection.call("/v1/objects/list", message, _parse_keys)

    async def delete(self, key):
        """Remove an object, also an absent one; return the key or a failure."""
        return await self.connection.call(
            "/v1/objects/delete", {"key": key}, _parse_key
        )

    async def put_and_verify(self, key, value):
        """Store an object; read it back to find out the result if the put failed."""
        stored = await self.put(key, value)
        if not is_failure(stored):
            return stored
        found = await self.get(key)
        if isinstance(found, StoredObject) and found.value == value:
            return key
        return stored

    async def close(self):
        """Close the connections."""
        await self.connection.close()


class StoredObject:
    """An object as read."""

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value


class _MissingObject:
    """The type of the sentinel for an object that does not exist."""

    __slots__ = ()

    def __repr__(self):
        return "<MISSING>"


MISSING = _MissingObject()


def _parse_key(answer):
    return str(answer["key"])


def _parse_object(answer):
    if answer["found"] is False:
        return MISSING
    return StoredObject(str(answer["key"]), answer["value"])


def _parse_keys(answer):
    return sorted(str(key) for key in answer["keys"])
