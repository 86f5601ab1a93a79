"""Plans which engine of a pool holds which versions, with as few loads as possible.

The functions are pure: they turn engines and demand into changed engines and reasons.
A version is loaded where there is room, or in place of one with surplus replicas. A
withdrawn version is dropped. One that accepts work is only dropped to make room, and
never below its desired replicas and zones, so that no plan empties a pool. A suspended
version has no demand: it isn't loaded, and may be dropped to make room.
"""

from stoatpath.placement.messages import EnginePlan


class _Layout:
    """The planned versions by engine, updated while a plan is made.

    `loaded_by_version` holds the engines that have a version loaded and keep it.
    """

    __slots__ = (
        "engines",
        "versions_by_engine",
        "holders_by_version",
        "loaded_by_version",
    )

    def __init__(self, engines):
        self.engines = [engine for engine in engines if not engine.is_leaving]
        self.versions_by_engine = {
            engine.name: set(engine.ordered) for engine in self.engines
        }
        self.holders_by_version = {}
        self.loaded_by_version = {}
        for engine in self.engines:
            for version in engine.ordered:
                self.holders_by_version.setdefault(version, []).append(engine)
                if version in engine.versions:
                    self.loaded_by_version.setdefault(version, []).append(engine)

    def holders(self, version):
        """Return the engines that hold a version, including planned loads."""
        return self.holders_by_version.get(version, [])

    def add(self, engine, version):
        """Plan a load."""
        self.versions_by_engine[engine.name].add(version)
        self.holders_by_version.setdefault(version, []).append(engine)

    def remove(self, engine, version):
        """Plan a drop."""
        self.versions_by_engine[engine.name].discard(version)
        self.holders_by_version[version].remove(engine)
        if engine in self.loaded_by_version.get(version, ()):
            self.loaded_by_version[version].remove(engine)

    def may_drop(self, engine, demand):
        """Return whether loaded replicas and zones meet demand without an engine."""
        if demand is None:
            return True
        remaining = [
            each
            for each in self.loaded_by_version.get(demand.version, ())
            if each is not engine
        ]
        zones = {each.zone for each in remaining}
        return len(remaining) >= max(1, demand.replicas) and len(zones) >= demand.zones


def plan_pool(engines, demand_by_version, withdrawn, max_loads):
    """Return plans for the engines that change.

    `demand_by_version` covers the versions that accept work, `withdrawn` names those
    to drop; `max_loads` is how many loads may start now.
    """
    layout = _Layout(engines)
    reasons = {}
    for engine in layout.engines:
        for version in sorted(engine.ordered & withdrawn):
            layout.remove(engine, version)
            reasons.setdefault(engine.name, []).append(f"drop {version}: withdrawn")
    loads = 0
    for version in sorted(demand_by_version):
        demand = demand_by_version[version]
        while loads < max_loads and _is_short(layout, demand):
            if not _plan_replica(layout, demand, demand_by_version, reasons):
                break
            loads += 1
    return [
        EnginePlan(
            engine,
            layout.versions_by_engine[engine.name],
            "; ".join(reasons[engine.name]),
        )
        for engine in layout.engines
        if engine.name in reasons
    ]


def _is_short(layout, demand):
    holders = layout.holders(demand.version)
    zones = {engine.zone for engine in holders}
    return len(holders) < demand.replicas or len(zones) < demand.zones


def _plan_replica(layout, demand, demand_by_version, reasons):
    """Plan one more replica; return whether an engine had room for it."""
    holders = layout.holders(demand.version)
    held_by_zone = {}
    for engine in holders:
        held_by_zone[engine.zone] = held_by_zone.get(engine.zone, 0) + 1
    best = None
    best_rank = None
    for engine in layout.engines:
        versions = layout.versions_by_engine[engine.name]
        if demand.version in versions:
            continue
        eviction = None
        if len(versions) >= engine.capacity:
            eviction = _select_eviction(layout, engine, demand_by_version)
            if eviction is None:
                continue
        load = sum(engine.running_by_version.values())
        rank = (
            held_by_zone.get(engine.zone, 0),
            eviction is not None,
            load,
            engine.name,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank, best_eviction = engine, rank, eviction
    if best is None:
        return False
    engine_reasons = reasons.setdefault(best.name, [])
    if best_eviction is not None:
        layout.remove(best, best_eviction)
        engine_reasons.append(f"drop {best_eviction}: more replicas than desired")
    layout.add(best, demand.version)
    engine_reasons.append(
        f"load {demand.version}: {len(holders)} of {demand.replicas} replicas"
    )
    return True


def _select_eviction(layout, engine, demand_by_version):
    """Return a version that an engine may drop, those without demand first."""
    held = layout.versions_by_engine[engine.name]
    loaded = engine.versions & held
    for version in sorted(loaded, key=lambda each: (each in demand_by_version, each)):
        if layout.may_drop(engine, demand_by_version.get(version)):
            return version
    return None
