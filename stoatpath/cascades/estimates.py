"""Learns how good, long and slow the answers of each version are.

Estimates are kept by service, purpose and version, and apart for answers to
requests that an earlier stage could not serve: those are the harder ones.
"""

import math

PRIOR_GOOD = 1.0
PRIOR_BAD = 1.0
PRIOR_QUALITY = 0.5
RATING_DECAY = 0.99
HALF_LIFE_MS = 900_000.0
QUALITY_DEVIATION = 0.25
QUALITY_CERTAINTY = 1.0
COST_SMOOTHING = 0.05
DEFAULT_TOKENS = 64.0


class QualityEstimate:
    """Discounted counts of good and bad answers, and the sum of their ratings.

    Each rating takes a little weight from the earlier ones, so that drift shows
    within about a hundred ratings; time takes weight as well, so that a version
    that is not used becomes uncertain and is tried again.
    """

    __slots__ = ("good", "bad", "quality", "learned_ms")

    def __init__(self):
        self.good = 0.0
        self.bad = 0.0
        self.quality = 0.0
        self.learned_ms = 0.0

    def learn(self, rating, is_good, now_ms):
        """Take one rating."""
        self._scale(RATING_DECAY * self._freshness(now_ms))
        self.learned_ms = now_ms
        self.quality += rating
        if is_good:
            self.good += 1
        else:
            self.bad += 1

    def chance_good(self, now_ms):
        """Return the estimated chance that an answer is good enough."""
        fresh = self._freshness(now_ms)
        good = fresh * self.good + PRIOR_GOOD
        return good / (good + fresh * self.bad + PRIOR_BAD)

    def sample_chance(self, now_ms, random):
        """Return a chance drawn by how likely it is, given the ratings."""
        fresh = self._freshness(now_ms)
        return random.betavariate(
            fresh * self.good + PRIOR_GOOD, fresh * self.bad + PRIOR_BAD
        )

    def expected_quality(self, now_ms):
        """Return the mean rating to expect."""
        fresh = self._freshness(now_ms)
        weight = fresh * (self.good + self.bad)
        return (fresh * self.quality + PRIOR_QUALITY) / (weight + 1)

    def assured_quality(self, now_ms):
        """Return a mean rating that is likely reached."""
        weight = self._freshness(now_ms) * (self.good + self.bad)
        doubt = QUALITY_CERTAINTY * QUALITY_DEVIATION / math.sqrt(weight + 1)
        return self.expected_quality(now_ms) - doubt

    def weight(self, now_ms):
        """Return how many ratings the estimate is worth."""
        return self._freshness(now_ms) * (self.good + self.bad)

    def _freshness(self, now_ms):
        return 0.5 ** (max(0.0, now_ms - self.learned_ms) / HALF_LIFE_MS)

    def _scale(self, factor):
        self.good *= factor
        self.bad *= factor
        self.quality *= factor


class CostEstimate:
    """Smoothed tokens and seconds of one version's answers to one purpose."""

    __slots__ = ("tokens", "seconds")

    def __init__(self):
        self.tokens = DEFAULT_TOKENS
        self.seconds = 0.0

    def learn(self, tokens, seconds):
        """Take one answer."""
        if self.seconds == 0.0:
            self.tokens = float(tokens)
            self.seconds = seconds
        self.tokens += COST_SMOOTHING * (tokens - self.tokens)
        self.seconds += COST_SMOOTHING * (seconds - self.seconds)


class _EstimateTable:
    """Estimates by key, made when first asked for; a key holds the version last."""

    __slots__ = ("_by_key", "_make")

    def __init__(self, make):
        self._by_key = {}
        self._make = make

    def find(self, *key):
        estimate = self._by_key.get(key)
        if estimate is None:
            estimate = self._by_key[key] = self._make()
        return estimate

    def keep_only(self, versions):
        for key in [key for key in self._by_key if key[-1] not in versions]:
            del self._by_key[key]


class Estimates:
    """What is known of each version, by service and purpose."""

    __slots__ = ("rating_seconds", "_qualities", "_raised_qualities", "_costs")

    def __init__(self):
        self.rating_seconds = 0.0
        self._qualities = _EstimateTable(QualityEstimate)
        self._raised_qualities = _EstimateTable(QualityEstimate)
        self._costs = _EstimateTable(CostEstimate)

    def quality(self, service, purpose, version, is_raised=False):
        """Return the estimate of how good answers are."""
        table = self._raised_qualities if is_raised else self._qualities
        return table.find(service, purpose, version)

    def cost(self, service, purpose, version):
        """Return the estimate of how long answers are and how long they take."""
        return self._costs.find(service, purpose, version)

    def learn(self, rated, now_ms):
        """Take a `RatedAnswer`."""
        estimate = self.quality(
            rated.service, rated.purpose, rated.version, rated.is_raised
        )
        estimate.learn(rated.rating, rated.rating >= rated.target, now_ms)

    def learn_rating_time(self, seconds):
        """Take the time that one rating took."""
        self.rating_seconds += COST_SMOOTHING * (seconds - self.rating_seconds)

    def keep_only(self, versions):
        """Forget versions other than those named."""
        for table in (self._qualities, self._raised_qualities, self._costs):
            table.keep_only(versions)
