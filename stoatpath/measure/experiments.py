"""The experiments by name, each with the module that runs it."""

MODULES_BY_NAME = {
    "decision-costs": "stoatpath.measure.decision_costs",
    "routing": "stoatpath.measure.routing_loads",
}
