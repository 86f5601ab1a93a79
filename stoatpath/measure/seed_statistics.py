"""Sums up one figure over many seeds."""

import math

from stoatpath.measure.reports import Figure

SEEDS = 20


def seeds_from(seed):
    """Return the seeds of the trials of one run."""
    return [seed * 1_000 + index for index in range(SEEDS)]


def mean(values):
    """Return the arithmetic mean."""
    return sum(values) / len(values)


def deviation(values):
    """Return the standard deviation of a sample."""
    middle = mean(values)
    total = sum((value - middle) ** 2 for value in values)
    return math.sqrt(total / max(1, len(values) - 1))


def percentile(values, share):
    """Return the smallest value that covers a share of all."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]


def spread_figures(name, values, unit):
    """Return the mean over seeds with deviation and extremes as figures."""
    return [
        Figure(name, round(mean(values), 6), unit),
        Figure(f"{name}.deviation", round(deviation(values), 6), unit),
        Figure(f"{name}.lowest", round(min(values), 6), unit),
        Figure(f"{name}.highest", round(max(values), 6), unit),
    ]
