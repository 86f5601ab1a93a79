"""Client of the platform's list of live and leaving instances."""

from stoatpath.outcomes import is_failure
from stoatpath.services.connections import PlatformConnection
from stoatpath.services.messages import ListedInstance

LIST_TIMEOUT_MS = 2_000
MIN_READ_PERIOD_MS = 2_000
MAX_LIST_BYTES_PER_S = 5_000


class InstanceList:
    """Reads the list. It lags: live instances may be missing, stopped ones listed."""

    __slots__ = ("connection", "_entries", "_read_ms", "_period_ms")

    def __init__(self, connection):
        self.connection = connection
        self._entries = None
        self._read_ms = float("-inf")
        self._period_ms = MIN_READ_PERIOD_MS

    @classmethod
    def from_url(cls, url, tls=None, timeout_ms=LIST_TIMEOUT_MS):
        """Build a client of the service at a base URL."""
        return cls(PlatformConnection(url, timeout_ms, tls))

    async def read(self):
        """Return entries by name, or a failure."""
        return await self.connection.call("/v1/instances", {}, _parse_entries)

    async def read_cached(self, now_ms):
        """Return the result of `read`, cached for a period.

        The period grows with the size of the list, so that a process reads at most
        `MAX_LIST_BYTES_PER_S` on average.
        """
        if now_ms - self._read_ms < self._period_ms:
            return self._entries
        bytes_before = self.connection.bytes_read
        entries = await self.read()
        if not is_failure(entries):
            size = self.connection.bytes_read - bytes_before
            self._period_ms = max(
                MIN_READ_PERIOD_MS, size / MAX_LIST_BYTES_PER_S * 1000
            )
            self._entries = entries
            self._read_ms = now_ms
        return entries

    async def close(self):
        """Close the connections."""
        await self.connection.close()


def _parse_entries(answer):
    entries = map(ListedInstance.from_json, answer["instances"])
    return {entry.name: entry for entry in entries}
