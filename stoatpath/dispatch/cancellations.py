"""Cancels attempts at engines when their answer is no longer needed."""

import asyncio
import logging

import aiohttp

from stoatpath.response_handlers import build_connector
from stoatpath.tls import url_scheme
from stoatpath.utils import cancel_and_wait, encode_json

logger = logging.getLogger(__name__)

CANCEL_TIMEOUT_MS = 1_000
MAX_CONCURRENT_CANCELS = 200


class Canceller:
    """Sends cancellations in the background, up to `MAX_CONCURRENT_CANCELS`."""

    __slots__ = ("_tls", "_session", "_tasks")

    def __init__(self, tls=None):
        self._tls = tls
        self._session = None
        self._tasks = set()

    def cancel(self, attempt):
        """Ask the engine to stop an attempt, without waiting for the response.

        Dropped when too many are in progress: the engine then runs to completion.
        """
        if len(self._tasks) >= MAX_CONCURRENT_CANCELS:
            return
        task = asyncio.get_running_loop().create_task(self._send_cancel(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Abort the cancellations in progress."""
        await cancel_and_wait(list(self._tasks))
        if self._session is not None:
            await self._session.close()

    async def _send_cancel(self, attempt):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=build_connector(force_close=True, ssl=self._tls or True),
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_MS / 1000),
            )
        message = {
            "request_id": attempt.request.request_id,
            "attempt_id": attempt.attempt_id,
        }
        url = f"{url_scheme(self._tls)}://{attempt.backend.address}/v1/cancel"
        try:
            async with self._session.post(url, data=encode_json(message)):
                # What the engine answers makes no difference.
                pass
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            logger.info(
                "dispatch.cancel-failed",
                extra={"attempt": attempt.attempt_id, "why": type(error).__name__},
            )
