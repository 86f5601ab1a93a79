"""Detects early that a backend server that stopped sending is unreachable."""

import asyncio

# Silence after which the backend server is probed. A queued or preempted stream may
# be silent for longer; a backend server that still accepts connections is alive.
PROBE_AFTER_SILENCE_MS = 800.0
# A healthy backend server may fall silent for a second or so, and accept no connections
# meanwhile: it counts as unreachable after another probe, which starts no sooner.
CONFIRM_AFTER_SILENCE_MS = 1_500.0


class LivenessWatch:
    """Probes the backend server while an exchange is silent.

    Aborts the exchange if two probes in a row fail and no bytes arrive meanwhile.
    `is_reachable` is a coroutine function that returns whether an address accepts
    connections.
    """

    __slots__ = ("_attempt", "_deadlines", "_clock", "_is_reachable", "_timer", "_task")

    def __init__(self, attempt, deadlines, clock, is_reachable):
        self._attempt = attempt
        self._deadlines = deadlines
        self._clock = clock
        self._is_reachable = is_reachable
        self._timer = None
        self._task = None

    def start(self):
        """Start watching the exchange."""
        self._schedule_check(PROBE_AFTER_SILENCE_MS)

    def stop(self):
        """Stop watching the exchange."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _schedule_check(self, delay_ms):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000, self._check_silence)

    def _check_silence(self):
        if self._deadlines.is_writing:
            # Nothing is read while the caller does not take what was read before.
            self._schedule_check(PROBE_AFTER_SILENCE_MS)
            return
        silent_ms = self._clock.now_ms() - self._deadlines.last_received_ms
        if silent_ms < PROBE_AFTER_SILENCE_MS:
            self._schedule_check(PROBE_AFTER_SILENCE_MS - silent_ms)
        else:
            self._task = asyncio.get_running_loop().create_task(self._probe())

    async def _probe(self):
        last_ms = self._deadlines.last_received_ms
        if not await self._is_answering(last_ms):
            await self._clock.sleep_until(last_ms + CONFIRM_AFTER_SILENCE_MS)
            if not await self._is_answering(last_ms):
                self._deadlines.abort_unreachable()
                return
        self._schedule_check(PROBE_AFTER_SILENCE_MS)

    async def _is_answering(self, last_ms):
        """Return whether bytes have arrived since `last_ms`, or a probe succeeds."""
        if self._deadlines.last_received_ms > last_ms:
            return True
        is_reachable = await self._is_reachable(self._attempt.backend.address)
        return is_reachable or self._deadlines.last_received_ms > last_ms
