"""Client of the platform's transactional table service."""

from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.services.connections import PlatformConnection
from stoatpath.services.messages import Applied, Rejected, Row

TABLE_TIMEOUT_MS = 2_000
SCAN_PAGE_ROWS = 500
MAX_TRANSACT_ATTEMPTS = 3


class Table:
    """Reads, scans and transactions; every result is a value or a `Failure`."""

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
        return await self.connection.call(
            "/v1/transact", message, _parse_transaction_result
        )

    async def transact_and_verify(self, transaction):
        """Return as `transact` does, and find out the outcome when a reply was lost.

        The same transaction is sent again while its outcome is unknown. Each row
        with a condition must be written with a value that no other writer writes,
        so that a rejection can be told from an earlier success. A remaining
        failure has the outcome `not-run` only if no attempt can take effect.
        """
        is_outcome_unknown = False
        for _ in range(MAX_TRANSACT_ATTEMPTS):
            result = await self.transact(transaction)
            if isinstance(result, Rejected) and is_outcome_unknown:
                return _resolve_rejection(transaction, result)
            if not is_failure(result):
                return result
            if result.outcome is Outcome.NOT_RUN and not is_outcome_unknown:
                return result
            is_outcome_unknown = True
        return Failure(result.reason, result.detail, Outcome.UNKNOWN)

    async def read(self, keys):
        """Return rows by key, absent rows with version 0, or a failure."""
        requested_keys = list(keys)
        answer = await self.connection.call(
            "/v1/read", {"keys": requested_keys}, _parse_rows
        )
        if is_failure(answer):
            return answer
        rows_by_key = {row.key: row for row in answer}
        if any(key not in rows_by_key for key in requested_keys):
            detail = "/v1/read: rows are missing from the answer"
            return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)
        return rows_by_key

    async def scan(self, prefix):
        """Return all rows whose key starts with a prefix, by key, or a failure."""
        rows_by_key = {}
        last_key = ""
        while True:
            message = {"prefix": prefix, "after": last_key, "limit": SCAN_PAGE_ROWS}
            page = await self.connection.call("/v1/scan", message, _parse_rows)
            if is_failure(page):
                return page
            for row in page:
                rows_by_key[row.key] = row
                last_key = row.key
            if len(page) < SCAN_PAGE_ROWS:
                return rows_by_key

    async def close(self):
        """Close the connections."""
        await self.connection.close()


def _parse_transaction_result(answer):
    if answer["applied"] is True:
        return Applied()
    if answer["applied"] is not False:
        raise ValueError("`applied` is a boolean")
    return Rejected({row.key: row for row in _parse_row_items(answer["current"])})


def _parse_rows(answer):
    return _parse_row_items(answer["rows"])


def _parse_row_items(items):
    return [Row.from_json(item) for item in items]


def _resolve_rejection(transaction, rejected):
    if transaction.took_effect_in(rejected.rows_by_key):
        return Applied()
    was_overwritten = any(
        rejected.rows_by_key[condition.key].version > condition.version + 1
        for condition in transaction.conditions
    )
    if not was_overwritten:
        return rejected
    detail = "the row was written again before the lost reply could be settled"
    return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)
