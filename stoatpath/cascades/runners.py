"""Runs the stages of a plan until an answer is accepted."""

from stoatpath.admission.messages import AdmissionRequest
from stoatpath.callers.messages import ServedResult
from stoatpath.cascades.messages import PlanQuery, StageResult
from stoatpath.cascades.plan_executions import PlanExecution
from stoatpath.cascades.raters import RatingRequest
from stoatpath.cascades.versions import select_versions
from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.lookups.answer_caches import is_lookup
from stoatpath.outcomes import NO_BACKEND, Failure, is_failure

COST_BASIS_TOKENS = 1_000


class StageRunner:
    """Runs a request: session, plan, admission, attempts and ratings.

    `router` is the `Router`, which holds the components used.
    """

    __slots__ = ("_router", "_clock")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock

    async def run(self, request, stream):
        """Return `ServedResult` or a failure."""
        problem = self._router.quarantine.check(request)
        if problem is not None:
            self._record_decision(request, "quarantine", problem.detail)
            return problem
        if request.service.kind != MODEL_SERVICE:
            return await self._run_plain_service(request, stream)
        return await self._run_plan(request, stream)

    async def _run_plain_service(self, request, stream):
        """Serve a call of a service without models, from a cached answer if allowed."""
        cache = self._router.answer_cache
        lookup_ms = self._clock.now_ms()
        answer = cache.get_answer(request, lookup_ms)
        if answer is not None:
            self._record_decision(
                request, "lookup", "the service lets its answer be kept"
            )
            version = request.service.name
            return ServedResult(
                answer.status, answer.content_type, answer.body, version, [], 0.0
            )
        if is_lookup(request):
            return await self._run_plan(request, stream, lookup_ms)
        cache.invalidate(request, lookup_ms)
        try:
            return await self._run_plan(request, stream)
        finally:
            cache.invalidate(request, self._clock.now_ms())

    async def _run_plan(self, request, stream, lookup_ms=None):
        router = self._router
        pin = await router.pins.find_pin(request)
        if is_failure(pin):
            return pin
        versions, move_reason = select_versions(
            router.follower.snapshot, router.assigner, request, pin
        )
        if not versions:
            return Failure(NO_BACKEND, "no version is open for this request")
        query = PlanQuery.from_request(request, pin)
        plan = router.planner.plan(query, versions, self._clock.now_ms())
        names = [stage.version.name for stage in plan.stages]
        router.ring.record_decision(
            request.request_id,
            "plan",
            plan.reason,
            stages=names,
            session="" if pin is None else pin.version,
            moved=move_reason,
        )
        if stream is not None:
            router.pins.announce(request, pin, names[0], move_reason, stream)
        execution = PlanExecution(router.planner, query, plan)
        served = await self._run_stages(request, execution, stream)
        if lookup_ms is not None and execution.best_answer() is not None:
            router.answer_cache.store_answer(
                request, execution.best_answer().answer, lookup_ms
            )
        if not is_failure(served) and request.session:
            await self._store_session(request, pin, served, move_reason)
        return served

    async def _store_session(self, request, pin, served, move_reason):
        new_pin = self._router.pins.build_pin(request, pin, served.version)
        if not request.is_stream:
            await self._router.pins.store_pin(request, pin, new_pin)
        served.session = self._router.pins.token(new_pin)
        served.session_moved = move_reason

    async def _run_stages(self, request, execution, stream):
        while execution.stage is not None:
            answer = await self._run_stage(request, execution, stream)
            stage = execution.stage
            if is_failure(answer):
                self._router.sampling.sampler.record_answer(
                    request, stage.version, answer
                )
                if execution.best_answer() is None:
                    return answer
                execution.record_failure()
                break
            rating = await self._rate_answer(
                request, stage, answer, execution.is_escalated
            )
            self._router.sampling.sampler.record_answer(
                request, stage.version, answer, rating
            )
            result = _stage_result(stage.version, answer, rating)
            execution.record_result(answer, result, self._clock.now_ms())
        self._record_decision(
            request, "stages", execution.reason, ran=len(execution.results)
        )
        return _build_served(execution)

    async def _run_stage(self, request, execution, stream):
        """Run the current stage, or the next one if it gets a slot sooner."""
        requested_ms = self._clock.now_ms()
        grant = await self._router.gate.acquire(
            self._build_admission_request(request, execution)
        )
        if is_failure(grant):
            self._record_decision(
                request, "admission", grant.reason.name, detail=grant.detail
            )
            return grant
        granted_ms = self._clock.now_ms()
        self._record_decision(
            request,
            "admission",
            "granted",
            pool=grant.pool,
            waited_ms=round(granted_ms - requested_ms, 1),
        )
        execution.skip_to(grant.pool)
        version = execution.stage.version
        self._router.retry_budget.record_request(request.service.name)
        try:
            answer = await self._router.attempts.run(request, version, stream)
        finally:
            self._router.gate.release(grant)
        if not is_failure(answer):
            seconds = (self._clock.now_ms() - granted_ms) / 1000
            self._usage_estimate(request, version).record_answer(answer.tokens, seconds)
        return answer

    def _build_admission_request(self, request, execution):
        """Return a request for a slot; each version has a pool of slots of its name."""
        version = execution.stage.version
        admission_request = AdmissionRequest(
            request.request_id,
            request.organisation.name,
            request.organisation.weight,
            (version.name,),
            request.deadline_ms,
            self._usage_estimate(request, version).seconds * 1000,
            request.purpose.is_short,
        )
        next_stage = execution.next_stage
        if next_stage is None:
            return admission_request
        planner = self._router.planner
        wait_ms = self._router.gate.expected_wait_ms(admission_request)
        now_ms = self._clock.now_ms()
        if planner.should_skip_to_next(
            execution.query, version, next_stage.version, wait_ms, now_ms
        ):
            admission_request.pools = (version.name, next_stage.version.name)
        return admission_request

    async def _rate_answer(self, request, stage, answer, is_escalated):
        """Return the rating of an answer, or None when none arrives in time."""
        if request.service.kind != MODEL_SERVICE:
            return None
        router = self._router
        rating_request = RatingRequest(
            request.request_id,
            request.service,
            request.purpose,
            stage.version,
            answer.text,
            stage.accept_threshold or request.purpose.quality,
            is_escalated,
        )
        if stage.accept_threshold is None:
            query = PlanQuery.from_request(request, None)
            now_ms = self._clock.now_ms()
            if router.planner.needs_background_rating(query, stage.version, now_ms):
                router.rater.start_rating(rating_request)
            return None
        rating = await router.rater.rate(rating_request, request.deadline_ms)
        reason = "no rating"
        if rating is not None:
            reason = "good enough" if rating >= stage.accept_threshold else "too low"
        self._record_decision(
            request,
            "rating",
            reason,
            version=stage.version.name,
            rating=rating,
            wanted=stage.accept_threshold,
        )
        return rating

    def _usage_estimate(self, request, version):
        return self._router.estimates.usage(request.service, request.purpose, version)

    def _record_decision(self, request, step, reason, **details):
        self._router.ring.record_decision(request.request_id, step, reason, **details)


def _stage_result(version, answer, rating):
    """Return the result of a stage; an answer without text costs `version.cost`.

    For a service without models this is the cost of one call.
    """
    cost = version.cost * answer.tokens / COST_BASIS_TOKENS
    if not answer.text:
        cost = version.cost
    return StageResult(version.name, answer.tokens, cost, rating)


def _build_served(execution):
    best = execution.best_answer()
    return ServedResult(
        best.answer.status,
        best.answer.content_type,
        best.answer.body,
        best.result.version,
        execution.results,
        sum(result.cost for result in execution.results),
    )
