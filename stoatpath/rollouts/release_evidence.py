"""Counts bad and slow answers by release and tests a new release for a regression."""

import logging
import math

from stoatpath.rollouts.latency_classifiers import CROWDED, SLOW, UNCLASSIFIED
from stoatpath.utils import decode_json, encode_json

logger = logging.getLogger(__name__)

# Table of the instances' counts during a roll-out; row keys are SERVICE/INSTANCE.
EVIDENCE_TABLE = "release-evidence"

# Lower bound of the expected rates of failed and of slow answers: up to one answer in
# fifty of a healthy service.
MIN_BAD_RATE = 0.02
# Fewer bad answers, or on fewer backend servers, don't count against a release: one of
# its servers may be bad. Where it has only one, failed answers count.
MIN_BAD_ANSWERS = 3
MIN_AFFECTED_BACKENDS = 2
# Good answers that are added to those of the old release where they are streams: load
# makes these slow, while the canary phase leaves the new release nearly idle.
PRIOR_STREAMS = 50
# Lower bound of the expected share of crowded streams: the canary phase leaves the
# backend servers of a new release nearly idle, but a burst can crowd a third of its
# streams.
MIN_CROWDED_RATE = 0.35
# Probability of a false alarm in one comparison. A roll-out makes hundreds of them.
SIGNIFICANCE_LEVEL = 0.0001
# What is compared, and out of which answers: only some have a latency class.
COMPARED = (("bad", "total"), ("failed", "total"), ("slow", "paced"))
COMPARED_OF_SINGLE = (("failed", "total"),)
# Answers of the old release that are remembered for each route. Beyond it, counts are
# halved, so that they follow changes.
MAX_REMEMBERED_ANSWERS = 600


class AnswerCounts:
    """Counts of the answers of one release on one route.

    `bad` answers failed or were slow, `slow` ones were slow; `affected_backends` are
    the backend servers of bad or crowded ones. `paced` counts answers with a latency
    class, `crowded` those of them that are crowded or slow, `streams` those that are
    streams.
    """

    __slots__ = (
        "total",
        "bad",
        "slow",
        "affected_backends",
        "paced",
        "crowded",
        "streams",
    )

    def __init__(
        self,
        total=0,
        bad=0,
        affected_backends=(),
        paced=0,
        crowded=0,
        slow=0,
        streams=0,
    ):
        self.total = total
        self.bad = bad
        self.slow = slow
        self.affected_backends = set(affected_backends)
        self.paced = paced
        self.crowded = crowded
        self.streams = streams

    def count(self, result, latency_class):
        """Count an answer's `AttemptResult`; return whether it is bad."""
        is_bad = latency_class is SLOW or result.reason is not None
        self.total += 1
        if result.events is not None:
            self.streams += 1
        if is_bad:
            self.bad += 1
        if latency_class is SLOW:
            self.slow += 1
        if latency_class is not UNCLASSIFIED:
            self.paced += 1
        if latency_class in (CROWDED, SLOW):
            self.crowded += 1
        if is_bad or latency_class is CROWDED:
            self.affected_backends.add(result.backend)
        return is_bad

    def add(self, other):
        """Add the counts of another instance."""
        self.total += other.total
        self.bad += other.bad
        self.slow += other.slow
        self.affected_backends |= other.affected_backends
        self.paced += other.paced
        self.crowded += other.crowded
        self.streams += other.streams

    def halve(self):
        """Give the answers counted so far half of their weight."""
        for name in ("total", "bad", "slow", "paced", "crowded", "streams"):
            setattr(self, name, getattr(self, name) // 2)

    @property
    def failed(self):
        """Return the number of answers that failed."""
        return self.bad - self.slow

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
            int(data.get("slow", 0)),
            int(data.get("streams", 0)),
        )

    def to_json(self):
        """Return the stored form."""
        return {
            "total": self.total,
            "bad": self.bad,
            "slow": self.slow,
            "backends": sorted(self.affected_backends),
            "paced": self.paced,
            "crowded": self.crowded,
            "streams": self.streams,
        }


