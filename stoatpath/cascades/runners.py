"""Runs the stages of a plan until an answer is good enough."""

from stoatpath.admission.messages import AdmissionRequest
from stoatpath.callers.messages import Served
from stoatpath.cascades.messages import StageResult
from stoatpath.cascades.versions import find_versions
from stoatpath.outcomes import NO_BACKEND, Failure, Outcome, is_failure

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
        pin = parts.pins.find(request)
        versions, moved = find_versions(
            parts.follower.snapshot, parts.assigner, request, pin
        )
        if not versions:
            return Failure(NO_BACKEND, "no version is open for this request")
        plan = parts.planner.plan(request, versions, {})
        names = [stage.version.name for stage in plan.stages]
        parts.ring.note(request.request_id, "plan", plan.reason, stages=names)
        served = await self._run_stages(request, plan, stream)
        if not is_failure(served) and request.session:
            served.session = parts.pins.keep(
                request, pin, served.version, self._clock.wall_ms()
            )
            served.session_moved = moved
        return served

    async def _run_stages(self, request, plan, stream):
        results = []
        for stage in plan.stages:
            answer = await self._run_stage(request, stage, stream)
            if is_failure(answer):
                self._parts.sampling.sampler.take(request, stage.version, answer)
                return _with_history(answer, results)
            rating = await self._rate(request, stage, answer)
            self._parts.sampling.sampler.take(request, stage.version, answer, rating)
            results.append(_stage_result(stage.version, answer, rating))
            if stage.accept_at is None or rating is None or rating >= stage.accept_at:
                break
        return _served(answer, results)

    async def _run_stage(self, request, stage, stream):
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
            return grant
        try:
            return await self._parts.attempts.run(request, stage.version, stream)
        finally:
            self._parts.gate.leave(grant)

    async def _rate(self, request, stage, answer):
        if stage.accept_at is None:
            return None
        rating = await self._parts.ratings.rate(
            request.request_id, request.purpose.name, stage.version.name, answer.text
        )
        if is_failure(rating):
            return None
        self._parts.estimates.learn(
            request.service.name,
            request.purpose.name,
            stage.version.name,
            rating >= stage.accept_at,
        )
        return rating


def _stage_result(version, answer, rating):
    cost = version.cost * answer.tokens / TOKENS_PER_PRICE
    if not answer.text:
        cost = version.cost
    return StageResult(version.name, answer.tokens, cost, rating)


def _served(answer, results):
    cost = sum(result.cost for result in results)
    return Served(
        answer.status,
        answer.content_type,
        answer.body,
        results[-1].version,
        results,
        cost,
    )


def _with_history(failure, results):
    """Return a failure that does not claim `not-run` once a stage has run."""
    if results and failure.outcome is Outcome.NOT_RUN:
        return Failure(failure.reason, failure.detail, Outcome.UNKNOWN)
    return failure
