"""Plans a pool from scratch, for comparison with the planner of few changes."""

from stoatpath.placement.messages import EnginePlan


def plan_from_scratch(engines, demand_by_version):
    """Return plans that spread wanted replicas over engines in turn."""
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
