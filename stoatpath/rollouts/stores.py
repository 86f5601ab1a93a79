"""Stores steps and verdicts of roll-outs in the platform's table.

The rows are `rollouts/steps/VERSION` and `rollouts/verdicts/VERSION`. A row is only
replaced by a later step or trial.
"""

from stoatpath.outcomes import CONFLICT, Failure, is_failure
from stoatpath.rollouts.messages import Step, Verdict
from stoatpath.services.messages import Applied, Condition, Put, Transaction

STEP_PREFIX = "rollouts/steps/"
VERDICT_PREFIX = "rollouts/verdicts/"
ALL_PREFIX = "rollouts/"


class RolloutStore:
    """Reads and advances the rows. Every method returns a value or a failure."""

    __slots__ = ("_table",)

    def __init__(self, table):
        self._table = table

    async def read_into(self, progress):
        """Add all stored steps and verdicts; return a failure or None."""
        rows = await self._table.scan(ALL_PREFIX)
        if is_failure(rows):
            return rows
        for key, row in rows.items():
            if key.startswith(STEP_PREFIX):
                progress.record_step(Step.from_json(row.value))
            elif key.startswith(VERDICT_PREFIX):
                progress.suspensions.add(Verdict.from_json(row.value))
        return None

    async def write_step(self, step, conditions):
        """Write a step unless a later one is stored.

        Return the step that is stored then, or a failure. If a condition fails this
        may be an earlier step.
        """
        key = STEP_PREFIX + step.version
        return await self._write_if_later(key, step, Step, Step.is_after, conditions)

    async def write_verdict(self, verdict):
        """Write a verdict unless one of the same or a later trial is stored.

        Return the verdict that is stored then, or a failure.
        """
        key = VERDICT_PREFIX + verdict.version
        return await self._write_if_later(key, verdict, Verdict, _is_later_trial, [])

    async def _write_if_later(self, key, value, kind, is_after, conditions):
        rows = await self._table.read([key])
        if is_failure(rows):
            return rows
        row = rows[key]
        if row.version:
            stored = kind.from_json(row.value)
            if not is_after(value, stored):
                return stored
        transaction = Transaction(
            [Condition(key, row.version), *conditions], [Put(key, value.to_json())]
        )
        result = await self._table.transact(transaction)
        if is_failure(result):
            return result
        if isinstance(result, Applied):
            return value
        rows = await self._table.read([key])
        if is_failure(rows):
            return rows
        if not rows[key].version:
            return Failure(CONFLICT, "the lease was lost before the write")
        return kind.from_json(rows[key].value)


def _is_later_trial(verdict, other):
    return verdict.trial > other.trial