class UsualAnswers:
    """Recent answers of all releases but a new one, by service and route."""

    __slots__ = ("_counts_by_route_by_service",)

    def __init__(self):
        self._counts_by_route_by_service = {}

    def of_service(self, service):
        """Return the counts by route, which follow later answers."""
        return self._counts_by_route_by_service.setdefault(service, {})

    def record_answer(self, service, result, latency_class):
        """Count an answer's `AttemptResult`."""
        by_route = self.of_service(service)
        counts = by_route.setdefault(result.route, AnswerCounts())
        counts.count(result, latency_class)
        counts.affected_backends.clear()
        if counts.total > MAX_REMEMBERED_ANSWERS:
            counts.halve()


class ReleaseEvidence:
    """What one or several instances counted during the roll-out of one service.

    `old_by_route` and `new_by_route` are `AnswerCounts` of the old and the new release.
    `expected_by_route` is the mean number of answers that the new release should have
    given by the share of requests that it gets. `elapsed_ms` is the time from the start
    of the roll-out to when it was counted; `publishers` is the number of instances that
    counted.
    """

    __slots__ = (
        "old_by_route",
        "new_by_route",
        "expected_by_route",
        "elapsed_ms",
        "publishers",
    )

    def __init__(self, old_by_route=None):
        self.old_by_route = {} if old_by_route is None else old_by_route
        self.new_by_route = {}
        self.expected_by_route = {}
        self.elapsed_ms = 0.0
        self.publishers = 1

    @classmethod
    def merged(cls, published, elapsed_ms):
        """Build the sum of the evidence of several instances.

        What the new release should have answered since some of them published is
        estimated from what it should have before.
        """
        merged = cls()
        merged.publishers = len(published)
        for evidence in published:
            for own, others in (
                (merged.old_by_route, evidence.old_by_route),
                (merged.new_by_route, evidence.new_by_route),
            ):
                for route, counts in others.items():
                    own.setdefault(route, AnswerCounts()).add(counts)
            growth = max(1.0, elapsed_ms / max(1.0, evidence.elapsed_ms))
            for route, expected in evidence.expected_by_route.items():
                merged.record_request(route, growth * expected)
        return merged

    @classmethod
    def from_row(cls, order_version, value):
        """Build the evidence in a row; None if of another order or unreadable."""
        data = decode_json(value) if value is not None else None
        try:
            if data["order"] != order_version:
                return None
            evidence = cls()
            evidence.new_by_route = _decode_counts(data["routes"])
            evidence.old_by_route = _decode_counts(data.get("old", {}))
            evidence.elapsed_ms = float(data.get("elapsed_ms", 0.0))
            evidence.expected_by_route = {
                str(route): float(expected)
                for route, expected in data.get("expected", {}).items()
            }
            return evidence
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            logger.warning("release.counts-unreadable", extra={"why": repr(error)})
            return None

    def to_row(self, order_version, elapsed_ms):
        """Return the row value of one instance, for routes of the new release."""
        old_by_route = {
            route: self.old_by_route[route]
            for route in self.new_by_route
            if route in self.old_by_route
        }
        expected_by_route = {
            route: round(self.expected_by_route.get(route, 0.0), 3)
            for route in self.new_by_route
        }
        return encode_json(
            {
                "order": order_version,
                "routes": _encode_counts(self.new_by_route),
                "old": _encode_counts(old_by_route),
                "expected": expected_by_route,
                "elapsed_ms": round(elapsed_ms),
            }
        )

    @property
    def suspicious_answers(self):
        """Return the number of bad or crowded answers of the new release."""
        return sum(counts.suspicious_answers for counts in self.new_by_route.values())

    def record_request(self, route, new_share):
        """Count a request of which the new release should get a share."""
        known = self.expected_by_route.get(route, 0.0)
        self.expected_by_route[route] = known + new_share

    def record_answer(self, result, is_new, latency_class):
        """Count an answer's `AttemptResult`; return whether it is bad or crowded."""
        by_route = self.new_by_route if is_new else self.old_by_route
        counts = by_route.setdefault(result.route, AnswerCounts())
        is_bad = counts.count(result, latency_class)
        return is_bad or latency_class is CROWDED

    def detect_regression(self, instances=1, has_single_backend=False):
        """Return how the new release is worse than the old one, or None.

        `has_single_backend` tells that only one backend server has it. Only instances
        that saw bad answers publish their counts. Of the others, out of all
        `instances`, the number of answers is estimated.
        """
        new, old = AnswerCounts(), AnswerCounts()
        expected = 0.0
        for route, counts in self.new_by_route.items():
            new.add(counts)
            route_expected = self.expected_by_route.get(route, 0.0)
            expected += route_expected
            route_old = self.old_by_route.get(route, AnswerCounts())
            old.add(route_old)
            scale = self._scale(counts, route_expected, instances)
            problem = _compare_rates(counts, route_old, scale, has_single_backend)
            if problem is not None:
                return f"route {route}: {problem}"
        scale = self._scale(new, expected, instances)
        problem = _compare_rates(new, old, scale, has_single_backend)
        return problem or _compare_crowded_rates(new, old, scale)

    def _scale(self, counts, expected, instances):
        """Return by how much the answers of all instances exceed those counted."""
        estimated = expected * max(1.0, instances / self.publishers)
        return max(1.0, estimated / max(1, counts.total))


