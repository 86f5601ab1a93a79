"""Sends one attempt whose body and answer are passed on unread."""

from stoatpath.callers.relayed import RelayedAnswer
from stoatpath.dispatch.checks import broken, foreign
from stoatpath.dispatch.deadlines import ExchangeDeadlines
from stoatpath.dispatch.event_relays import EventCutter
from stoatpath.dispatch.exchanges import read_body, run_exchange
from stoatpath.dispatch.liveness import LivenessWatch
from stoatpath.outcomes import (
    BACKEND_ERROR,
    REFUSED_BY_BACKEND,
    TIMED_OUT,
    UNSURE_ANSWER,
    WRONG_PROCESS,
    AnsweredFailure,
    Failure,
    Outcome,
    is_failure,
)

FOREVER_MS = float("inf")
# A busy backend server pauses for seconds, and asking another one adds to its queue.
# Dead ones are found sooner, by keep-alive probes and by looks at their address.
# Callers leave after eight times the pause that is on time, 6.4 s where that is 0.8 s.
STREAM_SILENCE_MS = 6_000.0


class OpaqueSender:
    """Sends attempts over `calls` and checks that answers are whole and their own.

    `decode_head` turns a response into an `AnswerHead`.
    """

    __slots__ = ("_clock", "_calls", "_decode_head")

    def __init__(self, clock, calls, decode_head):
        self._clock = clock
        self._calls = calls
        self._decode_head = decode_head

    async def send(self, attempt):
        """Return an answer, or a failure that says whether the attempt ran."""
        request = attempt.request
        if request.deadline_ms <= self._clock.now_ms():
            return Failure(TIMED_OUT, "the deadline passed before sending")
        silence_ms = STREAM_SILENCE_MS if request.is_stream else FOREVER_MS
        deadlines = ExchangeDeadlines(
            self._clock, request.deadline_ms, attempt.first_byte_at_ms, silence_ms
        )
        attempt.deadlines = deadlines
        work = attempt.version.work(request.prompt)
        pending = _PendingWork(attempt.backend, work)
        watch = LivenessWatch(attempt, deadlines, self._clock, self._calls.is_reachable)
        if request.is_repeatable:
            watch.start()
        try:
            exchange = self._exchange(attempt, deadlines, pending)
            result = await run_exchange(exchange, deadlines)
        finally:
            watch.stop()
            pending.end()
        if not is_failure(result) or result.outcome is not Outcome.NOT_RUN:
            request.runs += 1
        return result

    async def _exchange(self, attempt, deadlines, pending):
        request = attempt.request
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        request.was_sent = True
        async with self._calls.open(attempt, remaining_ms) as response:
            pending.end()
            deadlines.note_bytes()
            request.release = attempt.backend.release
            head = self._decode_head(response)
            problem = _check_head(attempt, head)
            if problem is not None:
                response.close()
                return problem
            if head.is_event_stream and attempt.relay is not None:
                return await self._relay(attempt, head, response.content, deadlines)
            body = await read_body(response.content, deadlines)
            answer = RelayedAnswer(head, body)
            if head.status >= 500:
                detail = f"status {head.status}"
                return AnsweredFailure(BACKEND_ERROR, detail, Outcome.UNKNOWN, answer)
            return answer

    async def _relay(self, attempt, head, content, deadlines):
        relay = attempt.relay
        start = relay.last_event_id or attempt.request.last_event_id
        cutter = EventCutter(start)
        gone = await relay.begin(head)
        if gone is not None:
            return gone
        while chunk := await content.readany():
            deadlines.note_bytes()
            events = cutter.feed(chunk)
            if events:
                attempt.events = cutter.events
                gone = await relay.write(events, cutter.last_event_id)
                if gone is not None:
                    return gone
            if cutter.problem is not None:
                return cutter.problem
        if cutter.has_rest:
            return broken("the stream ended within an event")
        return RelayedAnswer(head, None)


class _PendingWork:
    """Counts work at a backend server until its answer begins."""

    __slots__ = ("_backend", "_work")

    def __init__(self, backend, work):
        self._backend = backend
        self._work = work
        backend.pending_prompt_work += work

    def end(self):
        self._backend.pending_prompt_work -= self._work
        self._work = 0.0


def _check_head(attempt, head):
    """Return why an answer can't be passed on, or None."""
    request_id = attempt.request.request_id
    if head.request_id is not None and head.request_id != request_id:
        return foreign({"id": head.request_id})
    if head.is_other_process:
        return Failure(WRONG_PROCESS, "another backend server has the address")
    if head.is_not_executed:
        return Failure(REFUSED_BY_BACKEND, f"status {head.status}")
    if head.request_id is None:
        return foreign({"id": None})
    if not head.is_sealed:
        return broken(f"status {head.status} without a seal")
    if head.is_encoded:
        return broken("the body is encoded, though nobody asked for that")
    if _is_unsure(attempt, head):
        return Failure(
            UNSURE_ANSWER, f"confidence {head.confidence:g}", Outcome.UNKNOWN
        )
    return None


def _is_unsure(attempt, head):
    if attempt.accept_at is None or head.confidence is None:
        return False
    has_begun = attempt.relay is not None and attempt.relay.has_begun
    return not has_begun and head.confidence < attempt.accept_at
