"""Client of the platform's lagging list of live and leaving instances."""

from stoatpath.platform.connections import PlatformConnection
from stoatpath.platform.messages import LiveInstance

LIST_TIMEOUT_MS = 2_000


class InstanceList:
    """Reads the list. It may be late in both directions."""

    __slots__ = ("connection",)

    def __init__(self, connection):
        self.connection = connection

    @classmethod
    def from_url(cls, url, tls=None, timeout_ms=LIST_TIMEOUT_MS):
        """Build a client of the service at a base URL."""
        return cls(PlatformConnection(url, timeout_ms, tls))

    async def read(self):
        """Return entries by name, or a failure."""
        return await self.connection.call("/v1/instances", {}, _build_entries)

    async def close(self):
        """Close the connections."""
        await self.connection.close()


def _build_entries(answer):
    entries = map(LiveInstance.from_json, answer["instances"])
    return {entry.name: entry for entry in entries}
