"""The experiments by name, each with the module that runs it."""

MODULES_BY_NAME = {
    "routing": "stoatpath.measure.routing_loads",
}
