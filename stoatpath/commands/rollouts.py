"""Builds the changes that halt, resume or retry a roll-out."""

from stoatpath.configuration.messages import MODEL, ROLLOUT, Change, Problem
from stoatpath.rollouts.messages import HALTED, RUNNING

HALT = "halt"
RESUME = "resume"
RETRY = "retry"
ACTIONS = (HALT, RESUME, RETRY)


def plan_rollout_change(snapshot, action, name):
    """Return the changes of an action, or a `Problem`.

    A retry lifts a suspension: it increments the trial number of the new version.
    """
    body = snapshot.by_kind[ROLLOUT].get(name)
    if body is None:
        known = sorted(snapshot.by_kind[ROLLOUT])
        return Problem("rollout", name, f"one of {known}")
    if action == HALT:
        return [Change(ROLLOUT, name, {**body, "state": HALTED})]
    resumed = Change(ROLLOUT, name, {**body, "state": RUNNING})
    if action == RESUME:
        return [resumed]
    model = snapshot.by_kind[MODEL][body["model"]]
    version = model["versions"][body["to"]]
    retried_version = {**version, "trial": version.get("trial", 1) + 1}
    versions = {**model["versions"], body["to"]: retried_version}
    return [resumed, Change(MODEL, body["model"], {**model, "versions": versions})]
