"""Runs the trials of experiments in parallel in a process pool.

An experiment is a module with `run(seed)`. A module with many independent trials
also has `list_trials(seed)`, `run_trial(trial)` and `summarise(seed, results)`,
so that its trials are spread over the cores.
"""

import importlib
import multiprocessing
import os
from concurrent.futures import ProcessPoolExecutor

from stoatpath.measure.experiments import MODULES_BY_NAME


def run_experiments(names, seed):
    """Yield the report of each experiment, in the order of `names`."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(os.cpu_count(), mp_context=context) as pool:
        submitted = [(name, _submit_trials(pool, name, seed)) for name in names]
        for name, futures in submitted:
            results = [future.result() for future in futures]
            yield _summarise(name, seed, results)


def _submit_trials(pool, name, seed):
    module = _load_module(name)
    if not hasattr(module, "list_trials"):
        return [pool.submit(_run_experiment, name, seed)]
    return [pool.submit(_run_trial, name, trial) for trial in module.list_trials(seed)]


def _run_experiment(name, seed):
    return _load_module(name).run(seed)


def _run_trial(name, trial):
    return _load_module(name).run_trial(trial)


def _summarise(name, seed, results):
    module = _load_module(name)
    if not hasattr(module, "list_trials"):
        return results[0]
    return module.summarise(seed, results)


def _load_module(name):
    return importlib.import_module(MODULES_BY_NAME[name])
