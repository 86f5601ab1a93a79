"""Deadlines of one exchange: for the complete answer, first byte and next bytes."""

import asyncio

# Time for which a connection to a backend server stays open after the caller has left,
# to learn what the backend server says or whether it ends.
ABANDONED_MS = 200.0
# A timer that fires later than this tells that the process was paused. Bytes may have
# arrived in that time; they are read within the grace.
LATE_TIMER_MS = 250.0
PAUSE_GRACE_MS = 500.0


class ExchangeDeadlines:
    """An async context manager that raises TimeoutError at the first deadline.

    Received bytes only store a new deadline; the single timer compares it when it
    fires, and is started anew only if that would be too late. In a stream only whole
    events extend it, so that one that stalls and drips bytes or comments ends as a
    silent one does. `last_received_ms` is when the last bytes arrived, initially the
    start.
    `first_byte_ms` is when the first ones did, or None. After a time-out `is_silent`
    says that the connection was idle for too long or its backend server unreachable,
    not that the total time ran out; `is_superseded` that another attempt answered.
    `is_writing` is true while a write to the caller keeps anything from being read.
    """

    __slots__ = (
        "_clock",
        "_total_deadline_ms",
        "_next_byte_deadline_ms",
        "_between_bytes_ms",
        "_timeout",
        "_timer",
        "_timer_due_ms",
        "_loop",
        "_is_open",
        "last_received_ms",
        "first_byte_ms",
        "is_silent",
        "is_superseded",
        "is_writing",
    )

    def __init__(
        self, clock, total_deadline_ms, first_byte_deadline_ms, between_bytes_ms
    ):
        self._clock = clock
        self._total_deadline_ms = total_deadline_ms
        self._next_byte_deadline_ms = first_byte_deadline_ms
        self._between_bytes_ms = between_bytes_ms
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)
        self._timer = None
        self._timer_due_ms = float("inf")
        self._is_open = False
        self.last_received_ms = clock.now_ms()
        self.first_byte_ms = None
        self.is_silent = False
        self.is_superseded = False
        self.is_writing = False

    async def __aenter__(self):
        await self._timeout.__aenter__()
        self._is_open = True
        self._start_timer(self._clock.now_ms())
        return self

    async def __aexit__(self, kind, error, trace):
        self._is_open = False
        self._timer.cancel()
        timeout = self._timeout
        # Both refer to the context of the task, and it to the attempt: as a cycle they
        # would keep its bodies until the next garbage collection.
        self._timer = self._timeout = None
        return await timeout.__aexit__(kind, error, trace)

    def record_bytes(self):
        """Record received bytes and extend the deadline for the next ones."""
        now_ms = self._clock.now_ms()
        self.last_received_ms = now_ms
        if self.first_byte_ms is None:
            self.first_byte_ms = now_ms
        self._next_byte_deadline_ms = now_ms + self._between_bytes_ms
        self._advance_timer(now_ms)

    def record_partial(self):
        """Record received bytes that are no progress: the deadline stays."""
        now_ms = self._clock.now_ms()
        self.last_received_ms = now_ms
        if self.first_byte_ms is None:
            self.first_byte_ms = now_ms

    async def write_to_caller(self, write):
        """Await a write to the caller, during which no bytes are expected.

        Nothing is read while the caller does not take what was read before, so that
        time says nothing of the backend server.
        """
        began_ms = self._clock.now_ms()
        deadline_ms = self._next_byte_deadline_ms
        self._next_byte_deadline_ms = float("inf")
        self.is_writing = True
        try:
            return await write
        finally:
            self.is_writing = False
            now_ms = self._clock.now_ms()
            self._next_byte_deadline_ms = deadline_ms + now_ms - began_ms
            self._advance_timer(now_ms)

    def abort_unreachable(self):
        """End the exchange because its backend server is unreachable."""
        self.is_silent = True
        self._expire()

    def end_within(self, duration_ms):
        """End the exchange after some time, if it has not ended by then."""
        deadline_ms = self._clock.now_ms() + duration_ms
        self._total_deadline_ms = min(self._total_deadline_ms, deadline_ms)
        if self._is_open:
            self._timer.cancel()
            self._start_timer(self._clock.now_ms())

    def supersede(self):
        """End the exchange because another attempt answers."""
        self.is_superseded = True
        self._expire()

    def _advance_timer(self, now_ms):
        """Start the timer anew if it would fire only after the next deadline."""
        if self._is_open and self._next_byte_deadline_ms < self._timer_due_ms:
            self._timer.cancel()
            self._start_timer(now_ms)

    def _start_timer(self, now_ms):
        next_ms = min(self._total_deadline_ms, self._next_byte_deadline_ms)
        self._timer_due_ms = next_ms
        self._timer = self._loop.call_later(
            max(0.0, next_ms - now_ms) / 1000, self._on_timer
        )

    def _on_timer(self):
        now_ms = self._clock.now_ms()
        is_total_expired = now_ms >= self._total_deadline_ms
        if now_ms >= self._timer_due_ms + LATE_TIMER_MS and not is_total_expired:
            grace_ms = min(PAUSE_GRACE_MS, self._between_bytes_ms)
            self._next_byte_deadline_ms = max(
                self._next_byte_deadline_ms, now_ms + grace_ms
            )
        self.is_silent = now_ms >= self._next_byte_deadline_ms and not is_total_expired
        if self.is_silent or is_total_expired:
            self._expire()
        else:
            self._start_timer(now_ms)

    def _expire(self):
        if self._is_open and not self._timeout.expired():
            self._timeout.reschedule(self._loop.time())
