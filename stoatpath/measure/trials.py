"""Runs the trials of experiments side by side, each in a process of a pool.

An experiment is a module with `run(seed)`. One that has many independent
trials offers `list_trials(seed)`, `run_trial(trial)` and
`summarise(seed, results)` instead, so that its trials share the cores.
"""

import importlib
import multiprocessing
import os
from concurrent.futures import ProcessPoolExecutor

from stoatpath.measure.experiments import MODULES_BY_NAME


def run_experiments(names, seed):
    """Yield the report of each experiment in the order of its name."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(os.cpu_count(), mp_context=context) as pool:
        pending = [(name, _submit(pool, name, seed)) for name in names]
        for name, futures in pending:
            results = [future.result() for future in futures]
            yield _summarise(name, seed, results)


def _submit(pool, name, seed):
    module = _load(name)
    if not hasattr(module, "list_trials"):
        return [pool.submit(_run_whole, name, seed)]
    return [pool.submit(_run_trial, name, trial) for trial in module.list_trials(seed)]


def _run_whole(name, seed):
    return _load(name).run(seed)


def _run_trial(name, trial):
    return _load(name).run_trial(trial)


def _summarise(name, seed, results):
    module = _load(name)
    if not hasattr(module, "list_trials"):
        return results[0]
    return module.summarise(seed, results)


def _load(name):
    return importlib.import_module(MODULES_BY_NAME[name])
