"""The availability zones that the operator has drained, as known here."""

import logging

logger = logging.getLogger(__name__)


class EvacuationTable:
    """Which zones are drained and since when; times are clock readings in ms.

    The state comes from the rows of the operator. A zone without backend servers is
    kept like any other. Each of `return_observers` is called with a zone that returns
    to service and the time.
    """

    __slots__ = ("return_observers", "_drained_ms_by_zone", "_returned_ms_by_zone")

    def __init__(self):
        self.return_observers = []
        self._drained_ms_by_zone = {}
        self._returned_ms_by_zone = {}

    def apply(self, zone, is_drained, now_ms):
        """Apply a row of a zone, or its removal; return whether the state changed.

        A row that is written again does not start the drain anew.
        """
        if is_drained == self.is_drained(zone):
            return False
        if is_drained:
            self._drained_ms_by_zone[zone] = now_ms
            self._returned_ms_by_zone.pop(zone, None)
            logger.warning("zones.drained", extra={"zone": zone})
            return True
        drained_ms = self._drained_ms_by_zone.pop(zone)
        self._returned_ms_by_zone[zone] = now_ms
        extra = {"zone": zone, "after_ms": round(now_ms - drained_ms)}
        logger.info("zones.returned", extra=extra)
        for observer in self.return_observers:
            observer(zone, now_ms)
        return True

    def is_drained(self, zone):
        """Return whether a zone is drained."""
        return zone in self._drained_ms_by_zone

    def has_any(self):
        """Return whether any zone is drained."""
        return bool(self._drained_ms_by_zone)

    def drained_ms(self, zone):
        """Return since when a zone is drained, or None."""
        return self._drained_ms_by_zone.get(zone)

    def returned_ms(self, zone):
        """Return when a zone was returned to service, or None.

        None also while it is drained again, and if this process never knew the drain.
        """
        return self._returned_ms_by_zone.get(zone)

    def drained_zones(self):
        """Return the names of the drained zones, sorted."""
        return sorted(self._drained_ms_by_zone)
