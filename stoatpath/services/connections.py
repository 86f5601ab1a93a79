"""An HTTP connection pool to a platform service, with call counters."""

import asyncio

import aiohttp

from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure, Outcome, is_failure
from stoatpath.response_handlers import build_connector
from stoatpath.utils import decode_json, encode_json, read_at_most

THROTTLED_STATUS = 429
UNAVAILABLE_STATUS = 503
# The largest answers are scans of a table and lists of instances.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
PARSE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)


class PlatformConnection:
    """Posts JSON to one platform service and counts calls and bytes.

    Every call is a POST. aiohttp does not retry a POST by itself when a keep-alive
    connection was closed, so the service receives each call at most once.
    `failures` counts calls whose result was a failure.
    """

    __slots__ = (
        "_url",
        "_session",
        "_timeout_s",
        "_tls",
        "calls",
        "failures",
        "throttled",
        "bytes_sent",
        "bytes_read",
    )

    def __init__(self, url, timeout_ms, tls=None):
        self._url = url.rstrip("/")
        self._tls = tls
        self._timeout_s = timeout_ms / 1000
        self._session = None
        self.calls = 0
        self.failures = 0
        self.throttled = 0
        self.bytes_sent = 0
        self.bytes_read = 0

    async def call(self, path, message, parse):
        """Return `parse(answer)`, or a failure when the answer can't be parsed."""
        answer = await self.post(path, message)
        if is_failure(answer):
            return answer
        try:
            return parse(answer)
        except PARSE_ERRORS as error:
            self.failures += 1
            detail = f"{path}: unreadable answer ({type(error).__name__})"
            return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)

    async def post(self, path, message):
        """Return the decoded answer or a failure.

        A failure has the outcome `not-run` only if no connection was made or the
        service itself refused the call.
        """
        payload = encode_json(message)
        self.calls += 1
        self.bytes_sent += len(payload)
        answer = await self._send(path, payload)
        if is_failure(answer):
            self.failures += 1
        return answer

    async def _send(self, path, payload):
        try:
            return await self._exchange(path, payload)
        except aiohttp.ClientConnectorError as error:
            return Failure(PLATFORM_UNAVAILABLE, str(error))
        except aiohttp.ConnectionTimeoutError:
            return Failure(PLATFORM_UNAVAILABLE, f"{path}: no connection in time")
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            detail = f"{path}: {type(error).__name__}"
            return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)

    async def _exchange(self, path, payload):
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._timeout_s)
            connector = build_connector(ssl=self._tls or True)
            self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        async with self._session.post(self._url + path, data=payload) as response:
            body = await read_at_most(response.content, MAX_ANSWER_BYTES)
            self.bytes_read += len(body)
            if response.status in (THROTTLED_STATUS, UNAVAILABLE_STATUS):
                self.throttled += response.status == THROTTLED_STATUS
                return Failure(PLATFORM_UNAVAILABLE, f"{path}: {response.status}")
            answer = decode_json(body) if response.status == 200 else None
            if answer is None:
                detail = f"{path}: status {response.status}"
                return Failure(PLATFORM_UNAVAILABLE, detail, Outcome.UNKNOWN)
            return answer

    async def close(self):
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()
