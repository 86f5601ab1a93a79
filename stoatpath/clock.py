"""Clocks. All deadlines in the package are readings of a clock."""

import asyncio
import time


class Clock:
    """Monotonic and Unix time in milliseconds.

    Monotonic time includes the time for which the machine is suspended.
    """

    __slots__ = ()

    def now_ms(self):
        """Return monotonic time, which includes time spent suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

    def wall_ms(self):
        """Return Unix time in whole milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep_until(self, deadline_ms):
        """Return once `now_ms()` has reached the deadline."""
        while (remaining_ms := deadline_ms - self.now_ms()) > 0:
            await asyncio.sleep(remaining_ms / 1000)


class ManualClock(Clock):
    """A clock that is advanced by hand, for tests and experiments."""

    __slots__ = ("_now_ms", "_epoch_ms", "_sleepers")

    def __init__(self, now_ms=0.0, epoch_ms=1_700_000_000_000):
        self._now_ms = now_ms
        self._epoch_ms = epoch_ms
        self._sleepers = []

    def now_ms(self):
        """Return the time last set."""
        return self._now_ms

    def wall_ms(self):
        """Return the epoch plus the time last set."""
        return self._epoch_ms + int(self._now_ms)

    async def sleep_until(self, deadline_ms):
        """Return once `advance_to` has reached the deadline."""
        if deadline_ms <= self._now_ms:
            await asyncio.sleep(0)
            return
        waiter = asyncio.get_running_loop().create_future()
        self._sleepers.append((deadline_ms, waiter))
        await waiter

    def advance_to(self, now_ms):
        """Move the clock forward and wake every sleeper that is due."""
        self._now_ms = max(self._now_ms, now_ms)
        due = [item for item in self._sleepers if item[0] <= self._now_ms]
        self._sleepers = [item for item in self._sleepers if item[0] > self._now_ms]
        for _, waiter in sorted(due, key=lambda item: item[0]):
            if not waiter.done():
                waiter.set_result(None)

    def advance_by(self, step_ms):
        """Move the clock forward by a step."""
        self.advance_to(self._now_ms + step_ms)
