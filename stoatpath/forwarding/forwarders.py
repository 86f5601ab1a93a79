"""Forwards requests to another instance, as its callers would send them."""

from stoatpath.callers.relay_messages import RelayedResult
from stoatpath.dispatch.checks import broken_answer, foreign_answer
from stoatpath.dispatch.deadlines import ExchangeDeadlines
from stoatpath.dispatch.event_relays import EventRelay
from stoatpath.dispatch.exchanges import run_exchange
from stoatpath.dispatch.last_checks import use_last_check
from stoatpath.dispatch.messages import Attempt
from stoatpath.dispatch.relay_policies import first_byte_deadline_ms
from stoatpath.dispatch.relayed_answers import read_relayed_answer
from stoatpath.dispatch.retries import MAX_LOST_RUNS
from stoatpath.dispatch.silences import silence_limit_ms
from stoatpath.outcomes import (
    BROKEN_ANSWER,
    CALLER_GONE,
    CONNECT_FAILED,
    FOREIGN_ANSWER,
    REFUSED_BY_BACKEND,
    SILENT_CONNECTION,
    Failure,
    Outcome,
    is_failure,
)

MAX_FORWARDS = 3
# Failures after which a request that may run again is sent to another instance.
LOST_REASONS = (BROKEN_ANSWER, FOREIGN_ANSWER, SILENT_CONNECTION)


class Forwarder:
    """Sends requests through peers that reach what this instance can't.

    `router` is the gateway, `peers` the `PeerFinder`, `calls` the client of backend
    servers and `decode_head` converts a response into an `AnswerHead`. `forwarded`
    counts the requests.
    """

    __slots__ = ("forwarded", "_router", "_peers", "_calls", "_decode_head", "_clock")

    def __init__(self, router, peers, calls, decode_head):
        self.forwarded = 0
        self._router = router
        self._peers = peers
        self._calls = calls
        self._decode_head = decode_head
        self._clock = router.clock

    def is_needed(self, request):
        """Return whether only peers reach the service of a request.

        False for a request that a peer has forwarded to this instance.
        """
        service = request.service.name
        if request.is_forwarded:
            return False
        return self._peers.can_forward(
            service, request.is_stream, self._peer_check(request)
        )

    def may_forward_after(self, request, failure, stream=None):
        """Return whether a request that failed here may be forwarded."""
        if not self.is_needed(request) or not _is_resumable(stream):
            return False
        if self._clock.now_ms() >= request.deadline_ms:
            return False
        if self._check_stop(request) is not None:
            return False
        if failure.outcome is Outcome.NOT_RUN and not request.run_count:
            return True
        return self._try_repeat(request, failure)

    async def run(self, request, stream):
        """Return a `RelayedResult` or a failure, None if no peer was at hand."""
        relay = None if stream is None else EventRelay(stream)
        worst = None
        peers = self._peers.find(
            request.service.name, request.is_stream, self._peer_check(request)
        )
        for number, peer in enumerate(peers[:MAX_FORWARDS], start=1):
            problem = self._router.quarantine.check(request)
            problem = problem or self._check_stop(request)
            if problem is not None:
                return worst or problem
            answer = await self._send(request, relay, peer, number)
            if not is_failure(answer):
                return RelayedResult(answer, "", ["forwarded"], 0.0)
            worst = answer if worst is None else worst.combined_with(answer)
            if answer.outcome is Outcome.NOT_RUN:
                continue
            request.lost_runs += answer.reason in LOST_REASONS
            is_lost_again = request.lost_runs >= MAX_LOST_RUNS
            if is_lost_again or not _is_resumable(stream):
                break
            if not self._try_repeat(request, answer):
                break
        return worst

    def _peer_check(self, request):
        """Return a function that tells whether a peer may get a request."""
        return lambda peer: self._router.eligible.allows_peer(request, peer)

    def _try_repeat(self, request, failure):
        """Spend on another run of a request; return whether it is allowed."""
        is_lost = failure.outcome is Outcome.NOT_RUN or failure.reason in LOST_REASONS
        if not is_lost or not request.is_repeatable or not request.may_run_again:
            return False
        return self._router.retry_budget.try_spend(request.service.name)

    async def _send(self, request, relay, peer, number):
        self.forwarded += 1
        first_byte_ms = request.deadline_ms
        if request.is_repeatable:
            first_byte_ms = first_byte_deadline_ms(request, self._clock.now_ms())
        attempt = Attempt(request, None, peer, number, first_byte_ms, relay)
        deadlines = ExchangeDeadlines(
            self._clock,
            self._router.stop_times.limit(request.deadline_ms),
            first_byte_ms,
            silence_limit_ms(request),
        )
        attempt.deadlines = deadlines
        answer = await run_exchange(self._exchange(attempt, deadlines), deadlines)
        details = {"peer": peer.name}
        if is_failure(answer):
            details |= {"outcome": answer.outcome.value, "detail": answer.detail}
            if answer.reason is CONNECT_FAILED:
                self._peers.exclude(peer)
        if not is_failure(answer) or answer.outcome is not Outcome.NOT_RUN:
            request.run_count += 1
        reason = answer.reason.name if is_failure(answer) else "whole"
        self._router.ring.record_decision(
            request.request_id, "forward", reason, **details
        )
        return answer

    async def _exchange(self, attempt, deadlines):
        deadline_ms = self._router.stop_times.limit(attempt.request.deadline_ms)
        remaining_ms = deadline_ms - self._clock.now_ms()
        use_last_check(lambda: self._check_last(attempt.request))
        attempt.request.was_sent = True
        async with self._calls.forward(attempt, remaining_ms) as response:
            deadlines.record_bytes()
            head = self._decode_head(response)
            problem = self._check_head(attempt, head)
            if problem is not None:
                response.close()
                return problem
            if head.signals.is_leaving:
                self._router.backends.record_leaving(head.answered_by)
            answer = await read_relayed_answer(
                attempt, head, response.content, deadlines, self._router.memory
            )
            if is_failure(answer):
                response.close()
            return answer

    def _check_last(self, request):
        """Return why a request must not be sent on an open connection, or None."""
        if request.has_caller_left:
            return Failure(CALLER_GONE, "the caller left before it was sent")
        return self._check_stop(request)

    def _check_stop(self, request):
        return self._router.stop_times.check_send(self._clock.now_ms(), request)

    def _check_head(self, attempt, head):
        """Return the failure of an answer that must not be passed on, or None."""
        request_id = attempt.request.request_id
        if head.is_sealed:
            if head.request_id != request_id:
                return foreign_answer({"id": head.request_id})
            return None
        if head.status < 500 or head.status == 503:
            # An instance gives these only to requests that have not run.
            detail = f"the peer answered {head.status}"
            return Failure(REFUSED_BY_BACKEND, detail, retry_at_ms=self._retry_at(head))
        return broken_answer(f"the peer answered {head.status} without a seal")

    def _retry_at(self, head):
        if head.signals.hold_off_ms is None:
            return None
        return self._clock.now_ms() + head.signals.hold_off_ms


def _is_resumable(stream):
    """Return whether another attempt can go on after what the caller has."""
    return stream is None or not stream.ends_unnumbered
