"""A roll-out over many routers in virtual time, with the real evaluator and assigner.

Requests arrive at random routers; answers and ratings take time; counts travel
from routers through collectors to the evaluator, and a verdict returns in two hops.
Only these delays are modelled: the assignment of versions, the sampling and the
evaluation are done by the code of the routers and controllers.
"""

import heapq
import random

from stoatpath.configuration.messages import ROLLOUT, Change
from stoatpath.rollouts.assigners import VersionAssigner
from stoatpath.rollouts.counters import RatingCounters
from stoatpath.rollouts.messages import Arm, Source, Step, Verdict
from stoatpath.rollouts.progress import Progress
from stoatpath.rollouts.reporters import REPORT_PERIOD_MS
from stoatpath.rollouts.rollout_evaluators import RolloutEvaluator
from stoatpath.rollouts.samplers import is_sampled, rating_level, sampling_chance
from stoatpath.rollouts.spreaders import split_groups

ROUTERS = 540
REQUESTS_PER_S = 517.0
TICK_MS = 50
EVALUATION_PERIOD_MS = 200
ANSWER_MEDIAN_MS = 700.0
ANSWER_SIGMA = 0.6
RATING_MS = 100.0
HOP_MS = 2.5
SEND_MS = 0.3
LOST_VERDICT_SHARE = 0.01
GOSSIP_MEAN_MS = 500.0
RATING_DEVIATION = 0.15
MAX_SIMULATED_MS = 240_000.0


class Disturbance:
    """The faults of one trial.

    From `onset_ms` on, the quality of the new version falls by `quality_drop`, over
    `drift_ms`. The other fields concern ratings: their extra delay, the share that
    never arrives, and the bias in favour of the new version.
    """

    __slots__ = (
        "onset_ms",
        "quality_drop",
        "drift_ms",
        "extra_delay_ms",
        "missing_share",
        "rating_bias",
    )

    def __init__(
        self,
        onset_ms=0.0,
        quality_drop=0.3,
        drift_ms=0.0,
        extra_delay_ms=0.0,
        missing_share=0.0,
        rating_bias=0.0,
    ):
        self.onset_ms = onset_ms
        self.quality_drop = quality_drop
        self.drift_ms = drift_ms
        self.extra_delay_ms = extra_delay_ms
        self.missing_share = missing_share
        self.rating_bias = rating_bias

    def quality_drop_at(self, now_ms):
        """Return the quality drop of the new version at a time."""
        if now_ms < self.onset_ms:
            return 0.0
        if self.drift_ms == 0:
            return self.quality_drop
        return self.quality_drop * min(1.0, (now_ms - self.onset_ms) / self.drift_ms)


class _FixedFollower:
    """A configuration follower with a fixed snapshot."""

    __slots__ = ("snapshot",)

    def __init__(self, snapshot):
        self.snapshot = snapshot


