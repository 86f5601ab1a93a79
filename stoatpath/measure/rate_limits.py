"""Accuracy of rate limits that are divided over instances, with and without loans."""

import random

from stoatpath.admission.exchanges import EXCHANGE_PERIOD_MS, MAX_PEERS_ASKED
from stoatpath.admission.rates import RateLimits
from stoatpath.measure.decision_costs import cpu_us_per_call
from stoatpath.measure.reports import Figure, Report, Target

LIMIT_PER_S = 200.0
SMALL_SITE = 9
SECONDS = 60
WARM_UP_S = 10
TICK_MS = 5.0
EXCHANGE_TICKS = int(EXCHANGE_PERIOD_MS / TICK_MS)
ACQUISITIONS = 200_000
OVERLOAD = 2.0


class _Organisation:
    __slots__ = ("name", "rate_per_s")

    def __init__(self, rate_per_s):
        self.name = "organisation"
        self.rate_per_s = rate_per_s


class _Site:
    """Instances in virtual time; loans between them are immediate or disabled."""

    __slots__ = ("instances", "_organisation", "_random", "_has_loans", "now_ms")

    def __init__(self, count, rng, has_loans):
        names = [f"router-{index}" for index in range(count)]
        self.instances = [RateLimits() for _ in names]
        for limits in self.instances:
            limits.instance_count.update(names, [], 0.0)
        self._organisation = _Organisation(LIMIT_PER_S)
        self._random = rng
        self._has_loans = has_loans
        self.now_ms = 0.0

    def run(self, weights, rate_per_s):
        """Return the admitted rate after warm-up, per sent rate and per limit."""
        sent = admitted = 0
        for tick in range(int(SECONDS * 1000 / TICK_MS)):
            self.now_ms += TICK_MS
            for _ in range(self._draw_arrivals(rate_per_s)):
                (limits,) = self._random.choices(self.instances, weights)
                is_admitted = (
                    limits.acquire_token(self._organisation, self.now_ms) is None
                )
                if self.now_ms > WARM_UP_S * 1000:
                    sent += 1
                    admitted += is_admitted
            if self._has_loans and tick % EXCHANGE_TICKS == 0:
                self._exchange_loans()
        seconds = SECONDS - WARM_UP_S
        return admitted / sent, admitted / (LIMIT_PER_S * seconds)

    def _draw_arrivals(self, rate_per_s):
        expected = rate_per_s * TICK_MS / 1000
        whole_count = int(expected)
        return whole_count + (self._random.random() < expected - whole_count)

    def _exchange_loans(self):
        for borrower in self.instances:
            others = [each for each in self.instances if each is not borrower]
            lenders = self._random.sample(others, min(MAX_PEERS_ASKED, len(others)))
            for name, missing_per_s in borrower.pop_shortfalls(self.now_ms).items():
                for lender in lenders:
                    requested_per_s = missing_per_s / len(lenders)
                    lent_per_s = lender.lend(
                        name, LIMIT_PER_S, requested_per_s, self.now_ms
                    )
                    if lent_per_s:
                        borrower.add_borrowed(
                            name, lent_per_s, self.now_ms, self.now_ms
                        )


def run(seed):
    """Return the report for even, skewed and single-instance traffic."""
    even = [1.0] * SMALL_SITE
    skewed = [2.0**-index for index in range(SMALL_SITE)]
    single = [1.0] + [0.0] * (SMALL_SITE - 1)
    figures = []
    for shape, weights in (("even", even), ("skewed", skewed), ("single", single)):
        for label, has_loans in (("loans", True), ("fixed-shares", False)):
            site = _Site(SMALL_SITE, random.Random(seed), has_loans)
            admitted_share, _ = site.run(weights, 0.9 * LIMIT_PER_S)
            figures.append(
                Figure(f"rates.admitted.{shape}.{label}", admitted_share, "share")
            )
    site = _Site(SMALL_SITE, random.Random(seed), True)
    _, admitted_to_limit = site.run(skewed, OVERLOAD * LIMIT_PER_S)
    figures.append(Figure("rates.overload.of-limit", admitted_to_limit, "share"))
    figures.append(Figure("rates.take", _measure_acquire_us(), "us"))
    targets = [
        Target("rates.admitted.even.loans", "at-least", 0.97),
        Target("rates.admitted.skewed.loans", "at-least", 0.95),
        Target("rates.admitted.single.loans", "at-least", 0.9),
        Target("rates.overload.of-limit", "at-most", 1.02),
        Target("rates.overload.of-limit", "at-least", 0.9),
    ]
    return Report("rate-limits", seed, figures, targets, is_timed=True)


def _measure_acquire_us():
    site = _Site(SMALL_SITE, random.Random(0), True)
    limits = site.instances[0]
    organisation = _Organisation(1e9)
    return cpu_us_per_call(
        lambda index: limits.acquire_token(organisation, float(index)), ACQUISITIONS
    )
