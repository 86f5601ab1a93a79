"""Plans a pool from scratch, as a baseline for the planner of minimal changes."""

from stoatpath.placement.messages import EnginePlan


def plan_from_scratch(engines, demand_by_version):
    """Return plans that distribute the desired replicas round-robin over engines."""
    usable = sorted(
        (engine for engine in engines if not engine.is_leaving),
        key=lambda engine: (engine.zone, engine.name),
    )
    planned = {engine.name: set() for engine in usable}
    turn = 0
    for version in sorted(demand_by_version):
        placed = 0
        for _ in range(len(usable)):
            if placed >= demand_by_version[version].replicas:
                break
            engine = usable[turn % len(usable)]
            turn += 1
            if len(planned[engine.name]) < engine.capacity:
                planned[engine.name].add(version)
                placed += 1
    return [
        EnginePlan(engine, planned[engine.name], "planned from scratch")
        for engine in usable
        if planned[engine.name] != engine.versions
    ]
