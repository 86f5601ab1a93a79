"""Reads request bodies within limits on size, time and total memory."""

import asyncio

from aiohttp import HttpVersion11, web

from stoatpath.backpressure.memory import MemoryAccount, counted_bytes
from stoatpath.heads import expects_continue
from stoatpath.outcomes import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    BODY_TOO_SLOW,
    OVERLOADED,
    Failure,
)

BODY_FIELD = "body"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyReader:
    """Reads bodies, which `memory`, a `MemoryAccount`, counts until they are let go."""

    __slots__ = ("max_bytes", "memory", "_timeout_ms")

    def __init__(self, max_bytes, memory, timeout_ms):
        self.max_bytes = max_bytes
        self.memory = memory
        self._timeout_ms = timeout_ms

    @classmethod
    def from_settings(cls, settings):
        """Build a reader with the limits of the settings."""
        return cls(
            settings.max_body_bytes,
            MemoryAccount(settings.max_buffered_body_bytes),
            settings.body_timeout_ms,
        )

    async def read(self, request):
        """Return a `HeldBody`, or a failure.

        Its bytes are decompressed if the connection does that (`CallerServer`).
        """
        if not request.body_exists:
            return HeldBody(self.memory).complete()
        if (request.content_length or 0) > self.max_bytes:
            return self._too_large()
        body = HeldBody(self.memory)
        # A body of unknown length is expected as it arrives.
        if not body.try_expect(counted_bytes(request.content_length or 0)):
            return _no_memory()
        try:
            problem = await self._read_into(body, request)
        except BaseException:
            body.release()
            raise
        if problem is not None:
            body.release()
            return problem
        return body.complete()

    async def _read_into(self, body, request):
        """Read all of a body; return the failure that ended it, or None."""
        if request.version >= HttpVersion11 and expects_continue(request.headers):
            # aiohttp answers it only in applications. The response is none yet.
            await request.writer.write(CONTINUE_RESPONSE)
            request.writer.output_size = 0
        try:
            async with asyncio.timeout(self._timeout_ms / 1000):
                async for chunk in request.content.iter_any():
                    if len(body.data) + len(chunk) > self.max_bytes:
                        return self._too_large()
                    if not body.extend(chunk):
                        return _no_memory()
        except TimeoutError:
            detail = f"the body took longer than {self._timeout_ms} ms"
            return Failure(BODY_TOO_SLOW, detail, field=BODY_FIELD)
        except web.RequestPayloadError:
            detail = "the body's encoding or framing is broken"
            return Failure(BAD_REQUEST, detail, field=BODY_FIELD)
        return None

    def _too_large(self):
        detail = f"the body is larger than {self.max_bytes} bytes"
        return Failure(BODY_TOO_LARGE, detail, field=BODY_FIELD)


class HeldBody:
    """The bytes of a body, and how many of them are expected and counted as held."""

    __slots__ = ("data", "_expected_bytes", "_held_bytes", "_memory")

    def __init__(self, memory):
        self.data = bytearray()
        self._expected_bytes = 0
        self._held_bytes = 0
        self._memory = memory

    def try_expect(self, size):
        """Expect a number of bytes; return whether there was room for them."""
        if not self._memory.try_expect(size):
            return False
        self._expected_bytes += size
        return True

    def extend(self, chunk):
        """Add bytes; return whether there was room for them."""
        more_bytes = counted_bytes(len(self.data) + len(chunk)) - self._held_bytes
        unexpected_bytes = more_bytes - self._expected_bytes
        if unexpected_bytes > 0 and not self.try_expect(unexpected_bytes):
            return False
        self._memory.forget_expected(min(more_bytes, self._expected_bytes))
        self._expected_bytes -= min(more_bytes, self._expected_bytes)
        self._memory.hold(more_bytes)
        self._held_bytes += more_bytes
        self.data += chunk
        return True

    def complete(self):
        """Convert the data to bytes; return the body."""
        self._forget_expected()
        self.data = bytes(self.data)
        return self

    def release(self):
        """Let go of the bytes."""
        self._forget_expected()
        self._memory.release(self._held_bytes)
        self._held_bytes = 0

    def _forget_expected(self):
        self._memory.forget_expected(self._expected_bytes)
        self._expected_bytes = 0

    def release_with(self, owner):
        """Let go of the bytes when the request that has them is deleted."""
        self._memory.release_with(owner, self._held_bytes)


def _no_memory():
    return Failure(OVERLOADED, "too many bodies at once", field=BODY_FIELD)
