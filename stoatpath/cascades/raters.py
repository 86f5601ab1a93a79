"""Calls the rating service in tasks that may outlast the rated request."""

import asyncio

from stoatpath.cascades.messages import RatedAnswer
from stoatpath.outcomes import is_failure
from stoatpath.utils import cancel_and_wait

MAX_RATING_WAIT_MS = 500.0
MAX_PENDING_RATINGS = 200


class RatingRequest:
    """An answer to be rated, with the context that the estimates need."""

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
    """Calls the rating service and adds every rating to the estimates.

    This includes ratings that arrive too late for their request. While
    `MAX_PENDING_RATINGS` calls are open, further ones are skipped and counted in
    `skipped`.
    """

    __slots__ = ("skipped", "_rating_service", "_estimates", "_clock", "_tasks")

    def __init__(self, rating_service, estimates, clock):
        self.skipped = 0
        self._rating_service = rating_service
        self._estimates = estimates
        self._clock = clock
        self._tasks = set()

    async def rate(self, rating_request, deadline_ms):
        """Return a rating, or None when it does not arrive in time."""
        task = self.start_rating(rating_request)
        if task is None:
            return None
        wait_ms = min(MAX_RATING_WAIT_MS, deadline_ms - self._clock.now_ms())
        await asyncio.wait({task}, timeout=max(0.0, wait_ms / 1000))
        return task.result() if task.done() else None

    def start_rating(self, rating_request):
        """Start a rating call; return its task, or None when too many are open."""
        if len(self._tasks) >= MAX_PENDING_RATINGS:
            self.skipped += 1
            return None
        task = asyncio.create_task(self._request_rating(rating_request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_until_idle(self):
        """Return once no rating call is open."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def close(self):
        """Cancel all open rating calls."""
        await cancel_and_wait(list(self._tasks))

    async def _request_rating(self, rating_request):
        started_ms = self._clock.now_ms()
        rating = await self._rating_service.rate(
            rating_request.request_id,
            rating_request.purpose.name,
            rating_request.version.name,
            rating_request.text,
        )
        if is_failure(rating):
            return None
        now_ms = self._clock.now_ms()
        self._estimates.record_rating_duration((now_ms - started_ms) / 1000)
        rated = RatedAnswer(
            rating_request.service,
            rating_request.purpose,
            rating_request.version,
            rating,
            rating_request.accept_threshold,
            rating_request.is_escalated,
        )
        self._estimates.record_rating(rated, now_ms)
        return rating
