"""The experiments by name, each with the module that runs it."""

MODULES_BY_NAME = {
    "billing": "stoatpath.measure.billing",
    "cascades": "stoatpath.measure.cascade_costs",
    "decision-costs": "stoatpath.measure.decision_costs",
    "exposure": "stoatpath.measure.exposures",
    "retries": "stoatpath.measure.retry_budgets",
    "routing": "stoatpath.measure.routing_loads",
}
