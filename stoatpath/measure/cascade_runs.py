"""Runs the planner, its estimates and the baselines on one compressed day."""

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
KEYED_SHARE = 0.02  # requests with an idempotency key, which are not repeatable
RATING_TIMEOUT_SECONDS = 0.5


class Outcome:
    """The cost, quality and duration of one request."""

    __slots__ = ("purpose", "cost", "quality", "seconds")

    def __init__(self, purpose, cost, quality, seconds):
        self.purpose = purpose
        self.cost = cost
        self.quality = quality
        self.seconds = seconds

    @property
    def is_good(self):
        """Return whether the answer meets the quality target."""
        return self.quality >= self.purpose.quality


class SimulatedRequest:
    """One arrival with its query and its drawn answers."""

    __slots__ = ("arrival", "query", "draw")

    def __init__(self, arrival, query, draw):
        self.arrival = arrival
        self.query = query
        self.draw = draw


class CascadeRun:
    """One day of one deployment, with one fault of the rating service."""

    __slots__ = (
        "deployment",
        "versions",
        "requests",
        "_seed",
        "_pinned_version_by_session",
    )

    def __init__(self, deployment, fault, seed):
        self.deployment = deployment
        self.versions = deployment.versions
        self._seed = seed
        self._pinned_version_by_session = {}
        rng = random.Random(f"{seed} workload")
        model = AnswerModel(rng, fault, SECONDS)
        self.requests = []
        for arrival in Workload(deployment, rng, PEAK_PER_S, SECONDS).arrivals():
            query = PlanQuery(
                deployment.service,
                arrival.purpose,
                rng.random() >= KEYED_SHARE,
                rng.random() < STREAM_SHARE,
                bool(arrival.session) and arrival.turn == 0,
                arrival.deadline_ms,
            )
            self.requests.append(SimulatedRequest(arrival, query, model.draw(arrival)))

    def run_most_expensive(self):
        """Return outcomes of always using the most expensive version."""
        return [
            self._run_single_version(request, len(self.versions) - 1)
            for request in self.requests
        ]

    def run_oracle(self):
        """Return outcomes of using the cheapest version that meets the target."""
        outcomes = []
        for request in self.requests:
            target = request.query.purpose.quality
            qualities = request.draw.qualities
            indexes = [
                index for index, each in enumerate(qualities) if each >= target
            ] or [qualities.index(max(qualities))]
            outcomes.append(self._run_single_version(request, indexes[0]))
        return outcomes

    def run_cheapest_first(self):
        """Return outcomes of starting with the cheapest and escalating on low ratings.

        Streams and non-repeatable calls stay on the cheapest version, and sessions
        on the version that answered their first turn, as in the router.
        """
        outcomes = []
        index_by_session = {}
        last = len(self.versions) - 1
        for request in self.requests:
            session = request.arrival.session
            if request.arrival.turn:
                outcomes.append(
                    self._run_single_version(request, index_by_session[session])
                )
                continue
            outcome, index = self._run_single_version(request, 0), 0
            if request.query.is_repeatable and not request.query.is_stream:
                outcome.seconds += RATING_SECONDS
                rating = request.draw.ratings[0]
                if rating is not None and rating < request.query.purpose.quality:
                    first, outcome, index = (
                        outcome,
                        self._run_single_version(request, last),
                        last,
                    )
                    outcome.cost += first.cost
                    outcome.seconds += first.seconds
            if session:
                index_by_session[session] = index
            outcomes.append(outcome)
        return outcomes

    def run_router(self):
        """Return outcomes of the router's planner, which updates its estimates."""
        events = EventQueue()
        estimates = Estimates()
        planner = Planner(estimates, random.Random(f"{self._seed} planner"))
        outcomes = []
        for request in self.requests:
            events.run_until(request.arrival.at_ms)
            outcomes.append(self._run_planned(request, planner, estimates, events))
        return outcomes

    def _run_planned(self, request, planner, estimates, events):
        arrival = request.arrival
        now_ms = events.now_ms
        versions = self.versions
        if arrival.session in self._pinned_version_by_session and arrival.turn:
            versions = [self._pinned_version_by_session[arrival.session]]
        plan = planner.plan(request.query, versions, now_ms)
        execution = PlanExecution(planner, request.query, plan)
        seconds = 0.0
        while (stage := execution.stage) is not None:
            index = self.versions.index(stage.version)
            stage_seconds = arrival.tokens * TOKEN_SECONDS[index]
            seconds += stage_seconds
            self._usage_estimate(request, stage, estimates).record_answer(
                arrival.tokens, stage_seconds
            )
            rating = self._rating_in_time(
                request, stage, execution, planner, estimates, events
            )
            if stage.accept_threshold is not None:
                in_time = rating is not None
                seconds += RATING_SECONDS if in_time else RATING_TIMEOUT_SECONDS
            cost = stage.version.cost * arrival.tokens / COST_BASIS_TOKENS
            result = StageResult(stage.version.name, arrival.tokens, cost, rating)
            execution.record_result(index, result, now_ms + seconds * 1000)
        best = execution.best_answer()
        if arrival.session:
            self._pinned_version_by_session[arrival.session] = self.versions[
                best.answer
            ]
        cost = sum(result.cost for result in execution.results)
        quality = request.draw.qualities[best.answer]
        return Outcome(request.query.purpose, cost, quality, seconds)

    def _rating_in_time(self, request, stage, execution, planner, estimates, events):
        """Return an awaited rating that is in time; record others a minute later."""
        index = self.versions.index(stage.version)
        rating = request.draw.ratings[index]
        is_awaited = stage.accept_threshold is not None
        if not is_awaited and not planner.needs_background_rating(
            request.query, stage.version, events.now_ms
        ):
            return None
        if rating is None:
            return None
        rated = RatedAnswer(
            self.deployment.service,
            request.query.purpose,
            stage.version,
            rating,
            stage.accept_threshold or request.query.purpose.quality,
            execution.is_escalated,
        )
        if is_awaited and not request.draw.is_late[index]:
            estimates.record_rating_duration(RATING_SECONDS)
            estimates.record_rating(rated, events.now_ms)
            return rating
        received_ms = events.now_ms + 60_000.0
        events.schedule(received_ms, estimates.record_rating, rated, received_ms)
        return None

    def _usage_estimate(self, request, stage, estimates):
        return estimates.usage(
            self.deployment.service, request.query.purpose, stage.version
        )

    def _run_single_version(self, request, index):
        tokens = request.arrival.tokens
        cost = self.versions[index].cost * tokens / COST_BASIS_TOKENS
        quality = request.draw.qualities[index]
        seconds = tokens * TOKEN_SECONDS[index]
        return Outcome(request.query.purpose, cost, quality, seconds)
