"""Stops a router gracefully within a deadline."""

import asyncio
import logging

logger = logging.getLogger(__name__)

# Time for the answers to requests that have not ended at the deadline.
LAST_ANSWERS_MS = 500.0


class PendingWork:
    """The work that stopping now would cut off or lose."""

    __slots__ = ("request_ids", "pins", "unwritten_records")

    def __init__(self, request_ids, pins, unwritten_records):
        self.request_ids = request_ids
        self.pins = pins
        self.unwritten_records = unwritten_records

    def __str__(self):
        shown = ", ".join(self.request_ids[:10]) or "none"
        return (
            f"requests in flight: {len(self.request_ids)} ({shown}); "
            f"billing records not yet written: {self.unwritten_records}; "
            f"session pins to hand over: {self.pins}"
        )


class Shutdown:
    """The steps of a graceful stop, bounded by one deadline.

    `router` is the router to stop.
    """

    __slots__ = ("_router", "_clock", "_deadline_ms")

    def __init__(self, router):
        self._router = router
        self._clock = router.clock
        self._deadline_ms = None

    async def run(self):
        """Return whether all steps were finished before the deadline."""
        settings = self._router.settings
        now_ms = self._clock.now_ms()
        self._deadline_ms = now_ms + settings.shutdown_timeout_ms
        await self._announce_leaving()
        await self._clock.sleep_until(now_ms + settings.balancer_lag_ms)
        await self._router.listener.stop_accepting()
        results = [await self._run_until_deadline("requests", self._finish_requests)]
        if not all(results):
            await self._answer_open()
        steps = (("pins", self._hand_over_pins), ("records", self._write_records))
        results += [await self._run_until_deadline(name, step) for name, step in steps]
        logger.info("shutdown.finished", extra={"is_clean": all(results)})
        return all(results)

    async def _announce_leaving(self):
        logger.info("shutdown.leaving")
        self._router.node.members.leave()
        self._router.listener.mark_leaving()
        await self._run_until_deadline("gossip", self._router.node.gossip.push)

    async def _finish_requests(self):
        await self._router.listener.drain()
        await self._router.pipeline.drain()

    async def _answer_open(self):
        """Answer the requests that have not ended with a failure."""
        listener = self._router.listener
        listener.end_requests()
        try:
            async with asyncio.timeout(LAST_ANSWERS_MS / 1000):
                await listener.drain()
        except TimeoutError:
            logger.warning(
                "shutdown.unanswered", extra={"open": len(listener.open_by_id)}
            )

    async def _hand_over_pins(self):
        while self._router.pins.needs_hand_over():
            if not await self._router.pins.hand_over_all():
                return
            await asyncio.sleep(0.1)

    async def _write_records(self):
        await self._router.claims.drain()
        await self._router.archive.flush()
        await self._router.outbox.flush()
        await self._router.holder.hand_over()

    async def _run_until_deadline(self, name, step):
        """Run a step until the deadline; return whether it was finished."""
        remaining_ms = self._deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms / 1000)):
                await step()
        except TimeoutError:
            work = self._router.pending_work()
            logger.error("shutdown.cut", extra={"step": name, "work": str(work)})
            return False
        return True
