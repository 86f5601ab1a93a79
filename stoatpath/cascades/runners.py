"""Runs the stages of a plan until an answer is good enough."""

from stoatpath.admission.messages import AdmissionRequest
from stoatpath.callers.messages import Served
from stoatpath.cascades.courses import Course
from stoatpath.cascades.messages import PlanQuery, StageResult
from stoatpath.cascades.raters import RatingQuestion
from stoatpath.cascades.versions import find_versions
from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.outcomes import NO_BACKEND, Failure, is_failure

TOKENS_PER_PRICE = 1_000


class StageRunner:
    """Takes a request through its session, plan, slots, attempts and ratings.

    `parts` is the router that holds the slices.
    """

    __slots__ = ("_parts", "_clock")

    def __init__(self, parts):
        self._parts = parts
        self._clock = parts.clock

    async def run(self, request, stream):
        """Return `Served` or a failure."""
        parts = self._parts
        pin = await parts.pins.find(request)
        if is_failure(pin):
            return pin
        versions, moved = find_versions(
            parts.follower.snapshot, parts.assigner, request, pin
        )
        if not versions:
            return Failure(NO_BACKEND, "no version is open for this request")
        query = PlanQuery.from_request(request, pin)
        plan = parts.planner.plan(query, versions, self._clock.now_ms())
        names = [stage.version.name for stage in plan.stages]
        parts.ring.note(
            request.request_id,
            "plan",
            plan.reason,
            stages=names,
            session="" if pin is None else pin.version,
            moved=moved,
        )
        if stream is not None:
            parts.pins.announce(request, pin, names[0], moved, stream)
        course = Course(parts.planner, query, plan)
        served = await self._run_stages(request, course, stream)
        if not is_failure(served) and request.session:
            await self._keep_session(request, pin, served, moved)
        return served

    async def _keep_session(self, request, pin, served, moved):
        kept = self._parts.pins.prepare(request, pin, served.version)
        if not request.is_stream:
            await self._parts.pins.keep(request, pin, kept)
        served.session = self._parts.pins.token(kept)
        served.session_moved = moved

    async def _run_stages(self, request, course, stream):
        while (stage := course.stage) is not None:
            started_ms = self._clock.now_ms()
            answer = await self._run_stage(request, stage, stream)
            if is_failure(answer):
                self._parts.sampling.sampler.take(request, stage.version, answer)
                if course.best() is None:
                    return answer
                course.fail()
                break
            seconds = (self._clock.now_ms() - started_ms) / 1000
            self._learn_cost(request, stage, answer, seconds)
            rating = await self._rate(request, stage, answer, course.is_raised)
            self._parts.sampling.sampler.take(request, stage.version, answer, rating)
            result = _stage_result(stage.version, answer, rating)
            course.take(answer, result, self._clock.now_ms())
        self._note(request, "stages", course.reason, ran=len(course.results))
        return _served(course)

    async def _run_stage(self, request, stage, stream):
        asked_ms = self._clock.now_ms()
        grant = await self._parts.gate.enter(
            AdmissionRequest(
                request.request_id,
                request.organisation.name,
                request.organisation.weight,
                (stage.version.name,),
                request.deadline_ms,
                0.0,
                request.purpose.is_short,
            )
        )
        if is_failure(grant):
            self._note(request, "admission", grant.reason.name, detail=grant.detail)
            return grant
        self._note(
            request,
            "admission",
            "granted",
            pool=grant.pool,
            waited_ms=round(self._clock.now_ms() - asked_ms, 1),
        )
        try:
            return await self._parts.attempts.run(request, stage.version, stream)
        finally:
            self._parts.gate.leave(grant)

    async def _rate(self, request, stage, answer, is_raised):
        """Return the rating of an answer, or None without one in time."""
        if request.service.kind != MODEL_SERVICE:
            return None
        parts = self._parts
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
            if parts.planner.wants_background_rating(query, stage.version, now_ms):
                parts.rater.rate_later(question)
            return None
        rating = await parts.rater.rate(question, request.deadline_ms)
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

    def _learn_cost(self, request, stage, answer, seconds):
        estimate = self._parts.estimates.cost(
            request.service, request.purpose, stage.version
        )
        estimate.learn(answer.tokens, seconds)

    def _note(self, request, step, reason, **details):
        self._parts.ring.note(request.request_id, step, reason, **details)


def _stage_result(version, answer, rating):
    cost = version.cost * answer.tokens / TOKENS_PER_PRICE
    if not answer.text:
        cost = version.cost
    return StageResult(version.name, answer.tokens, cost, rating)


def _served(course):
    best = course.best()
    return Served(
        best.answer.status,
        best.answer.content_type,
        best.answer.body,
        best.result.version,
        course.results,
        sum(result.cost for result in course.results),
    )