class RolloutModel:
    """One roll-out of version 2 of the cheapest model of a deployment."""

    def __init__(self, deployment, plan, step_index, disturbance, seed):
        self.rng = random.Random(seed)
        self.disturbance = disturbance
        model_name = deployment.service.cascade[0]
        body = {"model": model_name, "to": "2", **plan}
        change = Change(ROLLOUT, "trial", body)
        snapshot = deployment.snapshot.with_changes(2, [change])
        self.model = snapshot.models_by_name[model_name]
        self.progress = Progress()
        self.assigner = VersionAssigner(self.progress, _FixedFollower(snapshot))
        self.rollout = self.assigner.rollout_of(model_name)
        self.version = snapshot.versions_by_name[self.rollout.version]
        self.progress.record_step(Step(self.version.name, 1, step_index))
        self.share = self.progress.share(self.rollout, self.version)
        self.evaluator = RolloutEvaluator(self.rollout)
        self.counters = RatingCounters()
        self.sources = [Source(f"router-{index}", 1) for index in range(ROUTERS)]
        self.stop_times_ms = None
        self.exposed_requests = 0
        self.ratings = 0
        self.suspended_ms = None
        self._purposes = list(deployment.traffic())
        self._organisation = deployment.organisations[0]
        self._service = deployment.service.name
        self._pending_ratings = []
        self._request_count = 0

    def run(self):
        """Simulate until all routers have stopped the version, or the time is over."""
        now_ms = 0.0
        while now_ms < MAX_SIMULATED_MS:
            if self.stop_times_ms is not None and now_ms >= max(self.stop_times_ms):
                return
            self._generate_requests(now_ms)
            self._deliver_ratings(now_ms)
            if self.stop_times_ms is None and now_ms % EVALUATION_PERIOD_MS == 0:
                self._evaluate(now_ms)
            now_ms += TICK_MS

    def _generate_requests(self, now_ms):
        expected = REQUESTS_PER_S * TICK_MS / 1000
        count = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(count):
            self._serve_request(now_ms + self.rng.random() * TICK_MS)

    def _serve_request(self, now_ms):
        self._request_count += 1
        key = f"request-{self._request_count}-{self.rng.random()}"
        router = self.rng.randrange(ROUTERS)
        version = self.assigner.assign(
            self.model, self._organisation, self._service, key
        )
        is_new = version is self.version
        if (
            is_new
            and self.stop_times_ms is not None
            and now_ms >= self.stop_times_ms[router]
        ):
            return
        quality_drop = self.disturbance.quality_drop_at(now_ms) if is_new else 0.0
        if quality_drop > 0:
            self.exposed_requests += 1
        chance = sampling_chance(self.rollout, self.share, is_new)
        if is_sampled(key, version.name, chance):
            self._schedule_rating(now_ms, router, version, key, quality_drop)

    def _schedule_rating(self, now_ms, router, version, key, quality_drop):
        disturbance = self.disturbance
        if self.rng.random() < disturbance.missing_share:
            return
        self.ratings += 1
        purpose = self._draw_purpose()
        score = self.rng.gauss(purpose.quality + 0.1 - quality_drop, RATING_DEVIATION)
        if version is self.version:
            score += disturbance.rating_bias
        answer_ms = ANSWER_MEDIAN_MS * self.rng.lognormvariate(0, ANSWER_SIGMA)
        transfer_ms = 2 * HOP_MS + self.rng.uniform(0, 2 * REPORT_PERIOD_MS)
        extra_delay_ms = disturbance.extra_delay_ms * self.rng.expovariate(1.0)
        received_ms = now_ms + answer_ms + RATING_MS + extra_delay_ms + transfer_ms
        arm = Arm("trial", 1, version.name, purpose.name)
        level = rating_level(score, key)
        item = (received_ms, self._request_count, router, arm, level)
        heapq.heappush(self._pending_ratings, item)

    def _draw_purpose(self):
        point = self.rng.random()
        for purpose, traffic in self._purposes:
            point -= traffic.share
            if point <= 0:
                return purpose
        return self._purposes[-1][0]

    def _deliver_ratings(self, now_ms):
        while self._pending_ratings and self._pending_ratings[0][0] <= now_ms:
            _, _, router, arm, level = heapq.heappop(self._pending_ratings)
            self.counters.count(self.sources[router], arm, level)

    def _evaluate(self, now_ms):
        decision = self.evaluator.decide(
            self.model, self.version, self.progress, self.counters, now_ms, 0
        )
        if isinstance(decision, Verdict):
            self.suspended_ms = now_ms
            self.stop_times_ms = self._draw_stop_times(now_ms)

    def _draw_stop_times(self, now_ms):
        """Return the time at which each router receives the verdict."""
        stop_times_ms = [0.0] * ROUTERS
        for turn, group in enumerate(split_groups(list(range(ROUTERS)))):
            first_received_ms = now_ms + (turn + 1) * SEND_MS + HOP_MS
            stop_times_ms[group[0]] = first_received_ms
            for index, router in enumerate(group[1:]):
                stop_times_ms[router] = (
                    first_received_ms + (index + 1) * SEND_MS + HOP_MS
                )
        for router in range(ROUTERS):
            if self.rng.random() < LOST_VERDICT_SHARE:
                stop_times_ms[router] += self.rng.expovariate(1 / GOSSIP_MEAN_MS)
        return stop_times_ms
