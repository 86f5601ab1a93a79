"""The tasks that have answers rated, in time for their request or later."""

import asyncio

from stoatpath.cascades.messages import RatedAnswer
from stoatpath.outcomes import is_failure
from stoatpath.utils import cancel_and_wait

PATIENCE_MS = 500.0
MAX_TASKS = 200


class RatingQuestion:
    """An answer to be rated: of which version, to what, what ends the cascade."""

    __slots__ = (
        "request_id",
        "service",
        "purpose",
        "version",
        "text",
        "accept_threshold",
        "is_escalated",
    )

    def __init__(
        self,
        request_id,
        service,
        purpose,
        version,
        text,
        accept_threshold,
        is_escalated,
    ):
        self.request_id = request_id
        self.service = service
        self.purpose = purpose
        self.version = version
        self.text = text
        self.accept_threshold = accept_threshold
        self.is_escalated = is_escalated


class Rater:
    """Asks the rating service and lets the estimates learn from every rating.

    A rating that comes too late for its request is still learned from. Beyond
    `MAX_TASKS` open questions no more are asked, and `skipped` counts them.
    """

    __slots__ = ("skipped", "_ratings", "_estimates", "_clock", "_tasks")

    def __init__(self, ratings, estimates, clock):
        self.skipped = 0
        self._ratings = ratings
        self._estimates = estimates
        self._clock = clock
        self._tasks = set()

    async def rate(self, question, deadline_ms):
        """Return a rating, or None when it does not come in time."""
        task = self.rate_later(question)
        if task is None:
            return None
        patience_ms = min(PATIENCE_MS, deadline_ms - self._clock.now_ms())
        await asyncio.wait({task}, timeout=max(0.0, patience_ms / 1000))
        return task.result() if task.done() else None

    def rate_later(self, question):
        """Start to ask; return the task, or None when too many are open."""
        if len(self._tasks) >= MAX_TASKS:
            self.skipped += 1
            return None
        task = asyncio.create_task(self._ask(question))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def finish(self):
        """Return once no question is open."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def close(self):
        """Give up all open questions."""
        await cancel_and_wait(list(self._tasks))

    async def _ask(self, question):
        asked_ms = self._clock.now_ms()
        rating = await self._ratings.rate(
            question.request_id,
            question.purpose.name,
            question.version.name,
            question.text,
        )
        if is_failure(rating):
            return None
        now_ms = self._clock.now_ms()
        self._estimates.record_rating_duration((now_ms - asked_ms) / 1000)
        rated = RatedAnswer(
            question.service,
            question.purpose,
            question.version,
            rating,
            question.accept_threshold,
            question.is_escalated,
        )
        self._estimates.record_rating(rated, now_ms)
        return rating
