"""Client of the platform's transactional table service."""

from stoatpath.outcomes import is_failure
from stoatpath.platform.connections import PlatformConnection
from stoatpath.platform.messages import Applied, Rejected, Row

TABLE_TIMEOUT_MS = 2_000
SCAN_PAGE_ROWS = 500


class Table:
    """Reads, scans and transactions. Every result is a value or a failure."""

    __slots__ = ("connection",)

    def __init__(self, connection):
        self.connection = connection

    @classmethod
    def from_url(cls, url, tls=None, timeout_ms=TABLE_TIMEOUT_MS):
        """Build a client of the service at a base URL."""
        return cls(PlatformConnection(url, timeout_ms, tls))

    async def transact(self, transaction):
        """Return `Applied`, `Rejected` or a failure."""
        answer = await self.connection.post("/v1/transact", transaction.to_json())
        if is_failure(answer):
            return answer
        if answer["applied"]:
            return Applied()
        rows = (Row.from_json(row) for row in answer["current"])
        return Rejected({row.key: row for row in rows})

    async def read(self, keys):
        """Return rows by key, absent rows with version 0, or a failure."""
        answer = await self.connection.post("/v1/read", {"keys": list(keys)})
        if is_failure(answer):
            return answer
        rows = (Row.from_json(row) for row in answer["rows"])
        return {row.key: row for row in rows}

    async def scan(self, prefix):
        """Return all rows whose key starts with a prefix, by key, or a failure."""
        by_key = {}
        after = ""
        while True:
            question = {"prefix": prefix, "after": after, "limit": SCAN_PAGE_ROWS}
            answer = await self.connection.post("/v1/scan", question)
            if is_failure(answer):
                return answer
            for row in map(Row.from_json, answer["rows"]):
                by_key[row.key] = row
                after = row.key
            if len(answer["rows"]) < SCAN_PAGE_ROWS:
                return by_key

    async def close(self):
        """Close the connections."""
        await self.connection.close()
