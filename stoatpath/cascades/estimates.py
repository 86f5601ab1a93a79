"""Estimates quality, length and duration of the answers of each version.

There is one estimate per service, purpose and version. Answers to escalated requests
have estimates of their own, since these requests are harder.
"""

import math

# Number of ratings that the prior counts as.
PRIOR_RATING_COUNT = 1.0
PRIOR_QUALITY = 0.5
LAST_MODEL_PRIOR_QUALITY = 0.9
# Factor applied to the earlier ratings at each new one.
RATING_DECAY_FACTOR = 0.98
RATING_HALF_LIFE_MS = 900_000.0
# Standard deviation of the ratings of different answers of one version.
RATING_STANDARD_DEVIATION = 0.25
LOWER_BOUND_STANDARD_ERRORS = 1.0
# Weight of a new value in the averages of tokens and durations.
USAGE_SMOOTHING_FACTOR = 0.05
DEFAULT_ANSWER_TOKENS = 64.0


class QualityEstimate:
    """Discounted counts of good and bad answers, and the sum of their ratings.

    Each rating discounts the earlier ones, so that drift shows within a hundred
    ratings. Weight also decays with time, so that a version that is not used
    becomes uncertain and is tried again. `prior` is the success probability and
    the mean rating assumed before any rating. `accepted` counts the answers rated
    high enough to end a cascade; that threshold may be above the target.
    """

    __slots__ = ("prior", "good", "bad", "accepted", "rating_sum", "updated_ms")

    def __init__(self, prior):
        self.prior = prior
        self.good = 0.0
        self.bad = 0.0
        self.accepted = 0.0
        self.rating_sum = 0.0
        self.updated_ms = 0.0

    def record_rating(self, rating, target, accept_threshold, now_ms):
        """Add one rating after discounting the earlier ones."""
        self._discount(RATING_DECAY_FACTOR * self._time_decay(now_ms))
        self.updated_ms = now_ms
        self.rating_sum += rating
        self.accepted += rating >= accept_threshold
        if rating >= target:
            self.good += 1
        else:
            self.bad += 1

    def chance_good(self, now_ms):
        """Return the estimated probability that a rating reaches the target."""
        good, bad = self._counts(now_ms)
        return good / (good + bad)

    def sample_acceptance(self, now_ms, random):
        """Draw an acceptance probability from its posterior (Thompson sampling)."""
        decay = self._time_decay(now_ms)
        accepted = decay * self.accepted
        not_accepted = decay * (self.good + self.bad) - accepted
        return random.betavariate(
            accepted + PRIOR_RATING_COUNT * self.prior,
            max(0.0, not_accepted) + PRIOR_RATING_COUNT * (1 - self.prior),
        )

    def expected_quality(self, now_ms):
        """Return the expected mean rating."""
        decay = self._time_decay(now_ms)
        rating_count = decay * (self.good + self.bad)
        total = decay * self.rating_sum + PRIOR_RATING_COUNT * self.prior
        return total / (rating_count + PRIOR_RATING_COUNT)

    def quality_lower_bound(self, now_ms):
        """Return a lower confidence bound of the mean rating."""
        rating_count = self._time_decay(now_ms) * (self.good + self.bad)
        margin = (
            LOWER_BOUND_STANDARD_ERRORS
            * RATING_STANDARD_DEVIATION
            / math.sqrt(rating_count + 1)
        )
        return self.expected_quality(now_ms) - margin

    def rating_count(self, now_ms):
        """Return the number of ratings left after discounting and decay."""
        return self._time_decay(now_ms) * (self.good + self.bad)

    def _counts(self, now_ms):
        decay = self._time_decay(now_ms)
        good = decay * self.good + PRIOR_RATING_COUNT * self.prior
        bad = decay * self.bad + PRIOR_RATING_COUNT * (1 - self.prior)
        return good, bad

    def _time_decay(self, now_ms):
        return 0.5 ** (max(0.0, now_ms - self.updated_ms) / RATING_HALF_LIFE_MS)

    def _discount(self, factor):
        self.good *= factor
        self.bad *= factor
        self.accepted *= factor
        self.rating_sum *= factor


class UsageEstimate:
    """Exponential moving averages of tokens and seconds per answer."""

    __slots__ = ("tokens", "seconds")

    def __init__(self):
        self.tokens = DEFAULT_ANSWER_TOKENS
        self.seconds = 0.0

    def record_answer(self, tokens, seconds):
        """Add one answer; the first one sets both averages."""
        if self.seconds == 0.0:
            self.tokens = float(tokens)
            self.seconds = seconds
        self.tokens += USAGE_SMOOTHING_FACTOR * (tokens - self.tokens)
        self.seconds += USAGE_SMOOTHING_FACTOR * (seconds - self.seconds)


class _EstimateTable:
    """Estimates by key; the last element of a key is the version name."""

    __slots__ = ("_by_key",)

    def __init__(self):
        self._by_key = {}

    def get_or_create(self, key, factory, *arguments):
        estimate = self._by_key.get(key)
        if estimate is None:
            estimate = self._by_key[key] = factory(*arguments)
        return estimate

    def retain_only(self, version_names):
        for key in [key for key in self._by_key if key[-1] not in version_names]:
            del self._by_key[key]


class Estimates:
    """Quality and cost estimates by service, purpose and version.

    Services, purposes and versions are passed as objects of the configuration.
    """

    __slots__ = ("rating_seconds", "_qualities", "_escalated_qualities", "_usages")

    def __init__(self):
        self.rating_seconds = 0.0
        self._qualities = _EstimateTable()
        self._escalated_qualities = _EstimateTable()
        self._usages = _EstimateTable()

    def quality(self, service, purpose, version, is_escalated=False):
        """Return the `QualityEstimate` of a version.

        The last model of a cascade is assumed to be good until ratings show
        otherwise.
        """
        is_last = version.model == service.cascade[-1]
        prior = LAST_MODEL_PRIOR_QUALITY if is_last else PRIOR_QUALITY
        table = self._escalated_qualities if is_escalated else self._qualities
        key = (service.name, purpose.name, version.name)
        return table.get_or_create(key, QualityEstimate, prior)

    def usage(self, service, purpose, version):
        """Return the `UsageEstimate` of a version."""
        key = (service.name, purpose.name, version.name)
        return self._usages.get_or_create(key, UsageEstimate)

    def record_rating(self, rated, now_ms):
        """Add a `RatedAnswer` to the estimate of its version."""
        estimate = self.quality(
            rated.service, rated.purpose, rated.version, rated.is_escalated
        )
        estimate.record_rating(
            rated.rating, rated.target, rated.accept_threshold, now_ms
        )

    def record_rating_duration(self, seconds):
        """Add the duration of one call of the rating service to its average."""
        self.rating_seconds += USAGE_SMOOTHING_FACTOR * (seconds - self.rating_seconds)

    def retain_only(self, version_names):
        """Drop the estimates of versions whose name is not in `version_names`."""
        for table in (self._qualities, self._escalated_qualities, self._usages):
            table.retain_only(version_names)
