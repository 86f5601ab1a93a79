"""Holds the routes in force; their revision never decreases."""

import logging

from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

MAX_LOGGED_PROBLEMS = 5


class RouteKeeper:
    """The route table in force, and the table copy that confirms it.

    `decode` converts the value of a row to a `RouteTable` or a failure. Each of
    `observers` is called with every new table in force. While the row can't be read, or
    is missing, nothing confirms the table in force.
    """

    __slots__ = ("table", "observers", "_decode", "_copy", "_last_read_ms")

    def __init__(self, decode):
        self.table = None
        self.observers = []
        self._decode = decode
        self._copy = None
        self._last_read_ms = float("inf")

    def set_confirmation_source(self, copy):
        """Set the `TableCopy` whose last confirmation dates the routes."""
        self._copy = copy

    def age_ms(self, now_ms):
        """Return how long ago the routes were confirmed."""
        return max(self._copy.age_ms(now_ms), now_ms - self._last_read_ms)

    def apply(self, row):
        """Put the operator's row in force, unless it is unreadable or not newer."""
        table = self._decode(row.value)
        if is_failure(table):
            logger.error(
                "routes.unreadable", extra={"row": row.version, "why": table.detail}
            )
            self._record_unread()
            return
        self._last_read_ms = float("inf")
        if self.table is not None and table.revision <= self.table.revision:
            return
        self.table = table
        if table.problems:
            why = table.problems[:MAX_LOGGED_PROBLEMS]
            extra = {"row": row.version, "count": len(table.problems), "why": why}
            logger.error("routes.partly-unreadable", extra=extra)
        logger.info(
            "routes.in-force",
            extra={
                "revision": table.revision,
                "services": sorted(table.services_by_name),
                "keys": len(table.organisations_by_key),
            },
        )
        for observer in self.observers:
            observer(table)

    def record_removal(self):
        """Record that the operator's row was deleted; nothing confirms the routes."""
        logger.error("routes.removed")
        self._record_unread()

    def _record_unread(self):
        """Count the age of the routes from the last answer before the row changed."""
        self._last_read_ms = min(self._last_read_ms, self._copy.unchanged_ms)
