"""Decides what the owner of a roll-out does next."""

from stoatpath.rollouts.evaluators import (
    ADVANCE,
    SUSPEND,
    StepEvaluator,
    collect_samples,
)
from stoatpath.rollouts.messages import Step, Verdict


class RolloutOwner:
    """Judges one roll-out from the counts that reached this process."""

    __slots__ = ("_rollout", "_judge", "_judged_step")

    def __init__(self, rollout):
        self._rollout = rollout
        self._judge = None
        self._judged_step = None

    def has_plan_of(self, rollout):
        """Return whether a roll-out is still the one that is judged here."""
        return self._rollout.has_same_plan(rollout)

    def decide(self, model, version, progress, counters, now_ms, wall_ms):
        """Return a `Step` to reach, a `Verdict` to spread, or a reason to hold."""
        rollout = self._rollout
        if rollout.is_halted:
            return "halted by an operator"
        if progress.suspensions.is_suspended(version):
            return "suspended"
        index = progress.step_index(version)
        if index is None:
            return Step(version.name, version.trial, 0)
        if index >= len(rollout.steps):
            return "complete"
        samples = collect_samples(
            counters.totals(rollout.name, version.trial, version.name),
            counters.totals(rollout.name, version.trial, model.current),
        )
        judgement = self._judgement(version.trial, index, samples, now_ms)
        if judgement.action == SUSPEND:
            return Verdict(version.name, version.trial, judgement.reason, wall_ms)
        if judgement.action == ADVANCE:
            return Step(version.name, version.trial, index + 1)
        return judgement.reason

    def _judgement(self, trial, index, samples, now_ms):
        if self._judged_step != (trial, index):
            self._judged_step = (trial, index)
            self._judge = StepEvaluator(self._rollout, samples, now_ms)
        return self._judge.evaluate(samples, now_ms)
