"""Samples answers at a router during roll-outs and counts their ratings."""

import asyncio
import logging

from xxhash import xxh3_64_intdigest

from stoatpath.outcomes import (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    TIMED_OUT,
    Outcome,
    is_failure,
)
from stoatpath.rollouts.messages import RATING_LEVELS, Arm
from stoatpath.rollouts.progress import CONTROL_SHARE

logger = logging.getLogger(__name__)

HASH_RANGE = 2**64
# The replaced version is rated this many times as often as the new one.
OLD_RATINGS_PER_NEW = 4.0
MAX_PENDING_RATINGS = 256
COUNTED_FAILURES = (BACKEND_ERROR, BROKEN_ANSWER, TIMED_OUT)


def rating_level(score, request_id):
    """Return the level of a score, rounded stochastically to preserve the mean."""
    exact = min(max(score, 0.0), 1.0) * (RATING_LEVELS - 1)
    level = int(exact)
    return level + (_fraction("level", request_id) < exact - level)


def sampling_chance(rollout, share, is_new):
    """Return the share of a version's answers that are rated.

    The replaced version is rated `OLD_RATINGS_PER_NEW` times as often, so that the
    number of ratings of the new version alone limits the comparison.
    """
    if is_new:
        return rollout.rating_share
    new_per_old = share / max(1.0 - share, 1e-9)
    return min(1.0, rollout.rating_share * OLD_RATINGS_PER_NEW * new_per_old)


def is_sampled(request_id, version_name, chance):
    """Return whether an answer belongs to the sample."""
    return _fraction(version_name, request_id) < chance


def _is_counted(failure):
    """Return whether a failure counts against the version that ran."""
    has_run = failure.outcome is not Outcome.NOT_RUN
    return has_run and failure.reason in COUNTED_FAILURES


def _fraction(purpose, request_id):
    return xxh3_64_intdigest(f"{purpose}\0{request_id}".encode()) / HASH_RANGE


class RatingSampler:
    """Counts answers during roll-outs and has a sample rated in the background."""

    __slots__ = ("_assigner", "_counters", "_source", "_ratings", "_pending")

    def __init__(self, assigner, counters, source, ratings):
        self._assigner = assigner
        self._counters = counters
        self._source = source
        self._ratings = ratings
        self._pending = set()

    def record_answer(self, request, version, answer, rating=None):
        """Count an answer or failed attempt; `rating` is its rating if known."""
        rollout = self._assigner.rollout_of(version.model)
        if rollout is None:
            return
        if is_failure(answer) and not _is_counted(answer):
            return
        trial, share = self._current_trial(rollout)
        if trial is None:
            return
        arm = Arm(rollout.name, trial, version.name, request.purpose.name)
        self._counters.count(self._source, arm, None)
        is_new = version.name == rollout.version
        chance = sampling_chance(rollout, share, is_new)
        if not is_sampled(request.request_id, version.name, chance):
            return
        if is_failure(answer):
            self._counters.add_rating(self._source, arm, 0)
        elif rating is not None:
            level = rating_level(rating, request.request_id)
            self._counters.add_rating(self._source, arm, level)
        elif len(self._pending) < MAX_PENDING_RATINGS:
            job = asyncio.create_task(self._rate(request, arm, answer))
            self._pending.add(job)
            job.add_done_callback(self._pending.discard)

    async def _rate(self, request, arm, answer):
        score = await self._ratings.rate(
            request.request_id, arm.purpose, arm.version, answer.text
        )
        if is_failure(score):
            logger.info("rollouts.rating-missing", extra={"why": score.detail})
            return
        level = rating_level(score, request.request_id)
        self._counters.add_rating(self._source, arm, level)

    def _current_trial(self, rollout):
        """Return the trial of the known step, or None, and the share to sample by.

        The share is 0 after the last step, so that only the new version is rated.
        """
        progress = self._assigner.progress
        step = progress.steps_by_version.get(rollout.version)
        if step is None or rollout.is_halted:
            return None, 0.0
        share = 0.0
        if step.index < len(rollout.steps):
            share = rollout.steps[step.index]
        share = min(share, 1.0 - CONTROL_SHARE)
        return step.trial, share

    async def stop(self):
        """Cancel the pending ratings."""
        for job in list(self._pending):
            job.cancel()
        await asyncio.gather(*self._pending, return_exceptions=True)
