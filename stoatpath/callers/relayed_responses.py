"""Responses with the whole body of a backend server's answer."""

from aiohttp import web

# Of a body, a connection has no larger part than this, which it copies.
SLICE_BYTES = 64 * 1024


class RelayedResponse(web.Response):
    """Writes the body in slices; the answer is kept until its caller has taken it."""

    def __init__(self, answer):
        super().__init__(
            status=answer.head.status, headers=answer.head.headers, body=answer.body
        )
        self._answer = answer

    async def write_eof(self, data=b""):
        """Write the whole body."""
        body = memoryview(self._answer.body or b"")
        if len(body) <= SLICE_BYTES or self._must_be_empty_body:
            await super().write_eof(data)
            return
        start = 0
        while len(body) - start > SLICE_BYTES:
            await self.write(body[start : start + SLICE_BYTES])
            start += SLICE_BYTES
        await web.StreamResponse.write_eof(self, body[start:])
