"""Client of the controllers' operator interface."""

import asyncio

import aiohttp

from stoatpath.commands.messages import Reply
from stoatpath.outcomes import (
    CONNECT_FAILED,
    PLATFORM_UNAVAILABLE,
    Failure,
    Outcome,
    is_failure,
)
from stoatpath.response_handlers import build_connector
from stoatpath.utils import decode_json, encode_json, read_at_most

REQUEST_TIMEOUT_MS = 15_000
MAX_ANSWER_BYTES = 64 * 1024 * 1024
UNAVAILABLE_STATUS = 503
MAX_ROUNDS = 3
ROUND_DELAY_S = 0.5


class ControllerClient:
    """Sends each request to the controllers in turn until one answers.

    A submission may reach several controllers; its id makes it idempotent.
    """

    __slots__ = ("_urls", "_key", "_tls", "_session")

    def __init__(self, urls, key, tls=None):
        self._urls = urls
        self._key = key
        self._tls = tls
        self._session = None

    async def get(self, path):
        """Return a `Reply` or a failure."""
        return await self._send("GET", path, None)

    async def post(self, path, message):
        """Return a `Reply`, or a failure that tells whether it may have been run."""
        return await self._send("POST", path, encode_json(message))

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _send(self, method, path, body):
        worst_failure = Failure(
            CONNECT_FAILED, "no controller is named; see --controllers"
        )
        for index in range(MAX_ROUNDS if self._urls else 0):
            if index:
                await asyncio.sleep(ROUND_DELAY_S)
            for url in self._urls:
                reply = await self._send_once(method, url + path, body)
                if not is_failure(reply):
                    return reply
                if worst_failure.outcome is not Outcome.UNKNOWN:
                    worst_failure = reply
        return worst_failure

    async def _send_once(self, method, url, body):
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_MS / 1000)
            connector = build_connector(ssl=self._tls or True, force_close=True)
            headers = {"Authorization": f"Bearer {self._key}"}
            self._session = aiohttp.ClientSession(
                connector=connector, headers=headers, timeout=timeout
            )
        try:
            async with self._session.request(method, url, data=body) as response:
                body = await read_at_most(response.content, MAX_ANSWER_BYTES)
                data = decode_json(body)
        except aiohttp.ClientConnectorError as error:
            return Failure(CONNECT_FAILED, f"{url}: {error}")
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            detail = f"{url}: {type(error).__name__}"
            return Failure(CONNECT_FAILED, detail, Outcome.UNKNOWN)
        if response.status == UNAVAILABLE_STATUS and isinstance(data, dict):
            return _unavailable_failure(url, data)
        if not isinstance(data, dict):
            detail = f"{url}: status {response.status} without JSON"
            return Failure(CONNECT_FAILED, detail, Outcome.UNKNOWN)
        return Reply(response.status, data)


def _unavailable_failure(url, data):
    is_not_run = data.get("outcome") == Outcome.NOT_RUN.value
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
    return Failure(PLATFORM_UNAVAILABLE, f"{url}: {data.get('error')}", outcome)
