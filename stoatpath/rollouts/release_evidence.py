"""Counts good and bad answers of the releases of a service, and weighs them."""

import logging
import math

from stoatpath.rollouts.answer_paces import CROWDED, SLOW, UNPACED
from stoatpath.utils import decode_json, encode_json

logger = logging.getLogger(__name__)

# Rows of the counts that instances share, by service and instance.
EVIDENCE_TABLE = "release-evidence"

# Bad answers of a release that count as chance at the least; one at most in fifty
# answers of a sound service fails by itself.
MIN_BAD_RATE = 0.02
MIN_BAD_ANSWERS = 3
MIN_BAD_BACKENDS = 2
# Streams of a new release that may be crowded at the least: a trial leaves its backend
# servers nearly idle, but a burst can crowd a third of them.
MIN_CROWDED_RATE = 0.35
# Chance of a false alarm of one comparison; a roll-out has some hundred of them.
SIGNIFICANCE = 0.0001


class AnswerCounts:
    """Answers of one release to one kind of request: all, and the bad ones.

    `paced` counts its streams of a known pace, `crowded` those of them that are as
    slow as on a backend server with much to do.
    """

    __slots__ = ("total", "bad", "bad_backends", "paced", "crowded")

    def __init__(self, total=0, bad=0, bad_backends=(), paced=0, crowded=0):
        self.total = total
        self.bad = bad
        self.bad_backends = set(bad_backends)
        self.paced = paced
        self.crowded = crowded

    def count(self, backend, is_bad, pace):
        """Count one answer."""
        self.total += 1
        if is_bad:
            self.bad += 1
        if pace is not UNPACED:
            self.paced += 1
        if pace in (CROWDED, SLOW):
            self.crowded += 1
        if is_bad or pace is CROWDED:
            self.bad_backends.add(backend)

    def add(self, other):
        """Add the counts of another instance."""
        self.total += other.total
        self.bad += other.bad
        self.bad_backends |= other.bad_backends
        self.paced += other.paced
        self.crowded += other.crowded

    @property
    def signs(self):
        """Return how many answers speak against the release."""
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
            "backends": sorted(self.bad_backends),
            "paced": self.paced,
            "crowded": self.crowded,
        }


class ReleaseEvidence:
    """Answers of the old and of the new release of one service, by route."""

    __slots__ = ("old_by_route", "new_by_route")

    def __init__(self):
        self.old_by_route = {}
        self.new_by_route = {}

    def take(self, result, is_new, pace):
        """Take the `AttemptResult` of an answer; return whether it is a bad sign."""
        is_bad = pace is SLOW or result.reason is not None
        by_route = self.new_by_route if is_new else self.old_by_route
        counts = by_route.setdefault(result.route, AnswerCounts())
        counts.count(result.backend, is_bad, pace)
        return is_bad or pace is CROWDED

    def find_problem(self, new_by_route):
        """Return why the counts of a new release speak against it, or None."""
        whole = AnswerCounts()
        old = AnswerCounts()
        for counts in new_by_route.values():
            whole.add(counts)
        for counts in self.old_by_route.values():
            old.add(counts)
        for route, counts in new_by_route.items():
            problem = _compare(counts, self.old_by_route.get(route, AnswerCounts()))
            if problem is not None:
                return f"route {route}: {problem}"
        return _compare(whole, old) or _compare_paces(whole, old)


def encode_counts(order_version, counts_by_route):
    """Return the row of one instance; it holds the counts of one order at a time."""
    routes = {route: counts.to_json() for route, counts in counts_by_route.items()}
    return encode_json({"order": order_version, "routes": routes})


def decode_counts(order_version, value):
    """Return the counts by route of an instance for an order; none if unreadable."""
    data = decode_json(value) if value is not None else None
    try:
        if data["order"] != order_version:
            return {}
        routes = data["routes"].items()
        return {route: AnswerCounts.from_json(each) for route, each in routes}
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        logger.warning("release.counts-unreadable", extra={"why": repr(error)})
        return {}


def _compare(new, old):
    """Return what is wrong if the new release fails more often than by chance."""
    if new.bad < MIN_BAD_ANSWERS or len(new.bad_backends) < MIN_BAD_BACKENDS:
        return None
    rate = max(MIN_BAD_RATE, (old.bad + 1) / (old.total + 50))
    if new.bad <= rate * new.total or _tail(new.total, new.bad, rate) > SIGNIFICANCE:
        return None
    return f"{new.bad} of {new.total} answers are bad, {old.bad} of {old.total} before"


def _compare_paces(new, old):
    """Return what is wrong if few streams of a new release run at an idle pace."""
    if len(new.bad_backends) < MIN_BAD_BACKENDS:
        return None
    # One in three is assumed of an old release that has not been seen yet.
    rate = max(MIN_CROWDED_RATE, (old.crowded + 1) / (old.paced + 3))
    if _tail(new.paced, new.crowded, rate) > SIGNIFICANCE:
        return None
    return (
        f"{new.crowded} of {new.paced} streams run as on a busy backend server, "
        f"{old.crowded} of {old.paced} before"
    )


def _tail(total, least, rate):
    """Return the chance of at least so many bad answers at a rate."""
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
        if term < 1e-12:
            break
    return min(1.0, chance)
