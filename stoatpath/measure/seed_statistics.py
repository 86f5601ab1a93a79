"""Statistics of one figure over the seeds of a run."""

import math

from stoatpath.measure.reports import Figure

SEEDS_PER_RUN = 20


def trial_seeds(seed):
    """Return the seeds of the trials for the seed of a run."""
    return [seed * 1_000 + index for index in range(SEEDS_PER_RUN)]


def mean(values):
    """Return the arithmetic mean."""
    return sum(values) / len(values)


def standard_deviation(values):
    """Return the sample standard deviation."""
    average = mean(values)
    squared_error_sum = sum((value - average) ** 2 for value in values)
    return math.sqrt(squared_error_sum / max(1, len(values) - 1))


def percentile(values, share):
    """Return the smallest value that is at least as large as a share of all values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]


def summary_figures(name, values, unit):
    """Return figures of the mean, standard deviation, minimum and maximum."""
    return [
        Figure(name, round(mean(values), 6), unit),
        Figure(f"{name}.deviation", round(standard_deviation(values), 6), unit),
        Figure(f"{name}.lowest", round(min(values), 6), unit),
        Figure(f"{name}.highest", round(max(values), 6), unit),
    ]
