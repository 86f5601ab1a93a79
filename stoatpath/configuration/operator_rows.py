"""Applies the rows that the operator writes: routes, roll-outs, drained zones."""

import logging

from stoatpath.outcomes import is_failure
from stoatpath.platform import documents, names

logger = logging.getLogger(__name__)


class OperatorRows:
    """Passes changed rows to `routes`, `releases` and `evacuations`."""

    __slots__ = ("_routes", "_releases", "_evacuations", "_clock")

    def __init__(self, routes, releases, evacuations, clock):
        self._routes = routes
        self._releases = releases
        self._evacuations = evacuations
        self._clock = clock

    def apply(self, changes):
        """Apply `RowChange`s; return whether the drained zones changed."""
        has_changed_zones = False
        for change in changes:
            zone = documents.parse_evacuation_key(change.key)
            if zone is not None:
                has_changed_zones |= self._apply_evacuation(zone, change)
            elif change.key == names.CONFIG_KEY and change.row is None:
                self._routes.record_removal()
            elif change.row is None:
                continue
            elif change.key == names.CONFIG_KEY:
                self._routes.apply(change.row)
            elif documents.parse_rollout_key(change.key) is not None:
                self._apply_order(change)
        return has_changed_zones

    def _apply_evacuation(self, zone, change):
        """Drain or return a zone; the key alone is the order, whatever the value."""
        is_drained = change.row is not None
        if zone:
            return self._evacuations.apply(zone, is_drained, self._clock.now_ms())
        if is_drained:
            logger.warning("zones.key-malformed", extra={"row": change.key})
        return False

    def _apply_order(self, change):
        order = documents.decode_order(change.row)
        if is_failure(order):
            extra = {"row": change.key, "why": order.detail}
            logger.warning("store.row-unreadable", extra=extra)
        else:
            self._releases.apply_order(order)
