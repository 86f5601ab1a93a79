"""Sends attempts whose request and answer bodies are relayed without parsing."""

from stoatpath.dispatch.checks import broken_answer, foreign_answer
from stoatpath.dispatch.deadlines import ExchangeDeadlines
from stoatpath.dispatch.exchanges import run_exchange
from stoatpath.dispatch.last_checks import use_last_check
from stoatpath.dispatch.liveness import LivenessWatch
from stoatpath.dispatch.relayed_answers import read_relayed_answer
from stoatpath.dispatch.silences import silence_limit_ms
from stoatpath.outcomes import (
    REFUSED_BY_BACKEND,
    TIMED_OUT,
    UNPROVEN_END,
    UNSURE_ANSWER,
    WRONG_PROCESS,
    AnsweredFailure,
    Failure,
    Outcome,
    is_failure,
)


class RelaySender:
    """Sends attempts over `calls` and checks the identity and integrity of answers.

    `decode_head` converts a response into an `AnswerHead`, `name_backend` adds the name
    of the backend server to one for another instance. `gate` is the `SendGate`.
    `on_answered` is called with a request when the first event of its answer, or all of
    it, has arrived. `check_send` returns the failure of a request that must not be sent
    to a backend server now, or None. `memory` is the `MemoryAccount`. `stop_times`,
    `StopTimes`, limit the deadlines.
    """

    __slots__ = (
        "_clock",
        "_calls",
        "_decode_head",
        "_name_backend",
        "_gate",
        "_on_answered",
        "_check_send",
        "_memory",
        "_stop_times",
    )

    def __init__(
        self,
        clock,
        calls,
        decode_head,
        name_backend,
        gate,
        on_answered,
        check_send,
        memory,
        stop_times,
    ):
        self._clock = clock
        self._calls = calls
        self._decode_head = decode_head
        self._name_backend = name_backend
        self._gate = gate
        self._on_answered = on_answered
        self._check_send = check_send
        self._memory = memory
        self._stop_times = stop_times

    async def send(self, attempt):
        """Return an answer, or a failure with the outcome of the execution."""
        request = attempt.request
        deadline_ms = self._stop_times.limit(request.deadline_ms)
        if deadline_ms <= self._clock.now_ms():
            return Failure(TIMED_OUT, "the deadline passed before sending")
        problem = self._check(attempt)
        if problem is not None:
            return problem
        if attempt.send_by_ms <= self._clock.now_ms():
            return Failure(REFUSED_BY_BACKEND, "the permit expired before sending")
        deadlines = ExchangeDeadlines(
            self._clock,
            deadline_ms,
            attempt.first_byte_deadline_ms,
            silence_limit_ms(request),
        )
        attempt.deadlines = deadlines
        work = attempt.version.prompt_work(request.prompt)
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
        may_have_run = not is_failure(result) or result.outcome is not Outcome.NOT_RUN
        if may_have_run and not attempt.is_abandoned:
            request.run_count += 1
        return result

    def _check(self, attempt):
        """Return the failure of an attempt that must not be sent, or None."""
        problem = self._check_send(attempt.request, attempt.backend)
        attempt.is_withheld = problem is not None
        return problem

    def _check_last(self, attempt):
        """Return the failure of an attempt whose connection is open, or None."""
        problem = self._check(attempt)
        if problem is None and attempt.last_check is not None:
            problem = attempt.last_check()
        return problem

    async def _exchange(self, attempt, deadlines, pending):
        request = attempt.request
        sent_ms = self._clock.now_ms()
        remaining_ms = self._stop_times.limit(request.deadline_ms) - sent_ms
        if attempt.send_by_ms < float("inf"):
            attempt.connect_timeout_ms = max(1.0, attempt.send_by_ms - sent_ms)
        use_last_check(lambda: self._check_last(attempt))
        request.was_sent = True
        async with self._calls.open(attempt, remaining_ms) as response:
            pending.end()
            deadlines.record_bytes()
            request.release = attempt.backend.release
            head = self._decode_head(response)
            attempt.is_unframed = head.is_unframed
            self._observe_signals(attempt, head, sent_ms)
            problem = _check_head(attempt, head)
            if problem is not None:
                response.close()
                return problem
            if request.is_forwarded:
                self._name_backend(head, attempt.backend)
            answer = await read_relayed_answer(
                attempt,
                head,
                response.content,
                deadlines,
                self._memory,
                self._on_answered,
            )
            if is_failure(answer):
                response.close()
            elif attempt.is_unframed or attempt.is_empty_rest:
                return await self._check_end(attempt, answer)
            return answer

    async def _check_end(self, attempt, answer):
        """Return an answer whose end is in doubt, or a failure.

        A process that ends closes its connections as one that has finished an answer
        does. One that still runs has ended the answer, unless it is faulty or something
        between cut the connection. So a stream that can be resumed is complete if
        nothing follows its last event, and no attempt brought a part of what does. An
        empty rest needs a second backend server that has none: few streams are cut
        between their last event and their end.
        """
        request = attempt.request
        use_last_check(None)
        if attempt.is_unframed and not await self._calls.is_running(
            attempt.backend, request.service
        ):
            return broken_answer(
                "it ended with its connection, and its process is gone"
            )
        relay = attempt.relay if answer.body is None else None
        if relay is None or not request.is_repeatable or not relay.is_resumable:
            return answer
        if relay.confirm_end(attempt):
            return answer
        if attempt.is_empty_rest and relay.was_cut:
            detail = "the rest of a stream that broke off is empty"
            return Failure(UNPROVEN_END, detail, Outcome.UNKNOWN)
        detail = f"it ended unproven after {attempt.events} events"
        return AnsweredFailure(UNPROVEN_END, detail, Outcome.UNKNOWN, answer)

    def _observe_signals(self, attempt, head, sent_ms):
        """Record the signals of the backend server, unless another process answered."""
        request_id = attempt.request.request_id
        if head.is_misdirected or head.request_id not in (None, request_id):
            return
        head.signals.is_authentic = head.is_sealed and head.request_id == request_id
        self._gate.observe(attempt.backend.name, head.signals, sent_ms)
        self._gate.observe_service(attempt.backend.service, head.signals, sent_ms)
        if head.is_not_executed:
            self._gate.record_rejection(attempt.backend)


