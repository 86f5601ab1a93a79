"""Keeps the last decisions of each request, and logs each one."""

import logging
from collections import OrderedDict

logger = logging.getLogger(__name__)

MAX_REQUESTS = 10_000


class Decision:
    """One step of a request: what was decided, why, and among what."""

    __slots__ = ("step", "at_ms", "reason", "details")

    def __init__(self, step, at_ms, reason, details):
        self.step = step
        self.at_ms = at_ms
        self.reason = reason
        self.details = details

    def to_json(self):
        """Return the wire form."""
        return {name: getattr(self, name) for name in self.__slots__}


class DecisionRing:
    """Decisions by request, the oldest requests dropped first."""

    __slots__ = ("_by_request_id", "_clock")

    def __init__(self, clock):
        self._by_request_id = OrderedDict()
        self._clock = clock

    def note(self, request_id, step, reason, **details):
        """Keep and log one decision."""
        decision = Decision(step, self._clock.now_ms(), reason, details)
        decisions = self._by_request_id.get(request_id)
        if decisions is None:
            decisions = self._by_request_id[request_id] = []
            if len(self._by_request_id) > MAX_REQUESTS:
                self._by_request_id.popitem(last=False)
        decisions.append(decision)
        logger.info(
            f"decision.{step}",
            extra={"request_id": request_id, "reason": reason, **details},
        )

    def explain(self, request_id):
        """Return the decisions of a request in order, or None."""
        return self._by_request_id.get(request_id)
