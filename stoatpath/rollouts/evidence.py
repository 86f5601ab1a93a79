"""Evidence that a version is worse than the one it replaces, valid at every look.

Both versions' ratings, given as counts by level, bet against the hypothesis that
the new mean is at least the old mean less a tolerance. For every mean `m` the
wealth of bets that the new mean is below `m`, times the wealth of bets that the
old mean is above `m + tolerance`, is an e-process if the hypothesis holds at `m`;
the least product over all `m` is then one whatever the means are, and exceeds
`1 / alpha` at any time with a chance of at most `alpha` (Ville's inequality). The
grid of `m` costs no validity: wealth against the new mean rises with `m` and
wealth for the old mean falls, so each cell is bounded by its two ends.
"""

import math

from stoatpath.rollouts.messages import RATING_LEVELS

GRID_CELLS = 32
BET_FRACTIONS = (0.2, 0.5, 0.9)
LOG_BETS = math.log(len(BET_FRACTIONS))
_RATINGS = tuple(level / (RATING_LEVELS - 1) for level in range(RATING_LEVELS))
_GRID = tuple(index / GRID_CELLS for index in range(GRID_CELLS + 1))


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
    if mean >= 1.0:
        return [[0.0] * RATING_LEVELS for _ in BET_FRACTIONS]
    mean = max(mean, 1.0 / (2 * GRID_CELLS))
    return [
        [math.log(1 + bet * (rating - mean) / mean) for rating in _RATINGS]
        for bet in BET_FRACTIONS
    ]


class BetTable:
    """Log factors of all bets for one tolerance: `[cell][bet][level]`."""

    __slots__ = ("low", "high")

    _by_tolerance = {}

    def __init__(self, tolerance):
        self.low = [_low_bets(mean) for mean in _GRID[:-1]]
        self.high = [_high_bets(mean + tolerance) for mean in _GRID[1:]]

    @classmethod
    def for_tolerance(cls, tolerance):
        """Return the table of a tolerance, computed once."""
        if tolerance not in cls._by_tolerance:
            cls._by_tolerance[tolerance] = cls(tolerance)
        return cls._by_tolerance[tolerance]


def log_evidence(new_levels, old_levels, table):
    """Return the log of the e-value of counts of new and old ratings."""
    new_counts = [(level, count) for level, count in enumerate(new_levels) if count]
    old_counts = [(level, count) for level, count in enumerate(old_levels) if count]
    least = math.inf
    for low, high in zip(table.low, table.high):
        wealth = _log_wealth(low, new_counts) + _log_wealth(high, old_counts)
        least = min(least, wealth)
    return least


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
