"""One log line for each request at its end, with every decision on the way."""

import logging

logger = logging.getLogger(__name__)

ENDED = "ended"
MAX_DECISIONS = 24
MAX_OPEN = 5_000


class _Story:
    """The decisions on one request, and the clock reading of the first."""

    __slots__ = ("began_ms", "decisions", "left_out")

    def __init__(self, began_ms):
        self.began_ms = began_ms
        self.decisions = []
        self.left_out = 0


class RequestLog:
    """Gathers decisions by request and logs them together.

    One line costs a tenth of a line each; what a crash loses are the stories of
    requests that were cut with it, and their callers see that.
    """

    __slots__ = ("_stories_by_id", "_clock")

    def __init__(self, clock):
        self._stories_by_id = {}
        self._clock = clock

    def record_decision(self, request_id, step, reason, **details):
        """Keep one decision; the step `ended` logs the whole story."""
        now_ms = self._clock.now_ms()
        story = self._stories_by_id.get(request_id)
        if story is None:
            if len(self._stories_by_id) >= MAX_OPEN:
                return
            story = self._stories_by_id[request_id] = _Story(now_ms)
        if step == ENDED:
            self._end(request_id, reason, details, now_ms)
        elif len(story.decisions) < MAX_DECISIONS:
            after_ms = round(now_ms - story.began_ms, 1)
            decision = {"step": step, "after_ms": after_ms, "reason": reason}
            story.decisions.append(decision | details)
        else:
            story.left_out += 1

    def _end(self, request_id, reason, details, now_ms):
        story = self._stories_by_id.pop(request_id)
        logger.info(
            "request.ended",
            extra={
                "request_id": request_id,
                "reason": reason,
                "took_ms": round(now_ms - story.began_ms, 1),
                "decisions": story.decisions,
                "left_out": story.left_out,
                **details,
            },
        )
