"""Bounds the bytes that a process holds for callers, backend servers and queues.

Callers and backend servers may read slowly, and whatever is held for them meanwhile
counts towards the memory of the process. Bodies are counted until they are let go.
Beyond the bound new work is refused, and answers are read one after the other.
"""

import asyncio
import weakref

# Smaller bodies are not counted: the number of connections bounds their sum.
COUNTED_FROM_BYTES = 4_096
ROOM_CHECK_S = 0.02
# What a connection may have read beyond what was taken from it: twice the buffer of
# aiohttp (`READ_BUFFER_BYTES`) and one read.
READ_AHEAD_BYTES = 48 * 1024
# Smaller answers fit into that.
RESERVED_FROM_BYTES = 32 * 1024
# The first of the answers that wait for room is read on beyond the bound, unless as
# much is held of whole answers that their callers have yet to take.
FIRST_ANSWER_BYTES = 8 * 1024 * 1024
# The first answer loses its place if its backend server sends nothing for this time.
STALL_S = 0.25


def counted_bytes(size):
    """Return the bytes by which a body of some size is counted."""
    return size if size >= COUNTED_FROM_BYTES else 0


class MemoryAccount:
    """The bytes held, with their bound.

    Each of `sources` returns a number of bytes that are held elsewhere, such as in the
    write buffers of connections. `refusals` counts requests that were refused, `waits`
    answers that were read later. Bytes that are expected leave no room for further
    bodies, but a caller who sends none of them keeps nobody else from being served.
    """

    __slots__ = (
        "max_bytes",
        "sources",
        "refusals",
        "waits",
        "_held_bytes",
        "_reserved_bytes",
        "_partial_bytes",
        "_expected_bytes",
        "_waiting",
    )

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.sources = []
        self.refusals = 0
        self.waits = 0
        self._held_bytes = 0
        self._reserved_bytes = 0
        self._partial_bytes = 0
        self._expected_bytes = 0
        # In the order in which they began to wait.
        self._waiting = {}

    @property
    def held_bytes(self):
        """Return all bytes held or reserved, those of the sources included."""
        return self._here_bytes() + self._reserved_bytes

    def _here_bytes(self):
        sources_bytes = sum(source() for source in self.sources)
        return self._held_bytes + self._partial_bytes + sources_bytes

    def is_full(self):
        """Return whether no new work is to be taken."""
        return self.held_bytes >= self.max_bytes

    def try_expect(self, size):
        """Expect bytes if there is room for them; return whether there was.

        There is always room for a single body.
        """
        taken_bytes = self.held_bytes + self._expected_bytes
        if taken_bytes and taken_bytes + size > self.max_bytes:
            self.refusals += 1
            return False
        self._expected_bytes += size
        return True

    def forget_expected(self, size):
        """Expect bytes no more: they have arrived, or never will."""
        self._expected_bytes -= size

    def hold(self, size):
        """Hold bytes that are here already."""
        self._held_bytes += size

    def release(self, size):
        """Let go of held bytes."""
        self._held_bytes -= size

    def release_with(self, owner, size):
        """Let go of held bytes when `owner`, which refers to them, is deleted."""
        if size:
            weakref.finalize(owner, self.release, size).atexit = False

    def reserve(self, size):
        """Count bytes that may arrive at any time; negative to count fewer."""
        self._reserved_bytes += size

    def hold_partial(self, size):
        """Hold bytes of an answer that is being read; negative at its end."""
        self._partial_bytes += size

    def may_read(self, answer):
        """Return whether more of a `HeldAnswer` may be read.

        The first one of those that wait is read to its end, so that half-read answers
        don't wait for each other.
        """
        if not self.is_full():
            return True
        self._waiting.setdefault(answer)
        here_bytes = self._here_bytes()
        first = next(iter(self._waiting))
        if first is not answer:
            if first.is_stalled() and here_bytes < self.max_bytes + FIRST_ANSWER_BYTES:
                self._waiting[first] = self._waiting.pop(first)
            return False
        whole_bytes = here_bytes - self._partial_bytes
        return (
            whole_bytes < FIRST_ANSWER_BYTES
            or here_bytes < self.max_bytes + FIRST_ANSWER_BYTES
        )

    async def wait_for_room(self, answer):
        """Return once more of an answer may be read; its deadline ends the waiting."""
        self.waits += 1
        while not self.may_read(answer):
            await asyncio.sleep(ROOM_CHECK_S)

    def stop_waiting(self, answer):
        """Let the next answer be the first one that waits, if this one was."""
        self._waiting.pop(answer, None)


class HeldAnswer:
    """The bytes that are held and reserved while one answer is read."""

    __slots__ = ("_memory", "_held_bytes", "_reserved_bytes", "_stalls_s")

    def __init__(self, memory):
        self._memory = memory
        self._stalls_s = float("inf")
        self._held_bytes = 0
        self._reserved_bytes = 0

    def hold(self, size):
        """Hold all bytes that have been read, and reserve what may follow them."""
        self._stalls_s = asyncio.get_running_loop().time() + STALL_S
        more_bytes = counted_bytes(size) - self._held_bytes
        self._memory.hold_partial(more_bytes)
        self._held_bytes += more_bytes
        if size >= RESERVED_FROM_BYTES and not self._reserved_bytes:
            self._reserved_bytes = READ_AHEAD_BYTES
            self._memory.reserve(READ_AHEAD_BYTES)

    def must_wait(self):
        """Return whether there is no room for more of it; small ones don't wait."""
        return bool(self._held_bytes) and not self._memory.may_read(self)

    def is_stalled(self):
        """Return whether nothing has arrived for `STALL_S`, though it might have."""
        return asyncio.get_running_loop().time() > self._stalls_s

    async def wait_for_room(self):
        """Return once there is room for more of it."""
        self._stalls_s = float("inf")
        await self._memory.wait_for_room(self)
        self._stalls_s = asyncio.get_running_loop().time() + STALL_S

    def end(self):
        """Let go of all bytes: there are no more, or somebody else holds the whole."""
        self._memory.stop_waiting(self)
        self._memory.reserve(-self._reserved_bytes)
        self._memory.hold_partial(-self._held_bytes)
        self._reserved_bytes = self._held_bytes = 0
