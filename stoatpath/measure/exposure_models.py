"""A roll-out over many routers in virtual time, around the real judge and assigner.

Requests arrive at random routers; answers and ratings take time; counts travel
from routers over collectors to the judge, and a verdict travels back in two hops.
Only these delays are modelled: who gets which version, what is sampled, what the
judge sees and says is decided by the code of the routers and controllers.
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
LOOK_MS = 200
ANSWER_MEDIAN_MS = 700.0
ANSWER_SIGMA = 0.6
RATING_MS = 100.0
HOP_MS = 2.5
SEND_MS = 0.3
LOST_SHARE = 0.01
GOSSIP_MEAN_MS = 500.0
RATING_SPREAD = 0.15
MAX_SIMULATED_MS = 240_000.0


class Disturbance:
    """What goes wrong in one trial.

    `turns_ms` is when the new version's quality begins to fall by `drop`, over
    `drift_ms`; the rest concerns ratings: extra delay, the share that never
    comes, and the bias in favour of the new version.
    """

    __slots__ = ("turns_ms", "drop", "drift_ms", "late_ms", "missing", "bias")

    def __init__(
        self, turns_ms=0.0, drop=0.3, drift_ms=0.0, late_ms=0.0, missing=0.0, bias=0.0
    ):
        self.turns_ms = turns_ms
        self.drop = drop
        self.drift_ms = drift_ms
        self.late_ms = late_ms
        self.missing = missing
        self.bias = bias

    def drop_at(self, now_ms):
        """Return by how much the new version is worse at a time."""
        if now_ms < self.turns_ms:
            return 0.0
        if self.drift_ms == 0:
            return self.drop
        return self.drop * min(1.0, (now_ms - self.turns_ms) / self.drift_ms)


class _FixedFollower:
    """Holds one configuration in force."""

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
        self.owner = RolloutEvaluator(self.rollout)
        self.counters = RatingCounters()
        self.sources = [Source(f"router-{index}", 1) for index in range(ROUTERS)]
        self.stops_ms = None
        self.exposure = 0
        self.ratings = 0
        self.suspended_ms = None
        self._purposes = list(deployment.traffic())
        self._organisation = deployment.organisations[0]
        self._service = deployment.service.name
        self._arriving = []
        self._serial = 0

    def run(self):
        """Simulate until the last router has stopped, or the time is over."""
        now_ms = 0.0
        while now_ms < MAX_SIMULATED_MS:
            if self.stops_ms is not None and now_ms >= max(self.stops_ms):
                return
            self._arrive(now_ms)
            self._deliver(now_ms)
            if self.stops_ms is None and now_ms % LOOK_MS == 0:
                self._look(now_ms)
            now_ms += TICK_MS

    def _arrive(self, now_ms):
        expected = REQUESTS_PER_S * TICK_MS / 1000
        count = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(count):
            self._request(now_ms + self.rng.random() * TICK_MS)

    def _request(self, now_ms):
        self._serial += 1
        key = f"request-{self._serial}-{self.rng.random()}"
        router = self.rng.randrange(ROUTERS)
        version = self.assigner.assign(
            self.model, self._organisation, self._service, key
        )
        is_new = version is self.version
        if is_new and self.stops_ms is not None and now_ms >= self.stops_ms[router]:
            return
        drop = self.disturbance.drop_at(now_ms) if is_new else 0.0
        if drop > 0:
            self.exposure += 1
        chance = sampling_chance(self.rollout, self.share, is_new)
        if is_sampled(key, version.name, chance):
            self._rate(now_ms, router, version, key, drop)

    def _rate(self, now_ms, router, version, key, drop):
        disturbance = self.disturbance
        if self.rng.random() < disturbance.missing:
            return
        self.ratings += 1
        purpose = self._draw_purpose()
        score = self.rng.gauss(purpose.quality + 0.1 - drop, RATING_SPREAD)
        if version is self.version:
            score += disturbance.bias
        answer_ms = ANSWER_MEDIAN_MS * self.rng.lognormvariate(0, ANSWER_SIGMA)
        transfer_ms = 2 * HOP_MS + self.rng.uniform(0, 2 * REPORT_PERIOD_MS)
        late_ms = disturbance.late_ms * self.rng.expovariate(1.0)
        known_ms = now_ms + answer_ms + RATING_MS + late_ms + transfer_ms
        arm = Arm("trial", 1, version.name, purpose.name)
        level = rating_level(score, key)
        item = (known_ms, self._serial, router, arm, level)
        heapq.heappush(self._arriving, item)

    def _draw_purpose(self):
        point = self.rng.random()
        for purpose, traffic in self._purposes:
            point -= traffic.share
            if point <= 0:
                return purpose
        return self._purposes[-1][0]

    def _deliver(self, now_ms):
        while self._arriving and self._arriving[0][0] <= now_ms:
            _, _, router, arm, level = heapq.heappop(self._arriving)
            self.counters.count(self.sources[router], arm, level)

    def _look(self, now_ms):
        found = self.owner.decide(
            self.model, self.version, self.progress, self.counters, now_ms, 0
        )
        if isinstance(found, Verdict):
            self.suspended_ms = now_ms
            self.stops_ms = self._spread(now_ms)

    def _spread(self, now_ms):
        """Return when each router has the verdict."""
        stops_ms = [0.0] * ROUTERS
        for turn, group in enumerate(split_groups(list(range(ROUTERS)))):
            head_ms = now_ms + (turn + 1) * SEND_MS + HOP_MS
            stops_ms[group[0]] = head_ms
            for place, router in enumerate(group[1:]):
                stops_ms[router] = head_ms + (place + 1) * SEND_MS + HOP_MS
        for router in range(ROUTERS):
            if self.rng.random() < LOST_SHARE:
                stops_ms[router] += self.rng.expovariate(1 / GOSSIP_MEAN_MS)
        return stops_ms
