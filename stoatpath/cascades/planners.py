"""Plans on which version a request starts and to which ones it may escalate."""

from statistics import NormalDist

from stoatpath.cascades.messages import Plan, Stage

# The cost of a version is given per this number of tokens.
COST_BASIS_TOKENS = 1_000
# Share of single-stage plans that try the cheapest version although its estimate is
# too low. It is divided by 1 + the exposure weight.
SINGLE_STAGE_EXPLORATION_SHARE = 0.02
# Share of cascade plans that start on the cheapest allowed version.
CASCADE_EXPLORATION_SHARE = 0.03
# Share of answers accepted without a rating that are rated in the background.
BACKGROUND_RATING_SHARE = 0.1
# Below this number of ratings, every answer of a version is rated.
WELL_KNOWN_RATING_COUNT = 30.0
# Standard deviation of the error of one rating.
RATING_NOISE_DEVIATION = 0.03
# Upper bound of the threshold above the target, in `RATING_NOISE_DEVIATION`.
MAX_DEVIATIONS = 2.5
_NORMAL = NormalDist()


class Planner:
    """Plans one stage or a cascade by its expected price.

    The price, in cost units, is the cost plus weighted latency plus the exposure:
    the probability of a bad answer times the `exposure_weight` of the service. A
    cascade is compared by a drawn acceptance probability of its first version
    (Thompson sampling), so that a version with few ratings is tried at times. A
    single stage must meet the quality target, except for the last version.
    """

    __slots__ = ("_estimates", "_random")

    def __init__(self, estimates, random):
        self._estimates = estimates
        self._random = random

    def plan(self, query, versions, now_ms):
        """Return a plan over versions that are sorted by ascending cost."""
        if len(versions) == 1:
            return Plan([Stage(versions[0], None)], "one version")
        adequate = [
            version
            for version in versions
            if self._meets_target(query, version, now_ms)
        ]
        if not query.is_repeatable or query.is_stream:
            return self._plan_single_stage(query, versions, adequate, now_ms)
        if query.opens_session:
            first = self._best_single_stage(query, versions, adequate, now_ms)
            versions = versions[versions.index(first) :]
        if self._random.random() < CASCADE_EXPLORATION_SHARE:
            return Plan(
                self._stages(query, versions), "exploration from the cheapest version"
            )
        return self._plan_cascade(query, versions, now_ms)

    def needs_background_rating(self, query, version, now_ms):
        """Return whether to rate an answer that was accepted without a rating."""
        estimate = self._quality_estimate(query, version, False)
        if estimate.rating_count(now_ms) < WELL_KNOWN_RATING_COUNT:
            return True
        return self._random.random() < BACKGROUND_RATING_SHARE

    def accepts_unrated(self, query, version, next_version, is_escalated, now_ms):
        """Return whether to accept an answer whose rating is missing."""
        estimate = self._quality_estimate(query, version, is_escalated)
        if estimate.expected_quality(now_ms) < query.purpose.quality:
            return False
        chance_bad = 1 - estimate.chance_good(now_ms)
        exposure = query.service.objective.exposure_weight * chance_bad
        return exposure <= self._stage_price(query, next_version)

    def should_skip_to_next(self, query, version, next_version, wait_ms, now_ms):
        """Return whether to run on the next version instead of waiting for a slot."""
        ready_ms = now_ms + wait_ms
        if ready_ms + self.expected_seconds(query, version) * 1000 > query.deadline_ms:
            return True
        extra = self._stage_price(query, next_version) - self._stage_price(
            query, version
        )
        return extra < query.service.objective.latency_weight * wait_ms / 1000

    def expected_seconds(self, query, version):
        """Return the expected duration of a stage."""
        return self._usage_estimate(query, version).seconds

    def _plan_single_stage(self, query, versions, adequate, now_ms):
        """Return one stage: the answer can't be withdrawn or the request repeated."""
        cheapest = versions[0]
        if cheapest not in adequate and self._explores_single_stage(query):
            return Plan([Stage(cheapest, None)], "one stage: exploration")
        best = self._best_single_stage(query, versions, adequate, now_ms)
        return Plan([Stage(best, None)], "one stage: lowest price")

    def _best_single_stage(self, query, versions, adequate, now_ms):
        """Return the version with the lowest price among `adequate` and the last."""
        candidates = [*adequate, versions[-1]]
        return min(
            candidates, key=lambda each: self._single_stage_price(query, each, now_ms)
        )

    def _explores_single_stage(self, query):
        weight = query.service.objective.exposure_weight
        return self._random.random() < SINGLE_STAGE_EXPLORATION_SHARE / (1 + weight)

    def _plan_cascade(self, query, versions, now_ms):
        chances = [
            self._quality_estimate(query, version, False).sample_acceptance(
                now_ms, self._random
            )
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
            if not self._meets_target(query, version, now_ms):
                continue
            price = self._single_stage_price(query, version, now_ms)
            if price < best_price:
                reason = f"one stage: cheaper than any cascade {price:.4f}"
                return Plan([Stage(version, None)], reason)
        stages = self._stages(query, versions[best_start:])
        return Plan(stages, f"least expected price {best_price:.4f}")

    def _stages(self, query, versions):
        """Return rated stages, or one unrated stage for a single version.

        The threshold of the last rated stage is the quality target.
        """
        if len(versions) == 1:
            return [Stage(versions[0], None)]
        stages = [
            Stage(version, self._accept_threshold(query, next_version))
            for version, next_version in zip(versions, versions[1:])
        ]
        return [*stages, Stage(versions[-1], query.purpose.quality)]

    def _accept_threshold(self, query, next_version):
        """Return the lowest rating at which an answer is accepted.

        Ratings are noisy: an answer rated at the target is bad half of the time.
        The threshold is the rating at which the expected exposure to a bad answer
        costs no more than the next stage.
        """
        target = query.purpose.quality
        exposure = query.service.objective.exposure_weight
        price = self._stage_price(query, next_version)
        if exposure <= 0.0 or price >= exposure / 2:
            return target
        deviations = (
            _NORMAL.inv_cdf(1 - price / exposure) if price > 0 else MAX_DEVIATIONS
        )
        return target + RATING_NOISE_DEVIATION * min(MAX_DEVIATIONS, deviations)

    def _cascade_price(self, query, versions, chances, start, now_ms):
        objective = query.service.objective
        rating_price = objective.latency_weight * self._estimates.rating_seconds
        price = 0.0
        reach_probability = 1.0
        for index in range(start, len(versions)):
            chance = chances[index]
            if index > start:
                escalated = self._quality_estimate(query, versions[index], True)
                chance = escalated.chance_good(now_ms)
            price += reach_probability * self._stage_price(query, versions[index])
            if start < len(versions) - 1:
                price += reach_probability * rating_price
            reach_probability *= 1 - chance
        return price + reach_probability * objective.exposure_weight

    def _single_stage_price(self, query, version, now_ms):
        chance = self._quality_estimate(query, version, False).chance_good(now_ms)
        exposure = query.service.objective.exposure_weight * (1 - chance)
        return self._stage_price(query, version) + exposure

    def _stage_price(self, query, version):
        estimate = self._usage_estimate(query, version)
        weight = query.service.objective.latency_weight
        cost = version.cost * estimate.tokens / COST_BASIS_TOKENS
        return cost + weight * estimate.seconds

    def _meets_target(self, query, version, now_ms):
        estimate = self._quality_estimate(query, version, False)
        return estimate.quality_lower_bound(now_ms) >= query.purpose.quality

    def _quality_estimate(self, query, version, is_escalated):
        return self._estimates.quality(
            query.service, query.purpose, version, is_escalated
        )

    def _usage_estimate(self, query, version):
        return self._estimates.usage(query.service, query.purpose, version)
