"""Tries a request on backend servers until one answers or retries end."""

from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.dispatch.messages import Attempt
from stoatpath.dispatch.retries import MAX_ATTEMPTS, may_retry
from stoatpath.outcomes import Outcome, is_failure
from stoatpath.routing.messages import RoutingQuery

DEFAULT_EXPECTED_TOKENS = 64


class AttemptRunner:
    """Chooses a backend server for each attempt and sends it.

    `parts` is the router that holds the slices.
    """

    __slots__ = ("_parts", "_clock")

    def __init__(self, parts):
        self._parts = parts
        self._clock = parts.clock

    async def run(self, request, version, stream):
        """Return an answer or the failure that says most about execution."""
        budget = self._parts.retry_budget
        budget.earn()
        tried = set()
        worst = None
        for _ in range(MAX_ATTEMPTS):
            choice = self._choose(request, version, tried)
            if is_failure(choice):
                return worst or choice
            tried.add(choice.backend.name)
            problem = self._parts.guard.check_send(request, version)
            if problem is not None:
                self._note(request, "guard", problem.detail)
                return worst or problem
            answer = await self._send(request, version, choice.backend, stream)
            if not is_failure(answer):
                return answer
            if worst is None or worst.outcome is Outcome.NOT_RUN:
                worst = answer
            has_begun = stream is not None and stream.has_begun
            if not may_retry(request, answer, has_begun) or not budget.spend():
                break
        return worst

    async def _send(self, request, version, backend, stream):
        backend.in_flight += 1
        try:
            answer = await self._parts.sender.send(
                Attempt(request, version, backend, request.deadline_ms, stream)
            )
        finally:
            backend.in_flight -= 1
        if is_failure(answer):
            self._note(
                request,
                "attempt",
                answer.reason.name,
                backend=backend.name,
                outcome=answer.outcome.value,
            )
        return answer

    def _choose(self, request, version, tried):
        parts = self._parts
        if request.service.kind == MODEL_SERVICE:
            backends = parts.backends.serving(version.name)
            tokens = request.body.get("max_tokens") or DEFAULT_EXPECTED_TOKENS
        else:
            backends = parts.backends.of_service(request.service.name)
            tokens = 1
        query = RoutingQuery(
            request.request_id,
            request.service.name,
            version.name,
            tokens,
            request.deadline_ms,
            tried,
        )
        choice = parts.chooser.choose(query, backends, self._clock.now_ms())
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
