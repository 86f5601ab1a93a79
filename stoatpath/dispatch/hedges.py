"""Sends a second attempt when the first is unusually slow to begin."""

import asyncio

from stoatpath.outcomes import is_failure
from stoatpath.utils import cancel_and_wait


class Hedge:
    """Races one attempt with a second one that starts later.

    `start_second` returns a coroutine of the second attempt, or None when there
    is nothing to hedge with. The first whole answer wins; of a streamed answer
    the attempt that writes first.
    """

    __slots__ = ("_attempt", "_start_second", "_second", "_timer")

    def __init__(self, attempt, start_second):
        self._attempt = attempt
        self._start_second = start_second
        self._second = None
        self._timer = None

    async def run(self, first, delay_s):
        """Return the answer or failure of the race; `first` is a coroutine."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._launch)
        relay = self._attempt.relay
        if relay is not None:
            relay.on_owned = self._end_other
        try:
            result = await first
            if self._second is None or not is_failure(result):
                return result
            return await self._await_second(result)
        finally:
            self._timer.cancel()
            if relay is not None:
                relay.on_owned = None
            if self._second is not None and not self._second.done():
                await cancel_and_wait([self._second])

    async def _await_second(self, failure):
        answer = await self._second
        return failure.worse_of(answer) if is_failure(answer) else answer

    def _launch(self):
        second = self._start_second()
        if second is None:
            return
        self._second = asyncio.get_running_loop().create_task(second)
        self._second.add_done_callback(self._second_ended)

    def _second_ended(self, task):
        if not task.cancelled() and not is_failure(task.result()):
            self._attempt.supersede()

    def _end_other(self, attempt):
        """End the attempt that lost the race for a stream."""
        if attempt is not self._attempt:
            self._attempt.supersede()
        elif self._second is not None:
            self._second.cancel()
        else:
            self._timer.cancel()
