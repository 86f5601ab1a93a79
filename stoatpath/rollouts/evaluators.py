"""Evaluates a step of a roll-out: advance, hold, or suspend the new version.

Within a step, evidence is computed over windows that started at different times, so
that a version that turns bad after a long good period is still detected quickly. The
weights of the windows sum to at most 1 and the steps share the probability of a false
alarm, so that of the whole roll-out is at most `FALSE_ALARM_CHANCE`.
"""

import math

from stoatpath.rollouts.evidence import BetTable, log_evidence, log_sum
from stoatpath.rollouts.messages import RATING_LEVELS

# Upper bound of the probability that an equally good version is suspended.
FALSE_ALARM_CHANCE = 0.008
# A window starts when this many ratings of the new version and this time have passed
# since the start of the last one.
WINDOW_RATINGS = 32
WINDOW_PERIOD_MS = 400
MAX_WINDOWS = 10
# A step isn't left while the natural log of the evidence against the version is higher.
MAX_ADVANCE_LOG_EVIDENCE = 1.0
HOLD = "hold"
ADVANCE = "advance"
SUSPEND = "suspend"


class Decision:
    """The action to take for a roll-out, and its reason."""

    __slots__ = ("action", "reason", "log_evidence")

    def __init__(self, action, reason, log_evidence):
        self.action = action
        self.reason = reason
        self.log_evidence = log_evidence


class Sample:
    """Ratings of both versions for one purpose, as counts by level."""

    __slots__ = ("new", "old")

    def __init__(self, new, old):
        self.new = new
        self.old = old

    @classmethod
    def empty(cls):
        """Build a sample without ratings."""
        return cls([0] * RATING_LEVELS, [0] * RATING_LEVELS)

    def since(self, earlier):
        """Return the ratings counted since an earlier sample."""
        return Sample(
            [now - then for now, then in zip(self.new, earlier.new)],
            [now - then for now, then in zip(self.old, earlier.old)],
        )


class _Window:
    """A window: its counts at the start, its serial number from 1 and its weight."""

    __slots__ = ("start_by_purpose", "serial", "log_weight")

    def __init__(self, start_by_purpose, serial):
        self.start_by_purpose = start_by_purpose
        self.serial = serial
        self.log_weight = -math.log(serial * (serial + 1))


class StepEvaluator:
    """Evaluates one step of one trial. The counts passed in are of the whole trial."""

    __slots__ = (
        "_rollout",
        "_table",
        "_threshold",
        "_started_ms",
        "_windows",
        "_opened_windows",
        "_last_ratings",
        "_last_window_ms",
        "_first_ratings",
    )

    def __init__(self, rollout, by_purpose, now_ms):
        self._rollout = rollout
        self._table = BetTable.for_tolerance(rollout.tolerance)
        self._threshold = math.log(len(rollout.steps) / FALSE_ALARM_CHANCE)
        self._started_ms = now_ms
        self._windows = []
        self._opened_windows = 0
        self._first_ratings = _count_new(by_purpose)
        self._last_ratings = self._first_ratings
        self._open_window(by_purpose, now_ms)

    def evaluate(self, by_purpose, now_ms):
        """Return the `Decision` for the samples of the trial by purpose."""
        evidence = self._evidence(by_purpose)
        if evidence >= self._threshold:
            reason = f"log evidence {evidence:.2f} of at most {self._threshold:.2f}"
            return Decision(SUSPEND, reason, evidence)
        ratings = _count_new(by_purpose)
        is_due = now_ms >= self._last_window_ms + WINDOW_PERIOD_MS
        if is_due and ratings - self._last_ratings >= WINDOW_RATINGS:
            self._last_ratings = ratings
            self._open_window(by_purpose, now_ms)
        rated = ratings - self._first_ratings
        required = self._rollout.min_ratings
        if rated < required:
            return Decision(HOLD, f"{rated} of {required} ratings", evidence)
        if now_ms < self._started_ms + self._rollout.step_ms:
            return Decision(HOLD, "the step has not lasted long enough", evidence)
        if evidence > MAX_ADVANCE_LOG_EVIDENCE:
            return Decision(HOLD, f"log evidence {evidence:.2f} is in doubt", evidence)
        return Decision(ADVANCE, f"{rated} ratings without evidence", evidence)

    def _open_window(self, by_purpose, now_ms):
        self._opened_windows += 1
        self._last_window_ms = now_ms
        start_by_purpose = {
            purpose: Sample(list(sample.new), list(sample.old))
            for purpose, sample in by_purpose.items()
        }
        self._windows.append(_Window(start_by_purpose, self._opened_windows))
        if len(self._windows) > MAX_WINDOWS:
            del self._windows[self._window_to_drop()]

    def _window_to_drop(self):
        """Return the index of the window to drop to keep ages spaced geometrically."""
        ages = [self._opened_windows + 1 - window.serial for window in self._windows]
        return min(
            range(1, len(ages) - 1), key=lambda index: ages[index - 1] / ages[index + 1]
        )

    def _evidence(self, by_purpose):
        terms = [
            window.log_weight + self._window_evidence(window, by_purpose)
            for window in self._windows
        ]
        return log_sum(terms)

    def _window_evidence(self, window, by_purpose):
        """Return the log e-value of a window, combined from those of its purposes.

        Their product detects a regression in all purposes, their mean one in any of
        them; the result is the mean of both.
        """
        logs = []
        for purpose, sample in by_purpose.items():
            start = window.start_by_purpose.get(purpose)
            part = sample if start is None else sample.since(start)
            logs.append(log_evidence(part.new, part.old, self._table))
        if not logs:
            return 0.0
        any_purpose = log_sum(logs) - math.log(len(logs))
        return log_sum([any_purpose, sum(logs)]) - math.log(2)


def _count_new(by_purpose):
    return sum(sum(sample.new) for sample in by_purpose.values())


def collect_samples(new_totals, old_totals):
    """Return samples by purpose from the totals of both versions."""
    samples = {}
    for purpose in sorted({*new_totals, *old_totals}):
        sample = Sample.empty()
        if purpose in new_totals:
            sample.new = new_totals[purpose].levels
        if purpose in old_totals:
            sample.old = old_totals[purpose].levels
        samples[purpose] = sample
    return samples
