"""Cascades over models whose answers show their confidence before they begin.

The smallest model goes first. An answer that is not sure enough is dropped at its
head, before the caller has received any of it, and a larger model runs.
"""

from stoatpath.admission.messages import AdmissionRequest
from stoatpath.callers.relay_messages import RelayedResult
from stoatpath.cascades.lateness import Lateness
from stoatpath.cascades.messages import Plan, Stage
from stoatpath.outcomes import (
    NO_BACKEND,
    UNSURE_ANSWER,
    Failure,
    Outcome,
    is_failure,
)

# Confidence, from 0 to 100, from which an answer of the smallest model stands.
ACCEPT_AT = 55.0
# Where more than five in eight of the larger model's answers begin late, any answer of
# the smallest stands: a late answer is worth three tenths, and delays others.
LATE_WEIGHT = 1.6
# Share of late answers from which the larger model is no better as the only one.
MOSTLY_LATE = 0.5
# Extra sends that must be left before an answer is dropped for a larger model.
BUDGET_RESERVE = 3.0
# A restarted backend server lists itself within about a heartbeat.
NO_BACKEND_RETRY_MS = 1_000.0
TOKENS_PER_PRICE = 1_000
# Tokens read cost a quarter of tokens generated.
READ_PART = 0.25


class ModelChoice:
    """A model to run on, or a plain service; `cost` is per 1,000 tokens.

    `weight` is its work per token, as a multiple of the smallest model's.
    """

    __slots__ = ("name", "cost", "weight")

    def __init__(self, name, cost=0.0, weight=1.0):
        self.name = name
        self.cost = cost
        self.weight = weight

    def work(self, prompt):
        """Return what reading a prompt costs, in tokens of the smallest model."""
        return self.work_of(prompt.tokens)

    def work_of(self, tokens):
        """Return what reading so many tokens costs."""
        return self.weight * tokens

    def price(self, prompt):
        """Return what an answer costs, read and generated."""
        tokens = READ_PART * prompt.tokens + prompt.expected_new_tokens
        return self.cost * tokens / TOKENS_PER_PRICE


class ConfidencePlanner:
    """Decides which models a request runs on, and what makes an answer stand.

    `budget` bounds extra sends. Where larger models begin late, fewer answers are
    dropped for them: a late answer is worth little, and delays the others.
    """

    __slots__ = ("lateness", "_budget")

    def __init__(self, budget):
        self.lateness = Lateness()
        self._budget = budget

    def plan(self, request, now_ms):
        """Return a `Plan`; the last stage takes any answer."""
        costs = request.service.cost_by_model
        if not request.prompt.model:
            return Plan([Stage(ModelChoice(request.service.name), None)], "no model")
        names = request.route.models or (request.prompt.model,)
        least = min((costs.get(name, 0.0) for name in names), default=0.0) or 1.0
        models = [
            ModelChoice(
                name, costs.get(name, 0.0), max(1.0, costs.get(name, 0) / least)
            )
            for name in names
        ]
        if len(models) == 1:
            return Plan([Stage(models[0], None)], "one model")
        smallest, largest = models[0], models[-1]
        if request.last_event_id:
            return Plan([Stage(largest, None)], "carries on an answer")
        if request.route.max_attempts < 2 or not request.is_repeatable:
            return Plan([Stage(largest, None)], "one run is allowed")
        late = self.lateness.share(request.service.name, now_ms)
        if self._budget.remaining(request.service.name) < BUDGET_RESERVE:
            only = smallest if late > MOSTLY_LATE else largest
            return Plan([Stage(only, None)], "the retry budget is spent")
        accept_at = ACCEPT_AT * max(0.0, 1.0 - LATE_WEIGHT * late)
        stages = [Stage(smallest, accept_at), Stage(largest, None)]
        return Plan(stages, f"the smallest first, {late:.2f} of the larger late")


class ConfidenceRunner:
    """Takes a request through its release, plan, slot and attempts.

    `router` is the router that holds the slices.
    """

    __slots__ = ("_router", "_clock")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock

    async def run(self, request, stream):
        """Return `RelayedResult` or a failure."""
        router = self._router
        router.retry_budget.record_request(request.service.name)
        request.releases = router.releases.choose(request)
        if not router.backends.of_service(request.service.name):
            return self._refuse(request)
        grant = await router.gate.acquire(self._ask_for_slot(request))
        if is_failure(grant):
            self._note(request, "admission", grant.reason.name, detail=grant.detail)
            return grant
        try:
            result = await self._run_stages(request, stream)
        finally:
            router.gate.release(grant)
            router.releases.record_run(request)
        return _truthful(request, result)

    async def _run_stages(self, request, stream):
        plan = self._router.planner.plan(request, self._clock.now_ms())
        names = [stage.version.name for stage in plan.stages]
        self._note(request, "plan", plan.reason, stages=names)
        ran = []
        for stage in plan.stages:
            if ran:
                self._router.retry_budget.record_extra_send(request.service.name)
            ran.append(stage.version)
            answer = await self._attempt(request, stage, stream)
            if len(ran) > 1:
                self._note_lateness(request, stream)
            if not is_failure(answer):
                return self._served(request, answer, ran)
            if answer.reason is not UNSURE_ANSWER:
                break
        if len(ran) > 1 and self._may_fall_back(request, stream):
            fallback = Stage(plan.stages[0].version, None)
            self._note(request, "plan", "back to the smallest model")
            self._router.retry_budget.record_extra_send(request.service.name)
            ran.append(fallback.version)
            answer = await self._attempt(request, fallback, stream)
            if not is_failure(answer):
                return self._served(request, answer, ran)
        return answer

    async def _attempt(self, request, stage, stream):
        return await self._router.attempts.run(
            request, stage.version, stream, stage.accept_at
        )

    def _note_lateness(self, request, stream):
        """Note whether the larger model's answer began within the objective."""
        now_ms = self._clock.now_ms()
        begun_ms = None if stream is None else stream.begun_ms
        due_ms = request.arrived_ms + request.route.target_ms
        is_late = (now_ms if begun_ms is None else begun_ms) > due_ms
        self._router.planner.lateness.note(request.service.name, is_late, now_ms)

    def _may_fall_back(self, request, stream):
        """Return whether the smallest model may run after the larger one failed."""
        return (
            (stream is None or not stream.has_begun)
            and request.run_count < request.route.max_attempts
            and self._clock.now_ms() < request.deadline_ms
        )

    def _served(self, request, answer, ran):
        cost = sum(model.price(request.prompt) for model in ran)
        return RelayedResult(answer, ran[-1].name, [model.name for model in ran], cost)

    def _ask_for_slot(self, request):
        organisation = request.organisation
        return AdmissionRequest(
            request.request_id,
            "" if organisation is None else organisation.name,
            1.0 if organisation is None else organisation.weight,
            (request.service.name,),
            request.deadline_ms,
            0.0,
            False,
        )

    def _refuse(self, request):
        detail = f"no backend server of {request.service.name} is known"
        retry_at_ms = self._clock.now_ms() + NO_BACKEND_RETRY_MS
        return Failure(NO_BACKEND, detail, retry_at_ms=retry_at_ms)

    def _note(self, request, step, reason, **details):
        self._router.ring.note(request.request_id, step, reason, **details)


def _truthful(request, result):
    """Return a result that claims not to have run only if nothing ran."""
    if not is_failure(result) or result.outcome is not Outcome.NOT_RUN:
        return result
    if not request.run_count:
        return result
    return Failure(result.reason, result.detail, Outcome.UNKNOWN)
