"""Tries a request on backend servers until one answers or retries end."""

from stoatpath.dispatch.engine_dialects import EngineDialect
from stoatpath.dispatch.hedges import Hedge
from stoatpath.dispatch.messages import Attempt, AttemptResult
from stoatpath.dispatch.retries import MAX_ATTEMPTS, backoff_ms, may_retry
from stoatpath.outcomes import (
    BROKEN_ANSWER,
    FOREIGN_ANSWER,
    SILENT_CONNECTION,
    SUPERSEDED,
    UNSURE_ANSWER,
    is_failure,
)

CONNECTION_FAULTS = (BROKEN_ANSWER, FOREIGN_ANSWER, SILENT_CONNECTION)


class _Course:
    """The attempts of one request so far."""

    __slots__ = (
        "request",
        "version",
        "relay",
        "accept_at",
        "tried",
        "second_chances",
        "sent",
        "worst",
    )

    def __init__(self, request, version, relay, accept_at):
        self.request = request
        self.version = version
        self.relay = relay
        self.accept_at = accept_at
        self.tried = set()
        self.second_chances = set()
        self.sent = 0
        self.worst = None

    def take_failure(self, attempt, failure):
        """Note a failed attempt.

        A pooled connection may be to blame, so its backend server is tried once
        more on a fresh one.
        """
        name = attempt.backend.name
        if attempt.was_pooled and failure.reason in CONNECTION_FAULTS:
            self.second_chances.add(name)
            self.tried.discard(name)
        self.worst = failure if self.worst is None else self.worst.worse_of(failure)


class AttemptRunner:
    """Chooses a backend server for each attempt and sends it.

    `parts` is the router that holds the slices, `dialect` how its backend servers
    are spoken to. Each of `observers` is called with the `AttemptResult` of every
    attempt.
    """

    __slots__ = ("_parts", "_clock", "_random", "_dialect", "observers")

    def __init__(self, parts, random, dialect=None):
        self._parts = parts
        self._clock = parts.clock
        self._random = random
        self._dialect = dialect or EngineDialect(parts)
        self.observers = []

    async def run(self, request, version, stream, accept_at=None):
        """Return an answer or the failure that says most about execution.

        An answer whose head shows less confidence than `accept_at` is a failure.
        """
        relay = self._dialect.open_relay(request, stream)
        course = _Course(request, version, relay, accept_at)
        for retries in range(MAX_ATTEMPTS):
            choice = self._choose(course)
            if is_failure(choice):
                return course.worst or choice
            problem = self._check_send(course)
            if problem is not None:
                return course.worst or problem
            attempt = self._attempt(course, choice.backend)
            answer = await self._race(course, attempt)
            if not is_failure(answer):
                return answer
            course.take_failure(attempt, answer)
            if not await self._may_go_on(course, answer, retries):
                break
        return course.worst

    def _check_send(self, course):
        problem = self._parts.guard.check_send(course.request, course.version)
        if problem is not None:
            self._note(course.request, "guard", problem.detail)
        return problem

    async def _may_go_on(self, course, failure, retries):
        request = course.request
        may_resume = self._dialect.may_resume(request, course.version)
        if not may_retry(request, failure, course.relay, may_resume):
            return False
        if not self._dialect.may_run_again(request):
            return False
        if not self._parts.retry_budget.try_spend(request.service.name):
            self._note(request, "retry", "the retry budget is spent")
            return False
        now_ms = self._clock.now_ms()
        retry_at_ms = now_ms + backoff_ms(retries, self._random)
        if retry_at_ms >= request.deadline_ms:
            return False
        await self._clock.sleep_until(retry_at_ms)
        return True

    async def _race(self, course, attempt):
        first = self._send(course, attempt)
        delay_ms = self._dialect.hedge_after_ms(course.request, course.sent)
        if delay_ms is None:
            return await first
        hedge = Hedge(attempt, lambda: self._second(course))
        return await hedge.run(first, delay_ms / 1000)

    def _second(self, course):
        """Return the coroutine of a hedge, or None when there is none to send."""
        if course.relay is not None and course.relay.has_begun:
            return None
        choice = self._choose(course)
        if is_failure(choice) or self._check_send(course) is not None:
            return None
        if choice.backend.name in course.tried:
            # It is at work on it already; a second run there would come later.
            return None
        if not self._parts.retry_budget.try_spend_on_hedge(course.request.service.name):
            return None
        self._note(course.request, "hedge", "slow to begin")
        return self._send(course, self._attempt(course, choice.backend))

    def _attempt(self, course, backend):
        course.sent += 1
        course.tried.add(backend.name)
        request = course.request
        first_byte_at_ms = request.deadline_ms
        if request.is_repeatable:
            first_byte_at_ms = self._dialect.first_byte_at_ms(request, backend)
        attempt = Attempt(
            request,
            course.version,
            backend,
            course.sent,
            first_byte_at_ms,
            course.relay,
        )
        attempt.accept_at = course.accept_at
        attempt.needs_fresh = backend.name in course.second_chances
        return attempt

    async def _send(self, course, attempt):
        backend = attempt.backend
        started_ms = self._clock.now_ms()
        backend.in_flight += 1
        try:
            answer = await self._parts.sender.send(attempt)
        finally:
            backend.in_flight -= 1
        self._report(course, attempt, answer, started_ms)
        return answer

    def _report(self, course, attempt, answer, started_ms):
        request = course.request
        failure = answer if is_failure(answer) else None
        first_byte_ms = attempt.deadlines and attempt.deadlines.first_byte_ms
        if first_byte_ms is not None:
            self._dialect.learn_first_byte(request, first_byte_ms - started_ms)
        if failure is not None:
            self._note(
                request,
                "attempt",
                failure.reason.name,
                backend=attempt.backend.name,
                outcome=failure.outcome.value,
                detail=failure.detail,
            )
            if failure.reason is SUPERSEDED:
                return
            if failure.reason is UNSURE_ANSWER:
                failure = None
        else:
            self._note_answer(course, attempt, started_ms, first_byte_ms)
        result = AttemptResult(
            attempt.backend.name,
            course.version.name,
            failure and failure.reason,
            failure and failure.outcome,
            started_ms,
            first_byte_ms,
            self._clock.now_ms(),
            self._dialect.route_name(request),
            None if course.relay is None else attempt.events,
            self._dialect.kind_name(request),
        )
        for observer in self.observers:
            observer(result)

    def _note_answer(self, course, attempt, started_ms, first_byte_ms):
        now_ms = self._clock.now_ms()
        began_ms = now_ms if first_byte_ms is None else first_byte_ms
        self._note(
            course.request,
            "answer",
            "whole",
            backend=attempt.backend.name,
            began_after_ms=round(began_ms - started_ms, 1),
            lasted_ms=round(now_ms - began_ms, 1),
            events=attempt.events,
        )

    def _choose(self, course):
        request = course.request
        query = self._dialect.query(request, course.version, course.tried)
        backends = self._dialect.candidates(request, course.version, course.relay)
        choice = self._parts.chooser.choose(query, backends, self._clock.now_ms())
        if is_failure(choice):
            self._note(request, "route", choice.detail)
            return choice
        self._note(
            request,
            "route",
            choice.reason,
            backend=choice.backend.name,
            candidates=[candidate.to_json() for candidate in choice.candidates],
        )
        return choice

    def _note(self, request, step, reason, **details):
        self._parts.ring.note(request.request_id, step, reason, **details)
