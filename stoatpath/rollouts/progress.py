"""Replicated state of the roll-outs: the steps reached and the verdicts."""

from stoatpath.rollouts.messages import Rollout, Step, Verdict
from stoatpath.rollouts.suspensions import Suspensions

# Share of new sessions that keeps the replaced version, for comparison.
CONTROL_SHARE = 0.2


class Progress:
    """Steps in force by version, which only advance within a trial, and suspensions."""

    __slots__ = ("steps_by_version", "suspensions")

    def __init__(self):
        self.steps_by_version = {}
        self.suspensions = Suspensions()

    def record_step(self, step):
        """Record a step; return whether it replaced the known one."""
        known = self.steps_by_version.get(step.version)
        if known is not None and not step.is_after(known):
            return False
        self.steps_by_version[step.version] = step
        return True

    def step_index(self, version):
        """Return the index of the step in force in a version's trial, or None."""
        step = self.steps_by_version.get(version.name)
        if step is None or step.trial != version.trial:
            return None
        return step.index

    def share(self, rollout, version):
        """Return the share of new sessions that a rolled-out version gets.

        It is 0 until a step is known. Until the roll-out is complete, a control
        group of sessions stays on the replaced version for comparison.
        """
        index = self.step_index(version)
        if index is None or rollout.is_halted or self.suspensions.is_suspended(version):
            return 0.0
        if index >= len(rollout.steps):
            return 1.0
        return min(rollout.steps[index], 1.0 - CONTROL_SHARE)

    def to_json(self):
        """Return the wire form."""
        return {
            "steps": [step.to_json() for step in self.steps_by_version.values()],
            "verdicts": [
                verdict.to_json() for verdict in self.suspensions.by_version.values()
            ],
        }

    def merge_json(self, data):
        """Merge the wire form of another node; return whether anything changed."""
        steps = [
            self.record_step(Step.from_json(step)) for step in data.get("steps", ())
        ]
        verdicts = [
            self.suspensions.add(Verdict.from_json(verdict))
            for verdict in data.get("verdicts", ())
        ]
        return any(steps) or any(verdicts)


def rollouts_by_model(snapshot):
    """Return the roll-outs of a configuration by model."""
    rollouts = (
        Rollout.from_document(name, body)
        for name, body in sorted(snapshot.rollouts_by_name.items())
    )
    return {rollout.model: rollout for rollout in rollouts}
