"""Cascades over models that report a confidence in the head of their answer.

Only the first and the last model of a route are used. By default the first, smallest
one runs first. An answer below the confidence threshold is dropped once its head was
read, before any of it is sent to the caller, and the largest model runs.
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
from stoatpath.zones.eligibility import regions_of

# Lowest confidence (0 to 100) at which an answer of the smallest model is accepted.
ACCEPT_CONFIDENCE = 55.0
# Lowers the threshold by the share of late answers of the larger model, to 0 at 5/8.
# A late answer is worth three tenths of one in time, and it delays other requests.
LATE_SHARE_WEIGHT = 1.6
# Share of late answers above which the smallest model is the better single choice.
MOSTLY_LATE_SHARE = 0.5
# Extra sends that the retry budget must have left before an answer may be dropped.
BUDGET_RESERVE_SENDS = 3.0
# Time after which the caller may retry. A restarted backend server lists itself within
# about one of its heartbeats.
NO_BACKEND_RETRY_MS = 1_000.0
COST_BASIS_TOKENS = 1_000
# A prompt token costs a quarter of a generated token.
PROMPT_TOKEN_COST_RATIO = 0.25


class ModelChoice:
    """A model to run on, or a service without models; `cost` is per 1,000 tokens.

    `weight` is the work per token relative to the smallest model. It is estimated
    by the ratio of their costs.
    """

    __slots__ = ("name", "cost", "weight")

    def __init__(self, name, cost=0.0, weight=1.0):
        self.name = name
        self.cost = cost
        self.weight = weight

    def prompt_work(self, prompt):
        """Return the work of reading a prompt, in tokens of the smallest model."""
        return self.work_for_tokens(prompt.tokens)

    def work_for_tokens(self, tokens):
        """Return the work of reading `tokens` tokens, in the same unit."""
        return self.weight * tokens

    def expected_cost(self, prompt):
        """Return the expected cost of an answer, prompt tokens included."""
        tokens = PROMPT_TOKEN_COST_RATIO * prompt.tokens + prompt.expected_new_tokens
        return self.cost * tokens / COST_BASIS_TOKENS


class ConfidencePlanner:
    """Decides which models a request runs on and which confidence is accepted.

    `budget` bounds extra sends. While larger models begin late, fewer answers are
    dropped for them: a late answer is worth little and delays other requests.
    """

    __slots__ = ("lateness", "_budget")

    def __init__(self, budget):
        self.lateness = Lateness()
        self._budget = budget

    def plan(self, request, now_ms):
        """Return a `Plan`; its last stage accepts any answer.

        The models of a route are given from the smallest to the largest.
        """
        costs = request.service.cost_by_model
        if not request.prompt.model:
            return Plan([Stage(ModelChoice(request.service.name), None)], "no model")
        names = request.route.models or (request.prompt.model,)
        lowest_cost = min((costs.get(name, 0.0) for name in names), default=0.0) or 1.0
        models = [
            ModelChoice(
                name, costs.get(name, 0.0), max(1.0, costs.get(name, 0) / lowest_cost)
            )
            for name in names
        ]
        if len(models) == 1:
            return Plan([Stage(models[0], None)], "one model")
        smallest, largest = models[0], models[-1]
        if request.last_event_id:
            return Plan([Stage(largest, None)], "resumes an answer")
        if (
            request.route.max_attempts - request.run_count < 2
            or not request.is_repeatable
        ):
            return Plan([Stage(largest, None)], "only one attempt is allowed")
        late_share = self.lateness.late_share(request.service.name, now_ms)
        if self._budget.remaining(request.service.name) < BUDGET_RESERVE_SENDS:
            single_choice = smallest if late_share > MOSTLY_LATE_SHARE else largest
            return Plan([Stage(single_choice, None)], "the retry budget is spent")
        accept_threshold = ACCEPT_CONFIDENCE * max(
            0.0, 1.0 - LATE_SHARE_WEIGHT * late_share
        )
        stages = [Stage(smallest, accept_threshold), Stage(largest, None)]
        return Plan(
            stages, f"smallest model first, {late_share:.2f} of the larger late"
        )


class ConfidenceRunner:
    """Runs a request: choice of release, admission, plan and attempts.

    `router` is the gateway, which holds the components used.
    """

    __slots__ = ("_router", "_clock")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock

    async def run(self, request, stream):
        """Return `RelayedResult` or a failure."""
        router = self._router
        router.retry_budget.record_request(request.service.name)
        router.extra_work.record_request(request)
        problem = router.quarantine.check(request)
        if problem is not None:
            self._record_decision(request, "quarantine", problem.detail)
            return problem
        if router.forwarder.is_needed(request):
            forwarded = await router.forwarder.run(request, stream)
            if forwarded is not None:
                return _with_actual_outcome(request, forwarded)
        request.releases = router.releases.choose(request)
        backends = router.eligible.for_request(request)
        if is_failure(backends):
            self._record_decision(request, "zones", backends.detail)
            return backends
        if not backends:
            return self._no_backend_failure(request)
        grant = await router.gate.acquire(self._build_admission_request(request))
        if is_failure(grant):
            self._record_decision(
                request, "admission", grant.reason.name, detail=grant.detail
            )
            return grant
        try:
            result = await self._run_stages(request, stream)
        finally:
            router.gate.release(grant)
            router.releases.record_run(request)
        result = await self._forward_failed(request, result, stream)
        return _with_actual_outcome(request, result)

    async def _forward_failed(self, request, result, stream):
        """Return the result of another instance if this one can't serve a request."""
        forwarder = self._router.forwarder
        if not is_failure(result):
            return result
        if not forwarder.may_forward_after(request, result, stream):
            return result
        forwarded = await forwarder.run(request, stream)
        if forwarded is None:
            return result
        return result.combined_with(forwarded) if is_failure(forwarded) else forwarded

    async def _run_stages(self, request, stream):
        plan = self._router.planner.plan(request, self._clock.now_ms())
        names = [stage.version.name for stage in plan.stages]
        self._record_decision(request, "plan", plan.reason, stages=names)
        ran = []
        for stage in plan.stages:
            if ran:
                self._router.retry_budget.record_extra_send(request.service.name)
            ran.append(stage.version)
            answer = await self._attempt(request, stage, stream)
            if len(ran) > 1:
                self._record_lateness(request, stream)
            if not is_failure(answer):
                return self._build_result(request, answer, ran)
            if answer.reason is not UNSURE_ANSWER:
                break
        if len(ran) > 1 and self._may_fall_back(request, stream):
            fallback = Stage(plan.stages[0].version, None)
            self._record_decision(request, "plan", "fallback to the smallest model")
            self._router.retry_budget.record_extra_send(request.service.name)
            ran.append(fallback.version)
            answer = await self._attempt(request, fallback, stream)
            if not is_failure(answer):
                return self._build_result(request, answer, ran)
        return answer

    async def _attempt(self, request, stage, stream):
        return await self._router.attempts.run(
            request, stage.version, stream, stage.accept_threshold
        )

    def _record_lateness(self, request, stream):
        """Record whether the larger model began to answer within the latency target.

        If it did not begin, or without a stream, the end of the attempt counts.
        """
        now_ms = self._clock.now_ms()
        begun_ms = None if stream is None else stream.begun_ms
        due_ms = request.arrived_ms + request.route.target_ms
        is_late = (now_ms if begun_ms is None else begun_ms) > due_ms
        self._router.planner.lateness.record_answer(
            request.service.name, is_late, now_ms
        )

    def _may_fall_back(self, request, stream):
        """Return whether the smallest model may run after the larger one failed."""
        return (
            (stream is None or not stream.has_begun)
            and request.may_run_again
            and self._clock.now_ms() < request.deadline_ms
        )

    def _build_result(self, request, answer, ran):
        cost = sum(model.expected_cost(request.prompt) for model in ran)
        return RelayedResult(answer, ran[-1].name, [model.name for model in ran], cost)

    def _build_admission_request(self, request):
        organisation = request.organisation
        return AdmissionRequest(
            request.request_id,
            "" if organisation is None else organisation.name,
            1.0 if organisation is None else organisation.weight,
            (request.service.name,),
            request.deadline_ms,
            0.0,
            False,
            regions_of(request),
        )

    def _no_backend_failure(self, request):
        detail = f"no backend server of {request.service.name} is known"
        retry_at_ms = self._clock.now_ms() + NO_BACKEND_RETRY_MS
        return Failure(NO_BACKEND, detail, retry_at_ms=retry_at_ms)

    def _record_decision(self, request, step, reason, **details):
        self._router.ring.record_decision(request.request_id, step, reason, **details)


def _with_actual_outcome(request, result):
    """Replace `NOT_RUN` of a failure by `UNKNOWN` when an attempt was sent."""
    if not is_failure(result) or result.outcome is not Outcome.NOT_RUN:
        return result
    if not request.run_count:
        return result
    return Failure(result.reason, result.detail, Outcome.UNKNOWN)
