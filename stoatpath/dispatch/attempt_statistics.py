"""Counts attempts by repeatability, model and result, and measures first byte times."""

from stoatpath.callers.statistics import Durations

WHOLE = "whole"


class AttemptStatistics:
    """Statistics of all attempts.

    The number of keys is bounded: repeatabilities are few, versions are
    those of the configuration.
    """

    __slots__ = ("counts_by_key", "first_bytes_by_repeatability")

    def __init__(self):
        self.counts_by_key = {}
        self.first_bytes_by_repeatability = {}

    def observe(self, result):
        """Count the `AttemptResult` of an attempt."""
        result_name = WHOLE if result.reason is None else result.reason.name
        key = (result.repeatability, result.version, result_name)
        self.counts_by_key[key] = self.counts_by_key.get(key, 0) + 1
        if result.first_byte_ms is not None:
            durations = self.first_bytes_by_repeatability.get(result.repeatability)
            if durations is None:
                durations = self.first_bytes_by_repeatability[result.repeatability] = (
                    Durations()
                )
            durations.add(result.first_byte_ms - result.started_ms)
