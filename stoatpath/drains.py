"""Stops a gateway gracefully within the platform's grace period."""

import asyncio
import logging

logger = logging.getLogger(__name__)

# The platform asks once a second whether an instance is ready and takes it out
# after two refusals; connections made before that still bring requests.
LEAVE_MS = 3_000.0
# Kept for the end of the process before the platform kills it.
EXIT_MARGIN_MS = 900.0
LOOK_PERIOD_MS = 50.0
# Part of the grace period before the cut in which nothing new is taken: whatever is
# taken must have ended by then.
LAST_PART = 0.2


class Drain:
    """The steps of a graceful stop, bounded by one deadline.

    First everything is served on while callers are led elsewhere. Then streams that
    might not end in time are refused, and what is in flight is awaited.
    """

    __slots__ = ("_gateway", "_clock")

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock

    async def run(self):
        """Return whether everything was finished before the deadline."""
        began_ms = self._clock.now_ms()
        cut_at_ms = began_ms + self._gateway.boot.grace_ms - EXIT_MARGIN_MS
        logger.info("drain.began", extra={"open": self._open()})
        listener = self._gateway.listener
        listener.mark_leaving()
        last_part_ms = LAST_PART * self._gateway.boot.grace_ms
        self._gateway.interface.accept_until_ms = cut_at_ms - last_part_ms
        await self._clock.sleep_until(min(began_ms + LEAVE_MS, cut_at_ms))
        self._gateway.interface.refuses_streams = True
        listener.close_idle()
        is_clean = await self._await_idle(cut_at_ms)
        if not is_clean:
            logger.error("drain.cut", extra={"open": self._open()})
            listener.abort_requests()
            await asyncio.sleep(0)
        logger.info("drain.ended", extra={"is_clean": is_clean})
        return is_clean

    async def _await_idle(self, cut_at_ms):
        """Return whether no request is in flight by a clock reading."""
        while self._open():
            if self._clock.now_ms() >= cut_at_ms:
                return False
            await self._clock.sleep_until(self._clock.now_ms() + LOOK_PERIOD_MS)
        return True

    def _open(self):
        return len(self._gateway.listener.open_by_id)
