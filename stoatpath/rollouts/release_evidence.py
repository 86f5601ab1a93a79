"""Counts bad and slow answers by release and tests a new release for a regression."""

import logging
import math

from stoatpath.rollouts.latency_classifiers import CROWDED, SLOW, UNCLASSIFIED
from stoatpath.utils import decode_json, encode_json

logger = logging.getLogger(__name__)

# Table of the instances' counts of the new release; row keys are SERVICE/INSTANCE.
EVIDENCE_TABLE = "release-evidence"

# Lower bound of the expected failure rate: up to one answer in fifty of a healthy
# service fails.
MIN_BAD_RATE = 0.02
# Fewer bad answers, or on fewer backend servers, don't count against a release.
MIN_BAD_ANSWERS = 3
MIN_AFFECTED_BACKENDS = 2
# Lower bound of the expected share of crowded streams: the canary phase leaves the
# backend servers of a new release nearly idle, but a burst can crowd a third of its
# streams.
MIN_CROWDED_RATE = 0.35
# Probability of a false alarm in one comparison. A roll-out makes hundreds of them.
SIGNIFICANCE_LEVEL = 0.0001


class AnswerCounts:
    """Counts of the answers of one release on one route.

    `bad` answers failed or were slow; `affected_backends` are the backend servers of
    bad or crowded ones. `paced` counts answers with a latency class, `crowded` those
    of them that are crowded or slow.
    """

    __slots__ = ("total", "bad", "affected_backends", "paced", "crowded")

    def __init__(self, total=0, bad=0, affected_backends=(), paced=0, crowded=0):
        self.total = total
        self.bad = bad
        self.affected_backends = set(affected_backends)
        self.paced = paced
        self.crowded = crowded

    def count(self, backend, is_bad, latency_class):
        """Count one answer."""
        self.total += 1
        if is_bad:
            self.bad += 1
        if latency_class is not UNCLASSIFIED:
            self.paced += 1
        if latency_class in (CROWDED, SLOW):
            self.crowded += 1
        if is_bad or latency_class is CROWDED:
            self.affected_backends.add(backend)

    def add(self, other):
        """Add the counts of another instance."""
        self.total += other.total
        self.bad += other.bad
        self.affected_backends |= other.affected_backends
        self.paced += other.paced
        self.crowded += other.crowded

    @property
    def suspicious_answers(self):
        """Return the larger of the counts of bad and crowded answers."""
        return max(self.bad, self.crowded)

    @classmethod
    def from_json(cls, data):
        """Build counts from their stored form."""
        return cls(
            int(data["total"]),
            int(data["bad"]),
            map(str, data["backends"]),
            int(data["paced"]),
            int(data["crowded"]),
        )

    def to_json(self):
        """Return the stored form."""
        return {
            "total": self.total,
            "bad": self.bad,
            "backends": sorted(self.affected_backends),
            "paced": self.paced,
            "crowded": self.crowded,
        }


class ReleaseEvidence:
    """Answer counts of the old and the new release of one service, by route."""

    __slots__ = ("old_by_route", "new_by_route")

    def __init__(self):
        self.old_by_route = {}
        self.new_by_route = {}

    def record_answer(self, result, is_new, latency_class):
        """Count an answer's `AttemptResult`; return whether it is bad or crowded."""
        is_bad = latency_class is SLOW or result.reason is not None
        by_route = self.new_by_route if is_new else self.old_by_route
        counts = by_route.setdefault(result.route, AnswerCounts())
        counts.count(result.backend, is_bad, latency_class)
        return is_bad or latency_class is CROWDED

    def detect_regression(self, new_by_route):
        """Return how a new release is worse than the old one, or None."""
        new = AnswerCounts()
        old = AnswerCounts()
        for counts in new_by_route.values():
            new.add(counts)
        for counts in self.old_by_route.values():
            old.add(counts)
        for route, counts in new_by_route.items():
            problem = _compare_bad_rates(
                counts, self.old_by_route.get(route, AnswerCounts())
            )
            if problem is not None:
                return f"route {route}: {problem}"
        return _compare_bad_rates(new, old) or _compare_crowded_rates(new, old)


def encode_counts(order_version, counts_by_route):
    """Return the row value of one instance: its counts of the new release."""
    routes = {route: counts.to_json() for route, counts in counts_by_route.items()}
    return encode_json({"order": order_version, "routes": routes})


def decode_counts(order_version, value):
    """Return the counts by route in a row; none if of another order or unreadable."""
    data = decode_json(value) if value is not None else None
    try:
        if data["order"] != order_version:
            return {}
        routes = data["routes"].items()
        return {route: AnswerCounts.from_json(each) for route, each in routes}
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        logger.warning("release.counts-unreadable", extra={"why": repr(error)})
        return {}


def _compare_bad_rates(new, old):
    """Return a description if significantly more answers of the new release are bad."""
    if new.bad < MIN_BAD_ANSWERS or len(new.affected_backends) < MIN_AFFECTED_BACKENDS:
        return None
    # Prior: one answer in fifty of an old release without counts is bad.
    rate = max(MIN_BAD_RATE, (old.bad + 1) / (old.total + 50))
    if (
        new.bad <= rate * new.total
        or _binomial_tail(new.total, new.bad, rate) > SIGNIFICANCE_LEVEL
    ):
        return None
    return f"{new.bad} of {new.total} answers are bad, {old.bad} of {old.total} before"


def _compare_crowded_rates(new, old):
    """Return a description if significantly more new streams are crowded."""
    if len(new.affected_backends) < MIN_AFFECTED_BACKENDS:
        return None
    # Prior: one stream in three of an old release without counts is crowded.
    rate = max(MIN_CROWDED_RATE, (old.crowded + 1) / (old.paced + 3))
    if _binomial_tail(new.paced, new.crowded, rate) > SIGNIFICANCE_LEVEL:
        return None
    return (
        f"{new.crowded} of {new.paced} streams run as on a busy backend server, "
        f"{old.crowded} of {old.paced} before"
    )


def _binomial_tail(total, least, rate):
    """Return the binomial probability of at least `least` of `total` at a rate."""
    chance = 0.0
    for count in range(least, total + 1):
        log = (
            math.lgamma(total + 1)
            - math.lgamma(count + 1)
            - math.lgamma(total - count + 1)
            + count * math.log(rate)
            + (total - count) * math.log1p(-rate)
        )
        term = math.exp(log)
        chance += term
        if term < 1e-12:  # further terms are negligible
            break
    return min(1.0, chance)
