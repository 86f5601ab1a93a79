"""Plans which engine of a pool holds which versions, with as few loads as it can.

Pure: engines and wants in, changed engines and reasons out. A version is loaded
where there is room, or in place of one that has more replicas than it wants. A
closed version is dropped; an open one only to make room, and never below its
wanted replicas and zones, so that no plan empties a pool.
"""

from stoatpath.placement.messages import EnginePlan


class _Layout:
    """Who should hold what while a plan is made; `kept` is loaded and stays."""

    __slots__ = ("engines", "versions_by_engine", "holders_by_version", "kept")

    def __init__(self, engines):
        self.engines = [engine for engine in engines if not engine.is_leaving]
        self.versions_by_engine = {
            engine.name: set(engine.ordered) for engine in self.engines
        }
        self.holders_by_version = {}
        self.kept = {}
        for engine in self.engines:
            for version in engine.ordered:
                self.holders_by_version.setdefault(version, []).append(engine)
                if version in engine.versions:
                    self.kept.setdefault(version, []).append(engine)

    def holders(self, version):
        """Return who holds a version, planned loads included."""
        return self.holders_by_version.get(version, [])

    def add(self, engine, version):
        """Plan a load."""
        self.versions_by_engine[engine.name].add(version)
        self.holders_by_version.setdefault(version, []).append(engine)

    def remove(self, engine, version):
        """Plan a drop."""
        self.versions_by_engine[engine.name].discard(version)
        self.holders_by_version[version].remove(engine)
        if engine in self.kept.get(version, ()):
            self.kept[version].remove(engine)

    def may_drop(self, engine, want):
        """Return whether loaded replicas and zones suffice without an engine."""
        if want is None:
            return True
        rest = [each for each in self.kept.get(want.version, ()) if each is not engine]
        zones = {each.zone for each in rest}
        return len(rest) >= max(1, want.replicas) and len(zones) >= want.zones


def plan_pool(engines, demand_by_version, closed, max_loads):
    """Return plans for the engines that change.

    `wants_by_version` holds open versions, `closed` the names of versions that
    must go; `max_loads` is how many loads may start now.
    """
    layout = _Layout(engines)
    reasons = {}
    for engine in layout.engines:
        for version in sorted(engine.ordered & closed):
            layout.remove(engine, version)
            reasons.setdefault(engine.name, []).append(f"drop {version}: closed")
    loads = 0
    for version in sorted(demand_by_version):
        want = demand_by_version[version]
        while loads < max_loads and _is_short(layout, want):
            if not _load_one(layout, want, demand_by_version, reasons):
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


def _is_short(layout, want):
    holders = layout.holders(want.version)
    zones = {engine.zone for engine in holders}
    return len(holders) < want.replicas or len(zones) < want.zones


def _load_one(layout, want, wants_by_version, reasons):
    """Plan one more replica; return whether there was a place for it."""
    holders = layout.holders(want.version)
    held_by_zone = {}
    for engine in holders:
        held_by_zone[engine.zone] = held_by_zone.get(engine.zone, 0) + 1
    best = None
    best_rank = None
    for engine in layout.engines:
        versions = layout.versions_by_engine[engine.name]
        if want.version in versions:
            continue
        victim = None
        if len(versions) >= engine.capacity:
            victim = _find_victim(layout, engine, wants_by_version)
            if victim is None:
                continue
        load = sum(engine.running_by_version.values())
        rank = (
            held_by_zone.get(engine.zone, 0),
            victim is not None,
            load,
            engine.name,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank, best_victim = engine, rank, victim
    if best is None:
        return False
    note = reasons.setdefault(best.name, [])
    if best_victim is not None:
        layout.remove(best, best_victim)
        note.append(f"drop {best_victim}: more replicas than wanted")
    layout.add(best, want.version)
    note.append(f"load {want.version}: {len(holders)} of {want.replicas} replicas")
    return True


def _find_victim(layout, engine, wants_by_version):
    """Return a version that an engine may drop for room, unwanted ones first."""
    held = layout.versions_by_engine[engine.name]
    loaded = engine.versions & held
    for version in sorted(loaded, key=lambda each: (each in wants_by_version, each)):
        if layout.may_drop(engine, wants_by_version.get(version)):
            return version
    return None
