"""The experiments by name. Each module has `run(seed)`, which returns a report."""

import importlib

MODULES_BY_NAME = {}


def run_experiment(name, seed):
    """Run one experiment and return its report."""
    return importlib.import_module(MODULES_BY_NAME[name]).run(seed)
