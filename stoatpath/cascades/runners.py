"""Runs the stages of a plan until an answer is good enough."""

from stoatpath.admission.messages import AdmissionRequest
from stoatpath.callers.messages import ServedResult
from stoatpath.cascades.courses import Course
from stoatpath.cascades.messages import PlanQuery, StageResult
from stoatpath.cascades.raters import RatingQuestion
from stoatpath.cascades.versions import find_versions
from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.lookups.answer_caches import is_lookup
from stoatpath.outcomes import NO_BACKEND, Failure, is_failure

TOKENS_PER_PRICE = 1_000


class StageRunner:
    """Takes a request through its session, plan, slots, attempts and ratings.

    `router` is the router that holds the slices.
    """

    __slots__ = ("_router", "_clock")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock

    async def run(self, request, stream):
        """Return `ServedResult` or a failure."""
        if request.service.kind != MODEL_SERVICE:
            return await self._run_plain(request, stream)
        return await self._run_plan(request, stream)

    async def _run_plain(self, request, stream):
        """Serve a call of a plain service, from a kept answer where it may."""
        cache = self._router.answer_cache
        asked_ms = self._clock.now_ms()
        answer = cache.get_answer(request, asked_ms)
        if answer is not None:
            self._note(request, "lookup", "the service lets its answer be kept")
            version = request.service.name
            return ServedResult(
                answer.status, answer.content_type, answer.body, version, [], 0.0
            )
        if is_lookup(request):
            return await self._run_plan(request, stream, asked_ms)
        cache.invalidate(request, asked_ms)
        try:
            return await self._run_plan(request, stream)
        finally:
            cache.invalidate(request, self._clock.now_ms())

    async def _run_plan(self, request, stream, asked_ms=None):
        router = self._router
        pin = await router.pins.find(request)
        if is_failure(pin):
            return pin
        versions, moved = find_versions(
            router.follower.snapshot, router.assigner, request, pin
        )
        if not versions:
            return Failure(NO_BACKEND, "no version is open for this request")
        query = PlanQuery.from_request(request, pin)
        plan = router.planner.plan(query, versions, self._clock.now_ms())
        names = [stage.version.name for stage in plan.stages]
        router.ring.note(
            request.request_id,
            "plan",
            plan.reason,
            stages=names,
            session="" if pin is None else pin.version,
            moved=moved,
        )
        if stream is not None:
            router.pins.announce(request, pin, names[0], moved, stream)
        course = Course(router.planner, query, plan)
        served = await self._run_stages(request, course, stream)
        if asked_ms is not None and course.best() is not None:
            router.answer_cache.store_answer(request, course.best().answer, asked_ms)
        if not is_failure(served) and request.session:
            await self._keep_session(request, pin, served, moved)
        return served

    async def _keep_session(self, request, pin, served, moved):
        kept = self._router.pins.prepare(request, pin, served.version)
        if not request.is_stream:
            await self._router.pins.keep(request, pin, kept)
        served.session = self._router.pins.token(kept)
        served.session_moved = moved

    async def _run_stages(self, request, course, stream):
        while course.stage is not None:
            answer = await self._run_stage(request, course, stream)
            stage = course.stage
            if is_failure(answer):
                self._router.sampling.sampler.record_answer(
                    request, stage.version, answer
                )
                if course.best() is None:
                    return answer
                course.fail()
                break
            rating = await self._rate(request, stage, answer, course.is_raised)
            self._router.sampling.sampler.record_answer(
                request, stage.version, answer, rating
            )
            result = _stage_result(stage.version, answer, rating)
            course.take(answer, result, self._clock.now_ms())
        self._note(request, "stages", course.reason, ran=len(course.results))
        return _served(course)

    async def _run_stage(self, request, course, stream):
        """Run the next stage, or the one after it where that has a slot sooner."""
        asked_ms = self._clock.now_ms()
        grant = await self._router.gate.acquire(self._ask_for_slot(request, course))
        if is_failure(grant):
            self._note(request, "admission", grant.reason.name, detail=grant.detail)
            return grant
        granted_ms = self._clock.now_ms()
        self._note(
            request,
            "admission",
            "granted",
            pool=grant.pool,
            waited_ms=round(granted_ms - asked_ms, 1),
        )
        course.skip_to(grant.pool)
        version = course.stage.version
        self._router.retry_budget.record_request(request.service.name)
        try:
            answer = await self._router.attempts.run(request, version, stream)
        finally:
            self._router.gate.release(grant)
        if not is_failure(answer):
            seconds = (self._clock.now_ms() - granted_ms) / 1000
            self._cost(request, version).learn(answer.tokens, seconds)
        return answer

    def _ask_for_slot(self, request, course):
        """Return the question for a slot in every pool that may be used."""
        version = course.stage.version
        question = AdmissionRequest(
            request.request_id,
            request.organisation.name,
            request.organisation.weight,
            (version.name,),
            request.deadline_ms,
            self._cost(request, version).seconds * 1000,
            request.purpose.is_short,
        )
        following = course.following
        if following is None:
            return question
        planner = self._router.planner
        wait_ms = self._router.gate.expected_wait_ms(question)
        now_ms = self._clock.now_ms()
        if planner.is_worth_skipping(
            course.query, version, following.version, wait_ms, now_ms
        ):
            question.pools = (version.name, following.version.name)
        return question

    async def _rate(self, request, stage, answer, is_raised):
        """Return the rating of an answer, or None without one in time."""
        if request.service.kind != MODEL_SERVICE:
            return None
        router = self._router
        question = RatingQuestion(
            request.request_id,
            request.service,
            request.purpose,
            stage.version,
            answer.text,
            stage.accept_at or request.purpose.quality,
            is_raised,
        )
        if stage.accept_at is None:
            query = PlanQuery.from_request(request, None)
            now_ms = self._clock.now_ms()
            if router.planner.wants_background_rating(query, stage.version, now_ms):
                router.rater.rate_later(question)
            return None
        rating = await router.rater.rate(question, request.deadline_ms)
        reason = "no rating"
        if rating is not None:
            reason = "good enough" if rating >= stage.accept_at else "too low"
        self._note(
            request,
            "rating",
            reason,
            version=stage.version.name,
            rating=rating,
            wanted=stage.accept_at,
        )
        return rating

    def _cost(self, request, version):
        return self._router.estimates.cost(request.service, request.purpose, version)

    def _note(self, request, step, reason, **details):
        self._router.ring.note(request.request_id, step, reason, **details)


def _stage_result(version, answer, rating):
    cost = version.cost * answer.tokens / TOKENS_PER_PRICE
    if not answer.text:
        cost = version.cost
    return StageResult(version.name, answer.tokens, cost, rating)


def _served(course):
    best = course.best()
    return ServedResult(
        best.answer.status,
        best.answer.content_type,
        best.answer.body,
        best.result.version,
        course.results,
        sum(result.cost for result in course.results),
    )
