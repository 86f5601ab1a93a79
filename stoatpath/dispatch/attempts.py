"""Tries a request on backend servers until one answers or retries end."""

from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.dispatch.hedges import Hedge
from stoatpath.dispatch.latencies import SlowAnswerEstimates
from stoatpath.dispatch.messages import Attempt, AttemptResult
from stoatpath.dispatch.retries import MAX_ATTEMPTS, backoff_ms, may_retry
from stoatpath.dispatch.streams import Relay
from stoatpath.outcomes import (
    BROKEN_ANSWER,
    FOREIGN_ANSWER,
    SILENT_CONNECTION,
    SUPERSEDED,
    is_failure,
)
from stoatpath.routing.messages import RoutingQuery

DEFAULT_EXPECTED_TOKENS = 64
EXPECTED_TIME_SLACK = 4.0
CONNECTION_FAULTS = (BROKEN_ANSWER, FOREIGN_ANSWER, SILENT_CONNECTION)


class _Course:
    """The attempts of one request so far."""

    __slots__ = (
        "request",
        "version",
        "relay",
        "tried",
        "second_chances",
        "sent",
        "worst",
    )

    def __init__(self, request, version, relay):
        self.request = request
        self.version = version
        self.relay = relay
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

    `parts` is the router that holds the slices. Each of `observers` is called
    with the `AttemptResult` of every attempt.
    """

    __slots__ = ("_parts", "_clock", "_random", "_latencies", "observers")

    def __init__(self, parts, random):
        self._parts = parts
        self._clock = parts.clock
        self._random = random
        self._latencies = SlowAnswerEstimates()
        self.observers = []

    async def run(self, request, version, stream):
        """Return an answer or the failure that says most about execution."""
        self._parts.retry_budget.earn()
        course = _Course(request, version, _relay_for(request, stream))
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
        may_resume = self._may_resume(course)
        if not may_retry(course.request, failure, course.relay, may_resume):
            return False
        if not self._parts.retry_budget.spend():
            return False
        now_ms = self._clock.now_ms()
        retry_at_ms = now_ms + backoff_ms(retries, self._random)
        if retry_at_ms >= course.request.deadline_ms:
            return False
        await self._clock.sleep_until(retry_at_ms)
        return True

    def _may_resume(self, course):
        return any(
            backend.resumes
            for backend in self._parts.backends.serving(course.version.name)
        )

    async def _race(self, course, attempt):
        first = self._send(course, attempt)
        delay_ms = self._hedge_delay_ms(course)
        if delay_ms is None:
            return await first
        hedge = Hedge(attempt, lambda: self._second(course))
        return await hedge.run(first, delay_ms / 1000)

    def _hedge_delay_ms(self, course):
        request = course.request
        if not request.is_repeatable or course.sent > 1:
            return None
        slow_ms = self._latencies.slow_ms((request.service.name, request.is_stream))
        if slow_ms is None:
            return None
        return max(self._parts.settings.hedge_min_ms, slow_ms)

    def _second(self, course):
        """Return the coroutine of a hedge, or None when there is none to send."""
        if course.relay is not None and course.relay.has_begun:
            return None
        choice = self._choose(course)
        if is_failure(choice) or self._check_send(course) is not None:
            return None
        if not self._parts.retry_budget.spend_on_hedge():
            return None
        self._note(course.request, "hedge", "slow to begin")
        return self._send(course, self._attempt(course, choice.backend))

    def _attempt(self, course, backend):
        course.sent += 1
        course.tried.add(backend.name)
        request = course.request
        first_byte_at_ms = request.deadline_ms
        if request.is_repeatable:
            first_byte_at_ms = self._first_byte_at_ms(course, backend)
        attempt = Attempt(
            request,
            course.version,
            backend,
            course.sent,
            first_byte_at_ms,
            course.relay,
        )
        attempt.needs_fresh = backend.name in course.second_chances
        return attempt

    def _first_byte_at_ms(self, course, backend):
        limit_ms = self._parts.settings.first_byte_timeout_ms
        if not course.request.is_stream:
            expected_ms = _expected_tokens(course.request) * backend.token_ms
            limit_ms += EXPECTED_TIME_SLACK * expected_ms
        return self._clock.now_ms() + limit_ms

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
            kind = (request.service.name, request.is_stream)
            self._latencies.learn(kind, first_byte_ms - started_ms)
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
        result = AttemptResult(
            attempt.backend.name,
            course.version.name,
            failure and failure.reason,
            failure and failure.outcome,
            started_ms,
            first_byte_ms,
            self._clock.now_ms(),
        )
        for observer in self.observers:
            observer(result)

    def _choose(self, course):
        request = course.request
        query = RoutingQuery(
            request.request_id,
            request.service.name,
            course.version.name,
            _expected_tokens(request),
            request.deadline_ms,
            course.tried,
        )
        backends = self._candidates(course)
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

    def _candidates(self, course):
        backends = self._parts.backends
        if course.request.service.kind != MODEL_SERVICE:
            return backends.of_service(course.request.service.name)
        serving = backends.serving(course.version.name)
        if course.relay is not None and course.relay.has_begun:
            return [backend for backend in serving if backend.resumes]
        return serving

    def _note(self, request, step, reason, **details):
        self._parts.ring.note(request.request_id, step, reason, **details)


def _relay_for(request, stream):
    if stream is None:
        return None
    runs_on = bool(request.idempotency_key) or not request.is_repeatable
    return Relay(stream, runs_on, bool(request.idempotency_key))


def _expected_tokens(request):
    if request.service.kind != MODEL_SERVICE:
        return 1
    return request.body.get("max_tokens") or DEFAULT_EXPECTED_TOKENS
