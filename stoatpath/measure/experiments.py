"""Maps each experiment name to the module that runs it."""

MODULES_BY_NAME = {
    "footprints": "stoatpath.measure.footprints",
    "hot-path": "stoatpath.measure.hot_path",
    "billing": "stoatpath.measure.billing",
    "caller-costs": "stoatpath.measure.caller_costs",
    "cascades": "stoatpath.measure.cascade_costs",
    "control": "stoatpath.measure.control_traffic",
    "decision-costs": "stoatpath.measure.decision_costs",
    "placement": "stoatpath.measure.placements",
    "fleet-load": "stoatpath.measure.fleet_loads",
    "fairness": "stoatpath.measure.fairness",
    "lookups": "stoatpath.measure.lookup_strategies",
    "overload": "stoatpath.measure.overloads",
    "prompts": "stoatpath.measure.prompt_strategies",
    "rate-limits": "stoatpath.measure.rate_limits",
    "rollout-costs": "stoatpath.measure.rollout_costs",
    "exposure": "stoatpath.measure.exposures",
    "retries": "stoatpath.measure.retry_budgets",
    "routing": "stoatpath.measure.routing_loads",
    "session-costs": "stoatpath.measure.session_costs",
}