def _encode_counts(counts_by_route):
    return {route: counts.to_json() for route, counts in counts_by_route.items()}


def _decode_counts(data):
    return {str(route): AnswerCounts.from_json(each) for route, each in data.items()}


def _compare_rates(new, old, scale, has_single_backend):
    """Return a description if more new answers are bad, failed or slow, or None."""
    compared = COMPARED
    if len(new.affected_backends) < MIN_AFFECTED_BACKENDS:
        # That a single server is slow may be due to its load.
        compared = COMPARED_OF_SINGLE if has_single_backend else ()
    for adjective, total_name in compared:
        count, old_count = getattr(new, adjective), getattr(old, adjective)
        if count < MIN_BAD_ANSWERS:
            continue
        total = round(getattr(new, total_name) * scale)
        old_total = getattr(old, total_name)
        chance = _fisher_tail(total, count, old_total, old_count)
        if adjective == "bad" and 2 * new.streams > new.total:
            rate = (old_count + 1) / (old_total + PRIOR_STREAMS)
            chance = _binomial_tail(total, count, rate)
        chance = max(chance, _binomial_tail(total, count, MIN_BAD_RATE))
        if chance <= SIGNIFICANCE_LEVEL:
            return (
                f"{count} of {total} answers are {adjective}, "
                f"{old_count} of {old_total} before"
            )
    return None


def _compare_crowded_rates(new, old, scale):
    """Return a description if significantly more new streams are crowded."""
    if len(new.affected_backends) < MIN_AFFECTED_BACKENDS:
        return None
    # Prior: one stream in three of an old release without counts is crowded.
    rate = max(MIN_CROWDED_RATE, (old.crowded + 1) / (old.paced + 3))
    paced = round(new.paced * scale)
    if _binomial_tail(paced, new.crowded, rate) > SIGNIFICANCE_LEVEL:
        return None
    return (
        f"{new.crowded} of {paced} streams run as on a busy backend server, "
        f"{old.crowded} of {old.paced} before"
    )


def _fisher_tail(total, count, old_total, old_count):
    """Return the mid-p value of at least `count` bad answers among the new ones.

    That is if the bad answers of both releases were distributed at random (Fisher's
    exact test). Unlike a comparison with the old rate, it is also valid for few old
    answers. Half of the chance of exactly `count` is left out, since the exact value
    is too large where few outcomes are possible.
    """
    bad = count + old_count
    ways = _log_choose(total + old_total, total)
    chances = [
        math.exp(
            _log_choose(bad, number)
            + _log_choose(total + old_total - bad, total - number)
            - ways
        )
        for number in range(count, min(bad, total) + 1)
    ]
    return min(1.0, sum(chances) - chances[0] / 2)


def _log_choose(total, count):
    return (
        math.lgamma(total + 1) - math.lgamma(count + 1) - math.lgamma(total - count + 1)
    )


def _binomial_tail(total, least, rate):
    """Return the binomial probability of at least `least` of `total` at a rate."""
    if least <= rate * total:
        # At least the mean: not a small probability.
        return 1.0
    chance = 0.0
    for count in range(least, total + 1):
        log = (
            _log_choose(total, count)
            + count * math.log(rate)
            + (total - count) * math.log1p(-rate)
        )
        term = math.exp(log)
        chance += term
        if term < 1e-12:  # further terms are negligible
            break
    return min(1.0, chance)
