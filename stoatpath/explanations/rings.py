"""Keeps the last decisions of each request within a bound of bytes, logs each."""

import logging
from collections import OrderedDict

from stoatpath.utils import decode_json, encode_json

logger = logging.getLogger(__name__)

MAX_RING_BYTES = 8 * 1024 * 1024
MAX_REQUEST_BYTES = 16 * 1024
REQUEST_OVERHEAD_BYTES = 400


class Decision:
    """One step of a request: what was decided, why, and among what.

    `at_ms` is Unix time, so that steps of several instances can be ordered.
    """

    __slots__ = ("step", "at_ms", "reason", "details")

    def __init__(self, step, at_ms, reason, details):
        self.step = step
        self.at_ms = at_ms
        self.reason = reason
        self.details = details

    @classmethod
    def from_json(cls, data):
        """Build a decision from its wire form."""
        return cls(data["step"], data["at_ms"], data["reason"], data["details"])

    def to_json(self):
        """Return the wire form."""
        return {name: getattr(self, name) for name in self.__slots__}


class _Trail:
    """The encoded decisions of one request."""

    __slots__ = ("encoded", "size")

    def __init__(self):
        self.encoded = []
        self.size = REQUEST_OVERHEAD_BYTES


class DecisionRing:
    """Decisions by request, the oldest requests dropped first."""

    __slots__ = ("_trails_by_request_id", "_clock", "_max_bytes", "size_bytes")

    def __init__(self, clock, max_bytes=MAX_RING_BYTES):
        self._trails_by_request_id = OrderedDict()
        self._clock = clock
        self._max_bytes = max_bytes
        self.size_bytes = 0

    def record_decision(self, request_id, step, reason, **details):
        """Keep and log one decision."""
        decision = Decision(step, self._clock.wall_ms(), reason, details)
        self._keep(request_id, encode_json(decision.to_json()))
        logger.info(
            f"decision.{step}",
            extra={"request_id": request_id, "reason": reason, **details},
        )

    def get_decisions(self, request_id):
        """Return the decisions of a request in order, or None."""
        trail = self._trails_by_request_id.get(request_id)
        if trail is None:
            return None
        return [Decision.from_json(decode_json(each)) for each in trail.encoded]

    def __len__(self):
        return len(self._trails_by_request_id)

    def _keep(self, request_id, encoded):
        trail = self._trails_by_request_id.get(request_id)
        if trail is None:
            trail = self._trails_by_request_id[request_id] = _Trail()
            self.size_bytes += trail.size
        self._trails_by_request_id.move_to_end(request_id)
        if trail.size + len(encoded) > MAX_REQUEST_BYTES:
            return
        trail.encoded.append(encoded)
        trail.size += len(encoded)
        self.size_bytes += len(encoded)
        while self.size_bytes > self._max_bytes and self._trails_by_request_id:
            _, oldest = self._trails_by_request_id.popitem(last=False)
            self.size_bytes -= oldest.size
