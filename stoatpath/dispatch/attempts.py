"""Sends a request to backend servers until one answers or no retry is allowed."""

import asyncio
import logging

from stoatpath.backpressure.exchanges import PERMIT_LIFETIME_MS
from stoatpath.backpressure.gates import HELD_OFF, LIMIT_REACHED
from stoatpath.dispatch.deadlines import ABANDONED_MS
from stoatpath.dispatch.engine_policies import EnginePolicy
from stoatpath.dispatch.hedges import Hedge
from stoatpath.dispatch.messages import Attempt, AttemptResult
from stoatpath.dispatch.request_states import RequestState
from stoatpath.dispatch.retries import (
    MAX_ATTEMPTS,
    MAX_LOST_RUNS,
    backoff_ms,
    may_retry,
)
from stoatpath.outcomes import (
    BACKENDS_LIMITED,
    BROKEN_ANSWER,
    CALLER_GONE,
    PERMISSION_EXPIRED,
    SUPERSEDED,
    TIMED_OUT,
    UNPROVEN_END,
    UNSURE_ANSWER,
    ZONES_DRAINED,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.routing.messages import Candidate
from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

# Permits that a request may ask for before it is sent elsewhere; each takes a round
# trip to another instance.
MAX_PERMIT_REQUESTS = 3
MAX_LISTED_WITHHELD = 4
LEAVING = "leaving"
NO_CANDIDATE = "no candidate"
# A connection within an availability zone is open sooner. Later than that, roll-outs
# and lists of backend servers may have changed.
RESELECT_AFTER_MS = 20.0
# An extra send counts in the window in which it leaves; a later one counts again.
RECOUNT_AFTER_MS = 250.0


class AttemptRunner:
    """Runs a request: selects backend servers, sends attempts, retries and hedges.

    `router` is the router or gateway that owns the other components. `policy` decides
    on candidates, deadlines, retries and hedges. Each of `observers` is called with the
    `AttemptResult` of every attempt, each of `abandoned_observers` with that of an
    attempt that ended soon after its caller had left.
    """

    __slots__ = (
        "_router",
        "_clock",
        "_random",
        "_policy",
        "observers",
        "abandoned_observers",
        "_abandoned",
    )

    def __init__(self, router, random, policy=None):
        self._router = router
        self._clock = router.clock
        self._random = random
        self._policy = policy or EnginePolicy(router)
        self.observers = []
        self.abandoned_observers = []
        self._abandoned = set()

    async def close(self):
        """End the attempts whose callers have left."""
        await cancel_and_wait(list(self._abandoned))

    async def run(self, request, version, stream, min_confidence=None):
        """Return an answer, or the worst failure of all attempts.

        Its outcome is not-run only if none of the attempts may have run. An answer
        whose head states a confidence below `min_confidence` is a failure.
        """
        relay = self._policy.open_relay(request, stream)
        state = RequestState(request, version, relay, min_confidence)
        try:
            answer = await self._run_attempts(state)
            if is_failure(answer) and state.has_unproven_answer:
                # Nothing was found that follows its last event.
                self._record_decision(
                    request, "answer", "unproven", detail=answer.detail
                )
                return state.unproven_answer
            return answer
        except asyncio.CancelledError:
            if relay is not None:
                relay.abandon()
            raise

    async def _run_attempts(self, state):
        request = state.request
        if _ends_backends(request):
            detail = "earlier backend servers ended under the request"
            return Failure(BROKEN_ANSWER, detail, Outcome.UNKNOWN)
        for retries in range(MAX_ATTEMPTS):
            choice = await self._acquire_backend(state)
            if is_failure(choice):
                state.unproven_answer = None
                return _combine_with_choice(state.worst_failure, choice)
            if choice.backend.name in state.empty_rest_names:
                # All candidates have sent an empty rest.
                break
            problem = self._check_guard(state)
            if problem is not None:
                state.unproven_answer = None
                return state.worst_failure or problem
            attempt = self._build_attempt(state, choice.backend)
            answer = await self._send_with_hedge(state, attempt)
            if not is_failure(answer):
                return answer
            if attempt.is_withheld and answer.reason is ZONES_DRAINED:
                # Nothing was sent: it is assigned again, at no cost to the budget.
                continue
            state.record_failure(attempt, answer)
            if not await self._wait_for_retry(state, answer, retries):
                break
        return state.worst_failure or answer

    def _check_guard(self, state):
        problem = self._policy.check_send(state.request, state.version)
        if problem is not None:
            self._record_decision(state.request, "guard", problem.detail)
        return problem

    def _check_last(self, state, backend, selected_ms):
        """Return why a selected backend server must not get the request any more.

        Return None if it may. It is called when the connection is open.
        """
        request = state.request
        now_ms = self._clock.now_ms()
        if request.deadline_ms <= now_ms:
            return Failure(TIMED_OUT, "the deadline passed before sending")
        if request.has_caller_left:
            return Failure(CALLER_GONE, "the caller left before it was sent")
        problem = self._check_guard(state)
        if problem is not None:
            return problem
        gate = self._router.send_gate
        took_ms = now_ms - selected_ms
        reason = None
        if backend.is_leaving:
            reason = LEAVING
        elif gate.hold_offs.until_ms(backend.name) > now_ms:
            reason = HELD_OFF
        elif took_ms >= PERMIT_LIFETIME_MS and gate.limit_per_s(backend.name):
            reason = LIMIT_REACHED
        elif took_ms >= RESELECT_AFTER_MS and not self._is_candidate(state, backend):
            reason = NO_CANDIDATE
        if reason is None:
            return None
        detail = f"{reason}, {took_ms:.0f} ms after it was chosen"
        return Failure(PERMISSION_EXPIRED, detail)

    def _is_candidate(self, state, backend):
        backends = self._policy.candidates(state.request, state.version, state.relay)
        return any(each.name == backend.name for each in backends)

    async def _wait_for_retry(self, state, failure, retries):
        request = state.request
        if state.relay is not None and state.relay.is_abandoned:
            return False
        may_resume = self._policy.may_resume(request, state.version)
        if not may_retry(request, failure, state.relay, may_resume):
            return False
        if not self._policy.may_run_again(request):
            return False
        if _ends_backends(request):
            reason = "backend servers ended under the request"
            self._record_decision(request, "retry", reason)
            return False
        if not self._router.retry_budget.try_spend(request.service.name):
            self._record_decision(request, "retry", "the retry budget is spent")
            state.unproven_answer = None
            return False
        now_ms = self._clock.now_ms()
        retry_at_ms = now_ms + backoff_ms(retries, self._random)
        if retry_at_ms >= request.deadline_ms:
            return False
        await self._clock.sleep_until(retry_at_ms)
        if self._clock.now_ms() - retry_at_ms < RECOUNT_AFTER_MS:
            return True
        # The process was paused.
        return self._router.retry_budget.try_spend(request.service.name)

    async def _send_with_hedge(self, state, attempt):
        first = self._send(state, attempt)
        delay_ms = self._policy.hedge_delay_ms(
            state.request, state.version, state.sent_count, state.min_confidence
        )
        if delay_ms is None:
            return await first
        hedge = Hedge(attempt, lambda: self._make_hedge(state), _is_unsure)
        return await hedge.run(first, delay_ms / 1000)

    def _make_hedge(self, state):
        """Return the coroutine of a hedged attempt, or None when not allowed."""
        if state.relay is not None and state.relay.has_begun:
            return None
        if _ends_backends(state.request) or self._check_guard(state) is not None:
            return None
        choice = self._select_backend(state, only_permitted=True)
        if is_failure(choice) or choice.backend.name in state.tried_names:
            # One that was tried runs the first attempt; a second one there would end
            # later.
            return None
        if not self._policy.try_spend_on_hedge(state.request, choice.backend):
            return None
        self._router.send_gate.try_acquire(choice.backend.name)
        self._record_decision(state.request, "hedge", "slow to begin")
        attempt = self._build_attempt(state, choice.backend)
        attempt.is_hedge = True
        return self._send(state, attempt)

    async def _acquire_backend(self, state):
        """Select a backend server and acquire the permit to send to it.

        Return a `Choice` or a failure.
        """
        gate = self._router.send_gate
        for _ in range(MAX_PERMIT_REQUESTS):
            choice = self._select_backend(state)
            if is_failure(choice):
                return choice
            backend = choice.backend
            is_permitted = await gate.acquire(backend.name)
            # It may have begun to leave while the permit was on its way.
            reason = LEAVING if backend.is_leaving else None
            reason = reason or self._policy.exclusion_reason(state.request, backend)
            if is_permitted and reason is None:
                return choice
            reason = reason or LIMIT_REACHED
            self._record_decision(state.request, "permit", reason, backend=backend.name)
            if gate.is_cold(backend.name):
                # Many backend servers may be cold at once. A request that others can
                # take doesn't wait for the answers of more issuers.
                choice = self._select_backend(state, only_permitted=True)
                if not is_failure(choice):
                    gate.try_acquire(choice.backend.name)
                    return choice
        choice = self._select_backend(state, only_permitted=True)
        if not is_failure(choice):
            gate.try_acquire(choice.backend.name)
        return choice

    def _build_attempt(self, state, backend):
        state.sent_count += 1
        state.tried_names.add(backend.name)
        request = state.request
        first_byte_deadline_ms = request.deadline_ms
        if request.is_repeatable:
            first_byte_deadline_ms = self._policy.first_byte_deadline_ms(
                request, backend
            )
        attempt = Attempt(
            request,
            state.version,
            backend,
            state.sent_count,
            first_byte_deadline_ms,
            state.relay,
        )
        attempt.min_confidence = state.min_confidence
        attempt.send_by_ms = self._router.send_gate.send_by_ms(backend.name)
        selected_ms = self._clock.now_ms()
        attempt.last_check = lambda: self._check_last(state, backend, selected_ms)
        attempt.needs_fresh_connection = backend.name in state.fresh_retry_names
        return attempt

    async def _send(self, state, attempt):
        backend = attempt.backend
        started_ms = self._clock.now_ms()
        self._router.chooser.breakers.record_send(backend.name, started_ms)
        self._router.send_gate.record_send(backend.name)
        backend.in_flight += 1
        exchange = asyncio.get_running_loop().create_task(
            self._router.sender.send(attempt)
        )
        # While it runs, it takes a slot there, also after its caller has left.
        exchange.add_done_callback(lambda _: _end_in_flight(backend))
        try:
            answer = await asyncio.shield(exchange)
        except asyncio.CancelledError:
            self._abandon(state, attempt, exchange, started_ms)
            raise
        self._report_result(state, attempt, answer, started_ms)
        return answer

    def _abandon(self, state, attempt, exchange, started_ms):
        """Keep an exchange for a moment whose caller has left, then end it.

        The loser of a hedge ends in the same way.
        """
        attempt.is_abandoned = True
        self._policy.record_abandoned(state.request)
        watch = asyncio.get_running_loop().create_task(
            self._watch_abandoned(state, attempt, exchange, started_ms)
        )
        self._abandoned.add(watch)
        watch.add_done_callback(self._abandoned.discard)

    async def _watch_abandoned(self, state, attempt, exchange, started_ms):
        try:
            await asyncio.wait([exchange], timeout=ABANDONED_MS / 1000)
        finally:
            if not exchange.done():
                await cancel_and_wait([exchange])
        if exchange.cancelled():
            return
        if exchange.exception() is not None:
            why = repr(exchange.exception())
            logger.warning("attempts.abandoned-failed", extra={"why": why})
            return
        answer = exchange.result()
        failure = answer if is_failure(answer) else None
        result = self._build_result(state, attempt, failure, started_ms)
        for observer in self.abandoned_observers:
            observer(result)

    def _report_result(self, state, attempt, answer, started_ms):
        request = state.request
        failure = answer if is_failure(answer) else None
        first_byte_ms = attempt.deadlines and attempt.deadlines.first_byte_ms
        if first_byte_ms is not None:
            elapsed_ms = first_byte_ms - started_ms
            self._policy.record_first_byte(request, state.version, elapsed_ms)
        if failure is not None:
            self._record_decision(
                request,
                "attempt",
                failure.reason.name,
                backend=attempt.backend.name,
                outcome=failure.outcome.value,
                detail=failure.detail,
                began_after_ms=_elapsed_ms(started_ms, first_byte_ms),
                events=attempt.events,
                **_framing_details(attempt),
            )
            if failure.reason is SUPERSEDED or attempt.is_withheld:
                return
            if failure.reason in (UNPROVEN_END, UNSURE_ANSWER):
                # The backend server worked as it should: no failure for breakers.
                failure = None
        else:
            self._record_answer(state, attempt, started_ms, first_byte_ms)
        result = self._build_result(state, attempt, failure, started_ms)
        for observer in self.observers:
            observer(result)

    def _build_result(self, state, attempt, failure, started_ms):
        request = state.request
        return AttemptResult(
            attempt.backend.name,
            state.version.name,
            failure and failure.reason,
            failure and failure.outcome,
            started_ms,
            attempt.deadlines and attempt.deadlines.first_byte_ms,
            self._clock.now_ms(),
            self._policy.route_name(request),
            None if state.relay is None else attempt.events,
            self._policy.repeatability_label(request),
            attempt.number,
            self._policy.new_release_share(request),
            request,
        )

    def _record_answer(self, state, attempt, started_ms, first_byte_ms):
        if attempt.is_hedge:
            self._policy.record_hedge_win(state.request)
        now_ms = self._clock.now_ms()
        began_ms = now_ms if first_byte_ms is None else first_byte_ms
        self._record_decision(
            state.request,
            "answer",
            "whole",
            backend=attempt.backend.name,
            began_after_ms=round(began_ms - started_ms, 1),
            lasted_ms=round(now_ms - began_ms, 1),
            events=attempt.events,
            **_framing_details(attempt),
        )

    def _select_backend(self, state, only_permitted=False):
        """Return the `Choice` of a backend server, or a failure.

        With `only_permitted`, a limited backend server needs a permit at hand.
        """
        request = state.request
        query = self._policy.query(request, state.version, state.tried_names)
        backends = self._policy.candidates(request, state.version, state.relay)
        if is_failure(backends):
            self._record_decision(request, "route", backends.detail)
            return backends
        backends, withheld = self._router.send_gate.split_withheld(
            backends, only_permitted
        )
        if withheld and not backends:
            choice = self._withheld_failure(request, withheld)
        else:
            choice = self._router.chooser.choose(query, backends, self._clock.now_ms())
        if is_failure(choice):
            self._record_decision(request, "route", choice.detail)
            return choice
        choice.candidates += [
            Candidate(backend.name, None, reason)
            for listed in (withheld, self._policy.excluded(request))
            for backend, reason in listed[:MAX_LISTED_WITHHELD]
        ]
        self._record_decision(
            request,
            "route",
            choice.reason,
            backend=choice.backend.name,
            candidates=[candidate.to_json() for candidate in choice.candidates],
            **self._limit_details(choice.backend.name),
        )
        return choice

    def _withheld_failure(self, request, withheld):
        gate = self._router.send_gate
        retry_at_ms = min(gate.retry_at_ms(backend.name) for backend, _ in withheld)
        detail = f"all backend servers of {request.service.name} take no more now"
        return Failure(BACKENDS_LIMITED, detail, retry_at_ms=retry_at_ms)

    def _limit_details(self, name):
        per_s = self._router.send_gate.limit_per_s(name)
        return {} if per_s is None else {"limit_per_s": per_s}

    def _record_decision(self, request, step, reason, **details):
        self._router.ring.record_decision(request.request_id, step, reason, **details)


def _end_in_flight(backend):
    backend.in_flight -= 1


def _ends_backends(request):
    """Return whether a request is not to be sent again, for those that ended under it.

    That a stream is lost as it begins is evidence by itself. Other losses are common,
    so one of the backend servers must be known to have ended.
    """
    has_crashed = request.crashes > 0 and request.lost_runs >= MAX_LOST_RUNS
    return has_crashed or request.lost_beginnings >= MAX_LOST_RUNS


def _is_unsure(failure):
    """Return whether a failure is an answer that a larger model is to replace."""
    return failure.reason is UNSURE_ANSWER


def _framing_details(attempt):
    return {"unframed": True} if attempt.is_unframed else {}


def _elapsed_ms(started_ms, ended_ms):
    return None if ended_ms is None else round(ended_ms - started_ms, 1)


def _combine_with_choice(worst_failure, failure):
    """Return the failure of a request for which no backend server can be selected.

    If it was never run, that all backend servers take no more, or are in drained zones,
    says when to return.
    """
    if worst_failure is None:
        return failure
    if failure.reason in (BACKENDS_LIMITED, ZONES_DRAINED):
        return worst_failure.combined_with(failure)
    return worst_failure
