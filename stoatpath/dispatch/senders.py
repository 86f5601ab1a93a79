"""Sends one attempt to one backend server and classifies what came back."""

import asyncio

import aiohttp

from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.dispatch.checks import broken, check_completion, foreign
from stoatpath.dispatch.messages import Answer
from stoatpath.dispatch.streams import EventReader
from stoatpath.outcomes import (
    BACKEND_ERROR,
    BROKEN_ANSWER,
    CONNECT_FAILED,
    REFUSED_BY_BACKEND,
    TIMED_OUT,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.tls import scheme
from stoatpath.utils import encode_json

CONNECT_TIMEOUT_MS = 500
NOT_RUN_HEADER = "Engine-Not-Run"
REQUEST_ID_HEADER = "Stoatpath-Request-Id"
DEADLINE_HEADER = "Stoatpath-Timeout-Ms"


class Sender:
    """Owns the connections to backend servers.

    Requests that may not be repeated never use a connection that stood idle.
    """

    __slots__ = ("_clock", "_tls", "_pooled", "_fresh")

    def __init__(self, clock, tls=None):
        self._clock = clock
        self._tls = tls
        self._pooled = None
        self._fresh = None

    async def start(self):
        """Open the connection pools."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000
        )
        self._pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, ssl=self._tls or True),
            timeout=timeout,
        )
        self._fresh = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, force_close=True, ssl=self._tls or True
            ),
            timeout=timeout,
        )

    async def close(self):
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()

    async def send(self, attempt):
        """Return an answer, or a failure that says whether the attempt ran."""
        remaining_ms = attempt.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            return Failure(TIMED_OUT, "the deadline passed before sending")
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                return await self._exchange(attempt, remaining_ms)
        except TimeoutError:
            return Failure(TIMED_OUT, "no whole answer in time", Outcome.UNKNOWN)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(CONNECT_FAILED, type(error).__name__)
        except (aiohttp.ClientError, OSError) as error:
            return Failure(BROKEN_ANSWER, type(error).__name__, Outcome.UNKNOWN)

    async def _exchange(self, attempt, remaining_ms):
        request = attempt.request
        session = self._pooled if request.is_repeatable else self._fresh
        headers = {
            REQUEST_ID_HEADER: request.request_id,
            DEADLINE_HEADER: str(int(remaining_ms)),
        }
        if request.content_type:
            headers["Content-Type"] = request.content_type
        call = session.request(
            request.method,
            f"{scheme(self._tls)}://{attempt.backend.address}{request.path}",
            data=_payload(attempt),
            headers=headers,
            allow_redirects=False,
        )
        async with call as response:
            if response.headers.get(NOT_RUN_HEADER) == "true":
                return Failure(REFUSED_BY_BACKEND, f"status {response.status}")
            if request.service.kind == MODEL_SERVICE:
                return await self._read_completion(attempt, response)
            return await self._read_call(attempt, response)

    async def _read_completion(self, attempt, response):
        if response.status != 200:
            detail = f"status {response.status}"
            return Failure(BACKEND_ERROR, detail, Outcome.UNKNOWN)
        request_id = attempt.request.request_id
        if attempt.stream is not None:
            reader = EventReader(request_id, attempt.version.name)
            answer = await reader.relay(response.content, attempt.stream)
        else:
            body = await response.read()
            answer = check_completion(request_id, attempt.version.name, body)
        if is_failure(answer):
            response.close()
        return answer

    async def _read_call(self, attempt, response):
        echoed = response.headers.get(REQUEST_ID_HEADER, attempt.request.request_id)
        if echoed != attempt.request.request_id:
            response.close()
            return foreign({"id": echoed})
        body = await response.read()
        if response.status >= 500:
            detail = f"status {response.status}"
            return Failure(BACKEND_ERROR, detail, Outcome.UNKNOWN)
        if response.content_length is None and "Transfer-Encoding" not in (
            response.headers
        ):
            return broken("the answer has neither length nor end marker")
        content_type = response.headers.get("Content-Type", "")
        return Answer(response.status, content_type, body, "", 0)


def _payload(attempt):
    request = attempt.request
    if request.service.kind != MODEL_SERVICE:
        return request.body
    body = dict(request.body)
    body["model"] = attempt.version.model
    body["version"] = attempt.version.name
    body["request_id"] = request.request_id
    return encode_json(body)
