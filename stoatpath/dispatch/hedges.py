"""Sends a hedged attempt when the first byte of an answer is unusually late."""

import asyncio

from stoatpath.outcomes import is_failure
from stoatpath.utils import cancel_and_wait


class Hedge:
    """Runs an attempt and, after a delay, a hedged one concurrently.

    `make_hedge` returns the coroutine of the hedged attempt, or None when none may
    be sent. The first complete answer wins; for a streamed answer, the attempt that
    claims the relay. A failure for which `is_final` returns true settles the request
    as an answer does.
    """

    __slots__ = (
        "_attempt",
        "_make_hedge",
        "_is_final",
        "_hedge_task",
        "_winner",
        "_timer",
    )

    def __init__(self, attempt, make_hedge, is_final=lambda failure: False):
        self._attempt = attempt
        self._make_hedge = make_hedge
        self._is_final = is_final
        self._hedge_task = None
        self._winner = None
        self._timer = None

    async def run(self, first, delay_s):
        """Return the winning answer or the worse failure; `first` is a coroutine."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._start_hedge)
        relay = self._attempt.relay
        if relay is not None:
            relay.on_claimed = self._end_loser
        try:
            result = await first
            if self._hedge_task is None or self._winner is self._attempt:
                return result
            if self._winner is None and self._settles(result):
                return result
            return await self._await_hedge(result)
        finally:
            self._timer.cancel()
            if relay is not None:
                relay.on_claimed = None
            if self._hedge_task is not None and not self._hedge_task.done():
                await cancel_and_wait([self._hedge_task])

    async def _await_hedge(self, failure):
        answer = await self._hedge_task
        if is_failure(answer) and self._is_final(answer):
            return answer
        return failure.combined_with(answer) if is_failure(answer) else answer

    def _start_hedge(self):
        hedge = self._make_hedge()
        if hedge is None:
            return
        self._hedge_task = asyncio.get_running_loop().create_task(hedge)
        self._hedge_task.add_done_callback(self._on_hedge_done)

    def _on_hedge_done(self, task):
        if task.cancelled() or self._winner is self._attempt:
            return
        if self._settles(task.result()):
            self._attempt.supersede()

    def _settles(self, result):
        return not is_failure(result) or self._is_final(result)

    def _end_loser(self, winner):
        """End the attempt that did not write the first event of the stream."""
        self._winner = winner
        if winner is not self._attempt:
            self._attempt.supersede()
        elif self._hedge_task is not None:
            self._hedge_task.cancel()
        else:
            self._timer.cancel()
