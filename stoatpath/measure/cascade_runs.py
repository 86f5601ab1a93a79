"""Drives the planner and its estimates through one day of requests."""

import random

from stoatpath.cascades.estimates import Estimates
from stoatpath.cascades.messages import PlanQuery, RatedAnswer, StageResult
from stoatpath.cascades.plan_executions import PlanExecution
from stoatpath.cascades.planners import COST_BASIS_TOKENS, Planner
from stoatpath.measure.answer_models import (
    RATING_SECONDS,
    TOKEN_SECONDS,
    AnswerModel,
)
from stoatpath.measure.events import EventQueue
from stoatpath.measure.workloads import Workload

SECONDS = 1_200.0
PEAK_PER_S = 6.0
STREAM_SHARE = 0.15
KEYED_SHARE = 0.02
PATIENCE_SECONDS = 0.5


class Outcome:
    """What one request cost and how good and late its answer was."""

    __slots__ = ("purpose", "cost", "quality", "seconds")

    def __init__(self, purpose, cost, quality, seconds):
        self.purpose = purpose
        self.cost = cost
        self.quality = quality
        self.seconds = seconds

    @property
    def is_good(self):
        """Return whether the answer reached the target."""
        return self.quality >= self.purpose.quality


class Call:
    """One arrival with what was drawn for it."""

    __slots__ = ("arrival", "query", "draw")

    def __init__(self, arrival, query, draw):
        self.arrival = arrival
        self.query = query
        self.draw = draw


class CascadeRun:
    """One day of one deployment under one fault of the rating service."""

    __slots__ = ("deployment", "versions", "calls", "_seed", "_pins")

    def __init__(self, deployment, fault, seed):
        self.deployment = deployment
        self.versions = deployment.versions
        self._seed = seed
        self._pins = {}
        rng = random.Random(f"{seed} workload")
        model = AnswerModel(rng, fault, SECONDS)
        self.calls = []
        for arrival in Workload(deployment, rng, PEAK_PER_S, SECONDS).arrivals():
            query = PlanQuery(
                deployment.service,
                arrival.purpose,
                rng.random() >= KEYED_SHARE,
                rng.random() < STREAM_SHARE,
                bool(arrival.session) and arrival.turn == 0,
                arrival.deadline_ms,
            )
            self.calls.append(Call(arrival, query, model.draw(arrival)))

    def run_dearest(self):
        """Return outcomes of always taking the dearest version."""
        return [self._single(call, len(self.versions) - 1) for call in self.calls]

    def run_oracle(self):
        """Return outcomes of the cheapest version that is good enough."""
        outcomes = []
        for call in self.calls:
            target = call.query.purpose.quality
            qualities = call.draw.qualities
            places = [
                place for place, each in enumerate(qualities) if each >= target
            ] or [qualities.index(max(qualities))]
            outcomes.append(self._single(call, places[0]))
        return outcomes

    def run_ladder(self):
        """Return outcomes of always starting cheap and going up on a low rating.

        Streams and calls that may not be repeated stay on the cheap version,
        and sessions on the version that answered first, as with the router.
        """
        outcomes = []
        place_by_session = {}
        last = len(self.versions) - 1
        for call in self.calls:
            session = call.arrival.session
            if call.arrival.turn:
                outcomes.append(self._single(call, place_by_session[session]))
                continue
            outcome, place = self._single(call, 0), 0
            if call.query.is_repeatable and not call.query.is_stream:
                outcome.seconds += RATING_SECONDS
                rating = call.draw.ratings[0]
                if rating is not None and rating < call.query.purpose.quality:
                    first, outcome, place = outcome, self._single(call, last), last
                    outcome.cost += first.cost
                    outcome.seconds += first.seconds
            if session:
                place_by_session[session] = place
            outcomes.append(outcome)
        return outcomes

    def run_router(self):
        """Return outcomes of the router's planner, which learns as it goes."""
        events = EventQueue()
        estimates = Estimates()
        planner = Planner(estimates, random.Random(f"{self._seed} planner"))
        outcomes = []
        for call in self.calls:
            events.run_until(call.arrival.at_ms)
            outcomes.append(self._serve(call, planner, estimates, events))
        return outcomes

    def _serve(self, call, planner, estimates, events):
        arrival = call.arrival
        now_ms = events.now_ms
        versions = self.versions
        if arrival.session in self._pins and arrival.turn:
            versions = [self._pins[arrival.session]]
        plan = planner.plan(call.query, versions, now_ms)
        execution = PlanExecution(planner, call.query, plan)
        seconds = 0.0
        while (stage := execution.stage) is not None:
            place = self.versions.index(stage.version)
            stage_seconds = arrival.tokens * TOKEN_SECONDS[place]
            seconds += stage_seconds
            self._cost(call, stage, estimates).record_answer(
                arrival.tokens, stage_seconds
            )
            rating = self._rate(call, stage, execution, planner, estimates, events)
            if stage.accept_threshold is not None:
                in_time = rating is not None
                seconds += RATING_SECONDS if in_time else PATIENCE_SECONDS
            cost = stage.version.cost * arrival.tokens / COST_BASIS_TOKENS
            result = StageResult(stage.version.name, arrival.tokens, cost, rating)
            execution.record_result(place, result, now_ms + seconds * 1000)
        best = execution.best_answer()
        if arrival.session:
            self._pins[arrival.session] = self.versions[best.answer]
        cost = sum(result.cost for result in execution.results)
        quality = call.draw.qualities[best.answer]
        return Outcome(call.query.purpose, cost, quality, seconds)

    def _rate(self, call, stage, execution, planner, estimates, events):
        """Return the rating that comes in time or None; late ones are learned."""
        place = self.versions.index(stage.version)
        rating = call.draw.ratings[place]
        is_awaited = stage.accept_threshold is not None
        if not is_awaited and not planner.needs_background_rating(
            call.query, stage.version, events.now_ms
        ):
            return None
        if rating is None:
            return None
        rated = RatedAnswer(
            self.deployment.service,
            call.query.purpose,
            stage.version,
            rating,
            stage.accept_threshold or call.query.purpose.quality,
            execution.is_escalated,
        )
        if is_awaited and not call.draw.is_late[place]:
            estimates.record_rating_duration(RATING_SECONDS)
            estimates.record_rating(rated, events.now_ms)
            return rating
        learned_ms = events.now_ms + 60_000.0
        events.at(learned_ms, estimates.record_rating, rated, learned_ms)
        return None

    def _cost(self, call, stage, estimates):
        return estimates.usage(
            self.deployment.service, call.query.purpose, stage.version
        )

    def _single(self, call, place):
        tokens = call.arrival.tokens
        cost = self.versions[place].cost * tokens / COST_BASIS_TOKENS
        quality = call.draw.qualities[place]
        seconds = tokens * TOKEN_SECONDS[place]
        return Outcome(call.query.purpose, cost, quality, seconds)
