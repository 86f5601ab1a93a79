"""How many slots organisations use, averaged over the last seconds."""

import math

AVERAGED_MS = 10_000.0
WAIT_SMOOTHING = 0.2


class Usage:
    """Slots in use, and their average with older times counting less.

    `wait_ms` is the smoothed wait of those that were served from the queue.
    """

    __slots__ = ("running", "wait_ms", "_average", "_updated_ms")

    def __init__(self):
        self.running = 0
        self.wait_ms = 0.0
        self._average = 0.0
        self._updated_ms = 0.0

    def average(self, now_ms):
        """Return the average up to a clock reading."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        kept = math.exp(-elapsed_ms / AVERAGED_MS)
        return self._average * kept + self.running * (1 - kept)

    def learn_wait(self, wait_ms):
        """Take the wait of one request that was served."""
        self.wait_ms += WAIT_SMOOTHING * (wait_ms - self.wait_ms)

    def change(self, difference, now_ms):
        """Take slots that were granted or released."""
        self._average = self.average(now_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        self.running += difference


class OrganisationUsage:
    """Usage of one organisation by short work and by the rest."""

    __slots__ = ("short", "long")

    def __init__(self):
        self.short = Usage()
        self.long = Usage()

    def of_class(self, is_short):
        """Return the usage of short work or of the rest."""
        return self.short if is_short else self.long

    def average(self, now_ms):
        """Return the average of all its slots."""
        return self.short.average(now_ms) + self.long.average(now_ms)

    def prefers_short(self, now_ms):
        """Return whether short work has had less than the rest."""
        return self.short.average(now_ms) <= self.long.average(now_ms)

    def is_gone(self, now_ms):
        """Return whether nothing runs and the average has faded."""
        running = self.short.running + self.long.running
        return running == 0 and self.average(now_ms) < 0.001
