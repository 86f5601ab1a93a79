"""Logs one line per request when it ends, with all its decisions."""

import logging

logger = logging.getLogger(__name__)

ENDED = "ended"
MAX_DECISIONS_PER_REQUEST = 24
MAX_OPEN_REQUESTS = 5_000


class _RequestTrace:
    """The decisions about one request, and the time of the first one."""

    __slots__ = ("started_ms", "decisions", "omitted_count")

    def __init__(self, started_ms):
        self.started_ms = started_ms
        self.decisions = []
        self.omitted_count = 0


class RequestLog:
    """Collects decisions by request and logs them in one line.

    This costs a tenth of logging one line per decision. A crash loses only the
    traces of running requests, whose callers notice the failure. New requests
    beyond `MAX_OPEN_REQUESTS` open ones are not logged.
    """

    __slots__ = ("_traces_by_id", "_clock")

    def __init__(self, clock):
        self._traces_by_id = {}
        self._clock = clock

    def record_decision(self, request_id, step, reason, **details):
        """Add one decision to a trace; the step `ended` logs the trace."""
        now_ms = self._clock.now_ms()
        trace = self._traces_by_id.get(request_id)
        if trace is None:
            if len(self._traces_by_id) >= MAX_OPEN_REQUESTS:
                return
            trace = self._traces_by_id[request_id] = _RequestTrace(now_ms)
        if step == ENDED:
            self._log_trace(request_id, reason, details, now_ms)
        elif len(trace.decisions) < MAX_DECISIONS_PER_REQUEST:
            after_ms = round(now_ms - trace.started_ms, 1)
            decision = {"step": step, "after_ms": after_ms, "reason": reason}
            trace.decisions.append(decision | details)
        else:
            trace.omitted_count += 1

    def _log_trace(self, request_id, reason, details, now_ms):
        trace = self._traces_by_id.pop(request_id)
        logger.info(
            "request.ended",
            extra={
                "request_id": request_id,
                "reason": reason,
                "took_ms": round(now_ms - trace.started_ms, 1),
                "decisions": trace.decisions,
                "left_out": trace.omitted_count,
                **details,
            },
        )