class _PendingWork:
    """Adds an attempt to the pending prompt work until its answer begins."""

    __slots__ = ("_backend", "_work")

    def __init__(self, backend, work):
        self._backend = backend
        self._work = work
        backend.pending_prompt_work += work

    def end(self):
        self._backend.pending_prompt_work -= self._work
        self._work = 0.0


def _check_head(attempt, head):
    """Return the failure of an answer that must not be relayed, or None.

    A seal is the header by which a backend server vouches for its answer.
    """
    request_id = attempt.request.request_id
    if head.request_id is not None and head.request_id != request_id:
        return foreign_answer({"id": head.request_id})
    if head.is_misdirected:
        return Failure(WRONG_PROCESS, "another backend server has the address")
    if head.is_not_executed:
        return Failure(REFUSED_BY_BACKEND, f"status {head.status}")
    if head.request_id is None:
        return foreign_answer({"id": None})
    if not head.is_sealed:
        return broken_answer(f"status {head.status} without a seal")
    if head.is_encoded:
        return broken_answer("the body is encoded, though nobody asked for that")
    if _is_below_confidence(attempt, head):
        return Failure(
            UNSURE_ANSWER, f"confidence {head.confidence:g}", Outcome.UNKNOWN
        )
    return None


def _is_below_confidence(attempt, head):
    if attempt.min_confidence is None or head.confidence is None:
        return False
    has_begun = attempt.relay is not None and attempt.relay.has_begun
    request = attempt.request
    is_last_run = request.run_count + 1 >= request.route.max_attempts
    if has_begun or is_last_run:
        return False
    return head.confidence < attempt.min_confidence
