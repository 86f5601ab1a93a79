"""Stops a gateway gracefully within the platform's grace period."""

import logging

from stoatpath.outcomes import SHUTTING_DOWN, Failure
from stoatpath.stop_times import READINESS_LAG_MS

logger = logging.getLogger(__name__)

POLL_PERIOD_MS = 50.0


class Drain:
    """The steps of a graceful stop, at the `StopTimes` of the gateway.

    First all requests are served while the platform sends callers elsewhere, also those
    that peers forward. Then requests are refused whose own deadline is later than that
    of the stop, since they might not end in time, also those that wait for a slot, and
    requests in flight are awaited. Shortly before the deadline, all new requests are
    refused, and those that wait for a slot. Once none is in flight, no more connections
    are accepted, and what has arrived on those that are open is answered. What is still
    open at the end is answered with a failure.
    """

    __slots__ = ("_gateway", "_clock", "_times")

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._times = gateway.stop_times

    async def run(self):
        """Return whether all requests ended before the deadline."""
        began_ms = self._clock.now_ms()
        times = self._times
        times.begin(began_ms, self._gateway.boot.grace_ms)
        extra = {
            "open": self._open_request_count(),
            "is_asked": self._gateway.peer_finder.is_asked(),
        }
        logger.info("drain.began", extra=extra)
        listener = self._gateway.listener
        listener.mark_leaving()
        await self._clock.sleep_until(times.accept_all_until_ms)
        self._refuse_unfit()
        await self._clock.sleep_until(
            min(began_ms + READINESS_LAG_MS, times.last_requests_ms)
        )
        listener.close_idle()
        await self._await_requests(times.last_requests_ms)
        self._refuse_waiting()
        # Requests that came meanwhile are still answered.
        await listener.stop_accepting()
        is_clean = await self._await_connections(times.abort_at_ms)
        if not is_clean:
            is_clean = await self._answer_open()
        logger.info("drain.ended", extra={"is_clean": is_clean})
        return is_clean

    def _refuse_unfit(self):
        """Refuse the requests that wait for a slot and might not end in time."""
        now_ms = self._clock.now_ms()
        self._gateway.gate.refuse_waiting(
            lambda request: self._times.check_first_send(now_ms, request.deadline_ms)
        )

    def _refuse_waiting(self):
        """Refuse all requests that wait for a slot: they have not run."""
        failure = Failure(SHUTTING_DOWN, "the instance stops before it has a slot")
        self._gateway.gate.refuse_waiting(lambda request: failure)

    async def _answer_open(self):
        """Answer all open requests with a failure; return whether there were none.

        Requests that were not read while the process was paused are answered, too.
        """
        open_count = self._open_request_count()
        listener = self._gateway.listener
        if open_count:
            logger.error("drain.cut", extra={"open": open_count})
            listener.end_requests()
        times = self._times
        write_ms = times.write_until_ms - times.abort_at_ms
        await self._await_connections(self._clock.now_ms() + write_ms)
        listener.abort_requests()
        return not open_count

    async def _await_requests(self, until_ms):
        """Return once no request is open, at the latest at a clock reading."""
        while self._open_request_count() and self._clock.now_ms() < until_ms:
            await self._clock.sleep_until(self._clock.now_ms() + POLL_PERIOD_MS)

    async def _await_connections(self, until_ms):
        """Return whether all requests that arrived are answered by a clock reading.

        Requests that have arrived in part or are not yet read are waited for, too.
        """
        listener = self._gateway.listener
        while listener.has_unanswered():
            if self._clock.now_ms() >= until_ms:
                return False
            due_ms = min(until_ms, self._clock.now_ms() + POLL_PERIOD_MS)
            await self._clock.sleep_until(due_ms)
            listener.close_idle()
        return True

    def _open_request_count(self):
        return len(self._gateway.listener.open_by_id)
