"""Learns how good, long and slow the answers of each version are.

Estimates are kept by service, purpose and version, and apart for answers to
requests that an earlier stage could not serve: those are the harder ones.
"""

import math

PRIOR_WEIGHT = 1.0
PRIOR_QUALITY = 0.5
PRIOR_QUALITY_OF_LAST = 0.9
RATING_DECAY = 0.98
HALF_LIFE_MS = 900_000.0
QUALITY_DEVIATION = 0.25
QUALITY_CERTAINTY = 1.0
COST_SMOOTHING = 0.05
DEFAULT_TOKENS = 64.0


class QualityEstimate:
    """Discounted counts of good and bad answers, and the sum of their ratings.

    Each rating takes a little weight from the earlier ones, so that drift shows
    within a hundred ratings; time takes weight as well, so that a version
    that is not used becomes uncertain and is tried again. `prior` is the chance
    and the quality to expect before any rating. `accepted` counts the answers
    rated high enough to end a cascade, which may ask for more than the target.
    """

    __slots__ = ("prior", "good", "bad", "accepted", "quality", "learned_ms")

    def __init__(self, prior):
        self.prior = prior
        self.good = 0.0
        self.bad = 0.0
        self.accepted = 0.0
        self.quality = 0.0
        self.learned_ms = 0.0

    def record_rating(self, rating, target, accept_threshold, now_ms):
        """Take one rating."""
        self._scale(RATING_DECAY * self._freshness(now_ms))
        self.learned_ms = now_ms
        self.quality += rating
        self.accepted += rating >= accept_threshold
        if rating >= target:
            self.good += 1
        else:
            self.bad += 1

    def chance_good(self, now_ms):
        """Return the estimated chance that an answer is good enough."""
        good, bad = self._counts(now_ms)
        return good / (good + bad)

    def sample_accepted(self, now_ms, random):
        """Return a chance to be accepted, drawn by how likely it is."""
        fresh = self._freshness(now_ms)
        accepted = fresh * self.accepted
        refused = fresh * (self.good + self.bad) - accepted
        return random.betavariate(
            accepted + PRIOR_WEIGHT * self.prior,
            max(0.0, refused) + PRIOR_WEIGHT * (1 - self.prior),
        )

    def expected_quality(self, now_ms):
        """Return the mean rating to expect."""
        fresh = self._freshness(now_ms)
        weight = fresh * (self.good + self.bad)
        total = fresh * self.quality + PRIOR_WEIGHT * self.prior
        return total / (weight + PRIOR_WEIGHT)

    def assured_quality(self, now_ms):
        """Return a mean rating that is likely reached."""
        weight = self._freshness(now_ms) * (self.good + self.bad)
        doubt = QUALITY_CERTAINTY * QUALITY_DEVIATION / math.sqrt(weight + 1)
        return self.expected_quality(now_ms) - doubt

    def weight(self, now_ms):
        """Return how many ratings the estimate is worth."""
        return self._freshness(now_ms) * (self.good + self.bad)

    def _counts(self, now_ms):
        fresh = self._freshness(now_ms)
        good = fresh * self.good + PRIOR_WEIGHT * self.prior
        bad = fresh * self.bad + PRIOR_WEIGHT * (1 - self.prior)
        return good, bad

    def _freshness(self, now_ms):
        return 0.5 ** (max(0.0, now_ms - self.learned_ms) / HALF_LIFE_MS)

    def _scale(self, factor):
        self.good *= factor
        self.bad *= factor
        self.accepted *= factor
        self.quality *= factor


class CostEstimate:
    """Smoothed tokens and seconds of one version's answers to one purpose."""

    __slots__ = ("tokens", "seconds")

    def __init__(self):
        self.tokens = DEFAULT_TOKENS
        self.seconds = 0.0

    def record_answer(self, tokens, seconds):
        """Take one answer."""
        if self.seconds == 0.0:
            self.tokens = float(tokens)
            self.seconds = seconds
        self.tokens += COST_SMOOTHING * (tokens - self.tokens)
        self.seconds += COST_SMOOTHING * (seconds - self.seconds)


class _EstimateTable:
    """Estimates by key, made when first asked for; a key holds the version last."""

    __slots__ = ("_by_key",)

    def __init__(self):
        self._by_key = {}

    def find(self, key, make, *arguments):
        estimate = self._by_key.get(key)
        if estimate is None:
            estimate = self._by_key[key] = make(*arguments)
        return estimate

    def retain_only(self, versions):
        for key in [key for key in self._by_key if key[-1] not in versions]:
            del self._by_key[key]


class Estimates:
    """What is known of each version, by service and purpose.

    Services, purposes and versions are those of the configuration.
    """

    __slots__ = ("rating_seconds", "_qualities", "_raised_qualities", "_costs")

    def __init__(self):
        self.rating_seconds = 0.0
        self._qualities = _EstimateTable()
        self._raised_qualities = _EstimateTable()
        self._costs = _EstimateTable()

    def quality(self, service, purpose, version, is_escalated=False):
        """Return the estimate of how good answers are.

        The last model of a cascade is taken to be good until ratings say
        otherwise.
        """
        is_last = version.model == service.cascade[-1]
        prior = PRIOR_QUALITY_OF_LAST if is_last else PRIOR_QUALITY
        table = self._raised_qualities if is_escalated else self._qualities
        key = (service.name, purpose.name, version.name)
        return table.find(key, QualityEstimate, prior)

    def cost(self, service, purpose, version):
        """Return the estimate of how long answers are and how long they take."""
        key = (service.name, purpose.name, version.name)
        return self._costs.find(key, CostEstimate)

    def record_rating(self, rated, now_ms):
        """Take a `RatedAnswer`."""
        estimate = self.quality(
            rated.service, rated.purpose, rated.version, rated.is_escalated
        )
        estimate.record_rating(
            rated.rating, rated.target, rated.accept_threshold, now_ms
        )

    def record_rating_duration(self, seconds):
        """Take the time that one rating took."""
        self.rating_seconds += COST_SMOOTHING * (seconds - self.rating_seconds)

    def retain_only(self, versions):
        """Forget versions other than those named."""
        for table in (self._qualities, self._raised_qualities, self._costs):
            table.retain_only(versions)
