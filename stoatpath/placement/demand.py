"""Works out how many replicas each version should have."""

import math

from stoatpath.placement.messages import ReplicaDemand

TARGET_UTILISATION = 0.6
MIN_REPLICAS = 1
MIN_ZONES = 1
LOWER_AFTER_MS = 300_000


class DemandTracker:
    """Raises wants at once and lowers them only after a long calm."""

    __slots__ = ("_wants_by_version", "_lower_at_ms")

    def __init__(self):
        self._wants_by_version = {}
        self._lower_at_ms = {}

    def update(self, versions, engines, now_ms):
        """Return the wants of open versions, given the engines of their pool."""
        wants = {}
        for version in versions:
            needed = self._steady(version, _needed(version, engines), now_ms)
            wants[version] = ReplicaDemand(version, needed, min(needed, MIN_ZONES))
        self._wants_by_version = {name: want.replicas for name, want in wants.items()}
        return wants

    def _steady(self, version, needed, now_ms):
        known = self._wants_by_version.get(version, needed)
        if needed >= known:
            self._lower_at_ms.pop(version, None)
            return needed
        lower_at_ms = self._lower_at_ms.setdefault(version, now_ms + LOWER_AFTER_MS)
        if now_ms < lower_at_ms:
            return known
        del self._lower_at_ms[version]
        return needed


def _needed(version, engines):
    running = sum(engine.running_by_version.get(version, 0) for engine in engines)
    slots = max((engine.slots for engine in engines), default=1)
    return max(MIN_REPLICAS, math.ceil(running / (slots * TARGET_UTILISATION)))
