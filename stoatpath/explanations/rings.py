"""Logs decisions and keeps those of recent requests in bounded memory."""

import logging
from collections import OrderedDict

from stoatpath.utils import decode_json, encode_json

logger = logging.getLogger(__name__)

MAX_RING_BYTES = 8 * 1024 * 1024
MAX_REQUEST_BYTES = 16 * 1024
# Estimated memory of the entry of one request without its decisions.
REQUEST_OVERHEAD_BYTES = 400


class Decision:
    """One decision about a request: step, reason and details.

    `at_ms` is Unix time, so that decisions of several instances can be sorted.
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


class _RequestDecisions:
    """The encoded decisions of one request and their size in bytes."""

    __slots__ = ("encoded", "size")

    def __init__(self):
        self.encoded = []
        self.size = REQUEST_OVERHEAD_BYTES


class DecisionRing:
    """Decisions by request; above the size limit the oldest requests are dropped.

    Decisions beyond `MAX_REQUEST_BYTES` of one request are logged but not stored.
    """

    __slots__ = ("_entries_by_request_id", "_clock", "_max_bytes", "size_bytes")

    def __init__(self, clock, max_bytes=MAX_RING_BYTES):
        self._entries_by_request_id = OrderedDict()
        self._clock = clock
        self._max_bytes = max_bytes
        self.size_bytes = 0

    def record_decision(self, request_id, step, reason, **details):
        """Store and log one decision."""
        decision = Decision(step, self._clock.wall_ms(), reason, details)
        self._store(request_id, encode_json(decision.to_json()))
        logger.info(
            f"decision.{step}",
            extra={"request_id": request_id, "reason": reason, **details},
        )

    def get_decisions(self, request_id):
        """Return the decisions of a request in order, or None."""
        entry = self._entries_by_request_id.get(request_id)
        if entry is None:
            return None
        return [Decision.from_json(decode_json(each)) for each in entry.encoded]

    def __len__(self):
        return len(self._entries_by_request_id)

    def _store(self, request_id, encoded):
        entry = self._entries_by_request_id.get(request_id)
        if entry is None:
            entry = self._entries_by_request_id[request_id] = _RequestDecisions()
            self.size_bytes += entry.size
        self._entries_by_request_id.move_to_end(request_id)
        if entry.size + len(encoded) > MAX_REQUEST_BYTES:
            return
        entry.encoded.append(encoded)
        entry.size += len(encoded)
        self.size_bytes += len(encoded)
        while self.size_bytes > self._max_bytes and self._entries_by_request_id:
            _, oldest = self._entries_by_request_id.popitem(last=False)
            self.size_bytes -= oldest.size
