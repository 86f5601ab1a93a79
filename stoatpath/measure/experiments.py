"""The experiments by name, each with the module that runs it."""

MODULES_BY_NAME = {
    "billing": "stoatpath.measure.billing",
    "caller-costs": "stoatpath.measure.caller_costs",
    "cascades": "stoatpath.measure.cascade_costs",
    "decision-costs": "stoatpath.measure.decision_costs",
    "rate-limits": "stoatpath.measure.rate_limits",
    "retries": "stoatpath.measure.retry_budgets",
    "routing": "stoatpath.measure.routing_loads",
    "session-costs": "stoatpath.measure.session_costs",
}
