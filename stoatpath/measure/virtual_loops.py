"""Runs coroutines in virtual time: the event loop never waits."""

import asyncio

from stoatpath.clock import Clock


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer when no callback is ready."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 0.0
        self._selector.select = self._advance

    def time(self):
        """Return virtual time in seconds."""
        return self._virtual_s

    def _advance(self, timeout):
        if timeout is None:
            raise RuntimeError("all tasks wait for something that never happens")
        self._virtual_s += max(0.0, timeout)
        return []


class VirtualClock(Clock):
    """A clock that follows a virtual loop, at an offset."""

    __slots__ = ("_loop", "_offset_ms")

    def __init__(self, loop, offset_ms=0.0):
        self._loop = loop
        self._offset_ms = offset_ms

    def now_ms(self):
        """Return virtual time plus the offset."""
        return self._loop.time() * 1000 + self._offset_ms

    def wall_ms(self):
        """Return the same in whole milliseconds."""
        return int(self.now_ms())


def run_virtually(main):
    """Run `main(loop)`, a coroutine function, in virtual time; return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.close()
