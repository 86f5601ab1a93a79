"""Client of the platform's transactional table service."""

from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.services.connections import PlatformConnection
from stoatpath.services.messages import Applied, Rejected, Row

TABLE_TIMEOUT_MS = 2_000
SCAN_PAGE_ROWS = 500
SETTLE_ATTEMPTS = 3


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
        message = transaction.to_json()
        return await self.connection.call("/v1/transact", message, _build_verdict)

    async def transact_resolved(self, transaction):
        """Return as `transact` does, with a lost reply settled by reading back.

        Sends the same transaction again while the outcome is unknown. For this
        each conditioned row must be written with a value that no other writer
        writes, so that a rejection can be told from an earlier success. The
        failure that is left, if any, says `not-run` only if no attempt can
        take effect.
        """
        is_unsettled = False
        for _ in range(SETTLE_ATTEMPTS):
            result = await self.transact(transaction)
            if isinstance(result, Rejected) and is_unsettled:
                return _settle(transaction, result)
            if not is_failure(result):
                return result
            if result.outcome is Outcome.NOT_RUN and not is_unsettled:
                return result
            is_unsettled = True
        return Failure(result.reason, result.detail, Outcome.UNKNOWN)

    async def read(self, keys):
        """Return rows by key, absent rows with version 0, or a failure."""
        wanted = list(keys)
        answer = await self.connection.call("/v1/read", {"keys": wanted}, _build_rows)
        if is_failure(answer):
            return answer
        by_key = {row.key: row for row in answer}
        if any(key not in by_key for key in wanted):
            detail = "/v1/read: rows are missing from the answer"
            return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)
        return by_key

    async def scan(self, prefix):
        """Return all rows whose key starts with a prefix, by key, or a failure."""
        by_key = {}
        after = ""
        while True:
            question = {"prefix": prefix, "after": after, "limit": SCAN_PAGE_ROWS}
            page = await self.connection.call("/v1/scan", question, _build_rows)
            if is_failure(page):
                return page
            for row in page:
                by_key[row.key] = row
                after = row.key
            if len(page) < SCAN_PAGE_ROWS:
                return by_key

    async def close(self):
        """Close the connections."""
        await self.connection.close()


def _build_verdict(answer):
    if answer["applied"] is True:
        return Applied()
    if answer["applied"] is not False:
        raise ValueError("`applied` is a boolean")
    return Rejected({row.key: row for row in _rows_from(answer["current"])})


def _build_rows(answer):
    return _rows_from(answer["rows"])


def _rows_from(items):
    return [Row.from_json(item) for item in items]


def _settle(transaction, rejected):
    if transaction.is_seen_in(rejected.by_key):
        return Applied()
    moved_on = any(
        rejected.by_key[condition.key].version > condition.version + 1
        for condition in transaction.conditions
    )
    if not moved_on:
        return rejected
    detail = "the row was written again before the lost reply could be settled"
    return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)
