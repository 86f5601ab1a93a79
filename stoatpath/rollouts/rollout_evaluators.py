"""Decides the next action for a roll-out at its owner."""

from stoatpath.rollouts.evaluators import (
    ADVANCE,
    SUSPEND,
    StepEvaluator,
    collect_samples,
)
from stoatpath.rollouts.messages import Step, Verdict


class RolloutEvaluator:
    """Evaluates one roll-out by the counts that this process has received."""

    __slots__ = ("_rollout", "_evaluator", "_evaluated_step")

    def __init__(self, rollout):
        self._rollout = rollout
        self._evaluator = None
        self._evaluated_step = None

    def has_definition_of(self, rollout):
        """Return whether a roll-out equals the one evaluated here in all fields."""
        return self._rollout.has_same_definition(rollout)

    def decide(self, model, version, progress, counters, now_ms, wall_ms):
        """Return the next `Step`, a `Verdict` to broadcast, or a text.

        The text is the reason to hold, or "complete" after the last step.
        """
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
        decision = self._evaluate_step(version.trial, index, samples, now_ms)
        if decision.action == SUSPEND:
            return Verdict(version.name, version.trial, decision.reason, wall_ms)
        if decision.action == ADVANCE:
            return Step(version.name, version.trial, index + 1)
        return decision.reason

    def _evaluate_step(self, trial, index, samples, now_ms):
        if self._evaluated_step != (trial, index):
            self._evaluated_step = (trial, index)
            self._evaluator = StepEvaluator(self._rollout, samples, now_ms)
        return self._evaluator.evaluate(samples, now_ms)
