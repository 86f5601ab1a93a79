"""Plans where a request starts and how far it may go up."""

from statistics import NormalDist

from stoatpath.cascades.messages import Plan, Stage

TOKENS_PER_COST_UNIT = 1_000
SINGLE_EXPLORATION = 0.02
CASCADE_EXPLORATION = 0.03
BACKGROUND_SHARE = 0.1
CERTAIN_WEIGHT = 30.0
RATING_DEVIATION = 0.03
MAX_DEVIATIONS = 2.5
_NORMAL = NormalDist()


class Planner:
    """Takes the plan of least expected price that reaches the quality target.

    The price is cost, plus latency and the chance of a bad answer by the weights
    of the service. Chances are sampled by how likely they are, so that a version
    of which little is known is tried from time to time.
    """

    __slots__ = ("_estimates", "_random")

    def __init__(self, estimates, random):
        self._estimates = estimates
        self._random = random

    def plan(self, query, versions, now_ms):
        """Return a plan over versions given from cheap to dear."""
        if len(versions) == 1:
            return Plan([Stage(versions[0], None)], "one version")
        reachable = [
            version for version in versions if self._is_assured(query, version, now_ms)
        ]
        if not query.is_repeatable or query.is_stream:
            return self._plan_single(query, versions, reachable, now_ms)
        if query.opens_session:
            first = self._best_single(query, versions, reachable, now_ms)
            versions = versions[versions.index(first) :]
        if self._random.random() < CASCADE_EXPLORATION:
            return Plan(self._stages(query, versions), "tried from the cheapest")
        return self._plan_cascade(query, versions, now_ms)

    def needs_background_rating(self, query, version, now_ms):
        """Return whether an answer that nobody waits for is to be rated."""
        estimate = self._quality(query, version, False)
        if estimate.weight(now_ms) < CERTAIN_WEIGHT:
            return True
        return self._random.random() < BACKGROUND_SHARE

    def accepts_unrated(self, query, version, following, is_escalated, now_ms):
        """Return whether an answer whose rating is missing is good enough."""
        estimate = self._quality(query, version, is_escalated)
        if estimate.expected_quality(now_ms) < query.purpose.quality:
            return False
        chance_bad = 1 - estimate.chance_good(now_ms)
        exposure = query.service.objective.exposure_weight * chance_bad
        return exposure <= self._stage_price(query, following)

    def is_worth_skipping(self, query, version, following, wait_ms, now_ms):
        """Return whether to run on the following version rather than to wait."""
        ready_ms = now_ms + wait_ms
        if ready_ms + self.expected_seconds(query, version) * 1000 > query.deadline_ms:
            return True
        extra = self._stage_price(query, following) - self._stage_price(query, version)
        return extra < query.service.objective.latency_weight * wait_ms / 1000

    def expected_seconds(self, query, version):
        """Return how long a stage is expected to take."""
        return self._cost(query, version).seconds

    def _plan_single(self, query, versions, reachable, now_ms):
        """Return one stage: the answer can't be taken back or run again."""
        cheapest = versions[0]
        if cheapest not in reachable and self._explores_single(query):
            return Plan([Stage(cheapest, None)], "one stage: tried out")
        best = self._best_single(query, versions, reachable, now_ms)
        return Plan([Stage(best, None)], "one stage: least price at the target")

    def _best_single(self, query, versions, reachable, now_ms):
        """Return the least price among those that reach the target, and the last."""
        candidates = [*reachable, versions[-1]]
        return min(candidates, key=lambda each: self._single_price(query, each, now_ms))

    def _explores_single(self, query):
        weight = query.service.objective.exposure_weight
        return self._random.random() < SINGLE_EXPLORATION / (1 + weight)

    def _plan_cascade(self, query, versions, now_ms):
        chances = [
            self._quality(query, version, False).sample_accepted(now_ms, self._random)
            for version in versions
        ]
        best_start = len(versions) - 1
        best_price = float("inf")
        for start in range(len(versions)):
            price = self._cascade_price(query, versions, chances, start, now_ms)
            if price < best_price:
                best_start = start
                best_price = price
        for version in versions:
            if not self._is_assured(query, version, now_ms):
                continue
            price = self._single_price(query, version, now_ms)
            if price < best_price:
                reason = f"one stage: least expected price {price:.4f}"
                return Plan([Stage(version, None)], reason)
        stages = self._stages(query, versions[best_start:])
        return Plan(stages, f"least expected price {best_price:.4f}")

    def _stages(self, query, versions):
        """Return rated stages, the last one rated against the target alone."""
        if len(versions) == 1:
            return [Stage(versions[0], None)]
        stages = [
            Stage(version, self._accept_threshold(query, following))
            for version, following in zip(versions, versions[1:])
        ]
        return [*stages, Stage(versions[-1], query.purpose.quality)]

    def _accept_threshold(self, query, following):
        """Return the rating at which a bad answer is rare enough to accept.

        Ratings are noisy: an answer rated at the target is bad half of the time.
        The rating asked for is the one at which the exposure of a bad answer is
        worth no more than the price of going up.
        """
        target = query.purpose.quality
        exposure = query.service.objective.exposure_weight
        price = self._stage_price(query, following)
        if exposure <= 0.0 or price >= exposure / 2:
            return target
        distance = (
            _NORMAL.inv_cdf(1 - price / exposure) if price > 0 else MAX_DEVIATIONS
        )
        return target + RATING_DEVIATION * min(MAX_DEVIATIONS, distance)

    def _cascade_price(self, query, versions, chances, start, now_ms):
        objective = query.service.objective
        rating_price = objective.latency_weight * self._estimates.rating_seconds
        price = 0.0
        reach = 1.0
        for index in range(start, len(versions)):
            chance = chances[index]
            if index > start:
                raised = self._quality(query, versions[index], True)
                chance = raised.chance_good(now_ms)
            price += reach * self._stage_price(query, versions[index])
            if start < len(versions) - 1:
                price += reach * rating_price
            reach *= 1 - chance
        return price + reach * objective.exposure_weight

    def _single_price(self, query, version, now_ms):
        chance = self._quality(query, version, False).chance_good(now_ms)
        exposure = query.service.objective.exposure_weight * (1 - chance)
        return self._stage_price(query, version) + exposure

    def _stage_price(self, query, version):
        estimate = self._cost(query, version)
        weight = query.service.objective.latency_weight
        cost = version.cost * estimate.tokens / TOKENS_PER_COST_UNIT
        return cost + weight * estimate.seconds

    def _is_assured(self, query, version, now_ms):
        estimate = self._quality(query, version, False)
        return estimate.assured_quality(now_ms) >= query.purpose.quality

    def _quality(self, query, version, is_escalated):
        return self._estimates.quality(
            query.service, query.purpose, version, is_escalated
        )

    def _cost(self, query, version):
        return self._estimates.cost(query.service, query.purpose, version)
