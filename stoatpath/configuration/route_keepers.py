"""Keeps the routes in force, never an older revision than one seen before."""

import logging

from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)


class RouteKeeper:
    """The table in force and the copy of the store that confirms it.

    `decode` turns the value of a row into a `RouteTable` or a failure. Each of
    `observers` is called with a table that has come into force.
    """

    __slots__ = ("table", "observers", "_decode", "_copy")

    def __init__(self, decode):
        self.table = None
        self.observers = []
        self._decode = decode
        self._copy = None

    def set_confirmation_source(self, copy):
        """Take the `TableCopy` whose confirmations hold for the routes."""
        self._copy = copy

    def age_ms(self, now_ms):
        """Return how long ago the routes were confirmed."""
        return self._copy.age_ms(now_ms)

    def apply(self, row):
        """Take the operator's row; one that can't be read leaves what is in force."""
        table = self._decode(row.value)
        if is_failure(table):
            logger.error(
                "routes.unreadable", extra={"row": row.version, "why": table.detail}
            )
            return
        if self.table is not None and table.revision <= self.table.revision:
            return
        self.table = table
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
