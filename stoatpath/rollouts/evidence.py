"""Sequential test that a version is worse than the one it replaces.

This is testing by betting: the result stays valid however often it is evaluated.
Both versions' ratings, given as counts by level, bet against the hypothesis that
the new mean is at least the old mean minus a tolerance. For every mean `m` the
wealth of bets that the new mean is below `m`, times the wealth of bets that the
old mean is above `m + tolerance`, is an e-process if the hypothesis holds at `m`.
The minimum of this product over all `m` is then an e-process for any means, and
exceeds `1 / alpha` at any time with a probability of at most `alpha` (Ville's
inequality). Evaluating `m` on a grid keeps the test valid: wealth against the new
mean rises with `m` and wealth for the old mean falls, so the two ends of a range
of grid cells bound it, and the minimum is found by always splitting the range
with the lowest bound.
"""

import heapq
import math

from stoatpath.rollouts.messages import RATING_LEVELS

GRID_CELLS = 32
BET_FRACTIONS = (0.2, 0.5, 0.9)
LOG_BETS = math.log(len(BET_FRACTIONS))
_RATINGS = tuple(level / (RATING_LEVELS - 1) for level in range(RATING_LEVELS))
_GRID_MEANS = tuple(index / GRID_CELLS for index in range(GRID_CELLS + 1))


def _low_bets(mean):
    """Return log factors by bet and level for bets that a mean is below `mean`."""
    if mean >= 1.0:
        mean = 1.0 - 1.0 / (2 * GRID_CELLS)
    return [
        [math.log(1 + bet * (mean - rating) / (1 - mean)) for rating in _RATINGS]
        for bet in BET_FRACTIONS
    ]


def _high_bets(mean):
    """Return log factors by bet and level for bets that a mean is above `mean`."""
    mean = min(max(mean, 1.0 / (2 * GRID_CELLS)), 1.0)
    return [
        [math.log(1 + bet * (rating - mean) / mean) for rating in _RATINGS]
        for bet in BET_FRACTIONS
    ]


class BetTable:
    """Log factors of all bets for one tolerance: `[cell][bet][level]`."""

    __slots__ = ("low", "high")

    _by_tolerance = {}

    def __init__(self, tolerance):
        self.low = [_low_bets(mean) for mean in _GRID_MEANS[:-1]]
        self.high = [_high_bets(mean + tolerance) for mean in _GRID_MEANS[1:]]

    @classmethod
    def for_tolerance(cls, tolerance):
        """Return the table of a tolerance, computed once."""
        if tolerance not in cls._by_tolerance:
            cls._by_tolerance[tolerance] = cls(tolerance)
        return cls._by_tolerance[tolerance]


def log_evidence(new_levels, old_levels, table):
    """Return the log of the e-value of counts of new and old ratings."""
    low = _LazyWealth(table.low, new_levels)
    high = _LazyWealth(table.high, old_levels)
    heap = [(low.log_wealth(0) + high.log_wealth(GRID_CELLS - 1), 0, GRID_CELLS)]
    while True:
        bound, first, end = heapq.heappop(heap)
        if end - first == 1:
            return bound
        middle = (first + end) // 2
        for start, stop in ((first, middle), (middle, end)):
            heapq.heappush(
                heap, (low.log_wealth(start) + high.log_wealth(stop - 1), start, stop)
            )


class _LazyWealth:
    """The log wealth of one version's counts by grid cell, computed on first use."""

    __slots__ = ("_bets_by_cell", "_counts", "_wealth_by_cell")

    def __init__(self, bets_by_cell, levels):
        self._bets_by_cell = bets_by_cell
        self._counts = [(level, count) for level, count in enumerate(levels) if count]
        self._wealth_by_cell = {}

    def log_wealth(self, cell):
        """Return the log wealth in a cell."""
        if cell not in self._wealth_by_cell:
            bets = self._bets_by_cell[cell]
            self._wealth_by_cell[cell] = _log_wealth(bets, self._counts)
        return self._wealth_by_cell[cell]


def _log_wealth(bets, counts):
    """Return the log of the mean wealth over all bets."""
    logs = [sum(factors[level] * count for level, count in counts) for factors in bets]
    return log_sum(logs) - LOG_BETS


def log_sum(logs):
    """Return the log of a sum given the logs of its terms."""
    top = max(logs)
    if math.isinf(top):
        return top
    return top + math.log(sum(math.exp(each - top) for each in logs))
