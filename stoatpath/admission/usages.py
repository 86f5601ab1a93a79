"""Exponential moving averages of the slots that organisations use."""

import math

AVERAGE_TIME_CONSTANT_MS = 10_000.0
WAIT_SMOOTHING_FACTOR = 0.2


class Usage:
    """Slots in use and their exponential moving average.

    `wait_ms` is the smoothed waiting time of requests that got a slot from the queue.
    """

    __slots__ = ("running", "wait_ms", "_average", "_updated_ms")

    def __init__(self):
        self.running = 0
        self.wait_ms = 0.0
        self._average = 0.0
        self._updated_ms = 0.0

    def average_slots(self, now_ms):
        """Return the moving average of slots in use at a clock reading."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        decay = math.exp(-elapsed_ms / AVERAGE_TIME_CONSTANT_MS)
        return self._average * decay + self.running * (1 - decay)

    def record_wait(self, wait_ms):
        """Update the smoothed waiting time with that of one request."""
        self.wait_ms += WAIT_SMOOTHING_FACTOR * (wait_ms - self.wait_ms)

    def add_running(self, difference, now_ms):
        """Add slots that were granted, or subtract released ones."""
        self._average = self.average_slots(now_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        self.running += difference


class OrganisationUsage:
    """Usage of one organisation, by short and by long work."""

    __slots__ = ("short", "long")

    def __init__(self):
        self.short = Usage()
        self.long = Usage()

    def of_class(self, is_short):
        """Return the usage of short or of long work."""
        return self.short if is_short else self.long

    def average_slots(self, now_ms):
        """Return the moving average over both classes."""
        return self.short.average_slots(now_ms) + self.long.average_slots(now_ms)

    def prefers_short(self, now_ms):
        """Return whether short work has used no more slots than long work."""
        return self.short.average_slots(now_ms) <= self.long.average_slots(now_ms)

    def is_idle(self, now_ms):
        """Return whether nothing runs and the average has decayed to nearly 0."""
        running = self.short.running + self.long.running
        return running == 0 and self.average_slots(now_ms) < 0.001
