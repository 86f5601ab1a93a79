"""Computes how many replicas each version should have."""

import math

from stoatpath.placement.messages import ReplicaDemand

# Share of an engine's request slots that should be in use.
TARGET_UTILISATION = 0.6
MIN_REPLICAS = 1
MIN_ZONES = 1
SCALE_DOWN_DELAY_MS = 300_000


class DemandTracker:
    """Raises demand at once; lowers it after `SCALE_DOWN_DELAY_MS` of lower load."""

    __slots__ = ("_replicas_by_version", "_lower_at_ms")

    def __init__(self):
        self._replicas_by_version = {}
        self._lower_at_ms = {}

    def update(self, versions, engines, now_ms):
        """Return the demand by open version, given the engines of their pool."""
        demand_by_version = {}
        for version in versions:
            needed = self._delay_decrease(
                version, _required_replicas(version, engines), now_ms
            )
            demand_by_version[version] = ReplicaDemand(
                version, needed, min(needed, MIN_ZONES)
            )
        self._replicas_by_version = {
            name: demand.replicas for name, demand in demand_by_version.items()
        }
        return demand_by_version

    def _delay_decrease(self, version, needed, now_ms):
        known = self._replicas_by_version.get(version, needed)
        if needed >= known:
            self._lower_at_ms.pop(version, None)
            return needed
        lower_at_ms = self._lower_at_ms.setdefault(
            version, now_ms + SCALE_DOWN_DELAY_MS
        )
        if now_ms < lower_at_ms:
            return known
        del self._lower_at_ms[version]
        return needed


def _required_replicas(version, engines):
    running = sum(engine.running_by_version.get(version, 0) for engine in engines)
    slots = max((engine.slots for engine in engines), default=1)
    return max(MIN_REPLICAS, math.ceil(running / (slots * TARGET_UTILISATION)))
