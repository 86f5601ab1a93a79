"""The task that polls the instance list and the load of backend servers."""

import asyncio
import errno
import logging

import aiohttp

from stoatpath.membership.backends import ENGINE
from stoatpath.outcomes import is_failure
from stoatpath.response_handlers import build_connector
from stoatpath.tls import url_scheme
from stoatpath.utils import decode_json, read_at_most

logger = logging.getLogger(__name__)

LIST_PERIOD_MS = 2_000
MIN_LOAD_PERIOD_MS = 250
LOAD_TIMEOUT_MS = 1_000
MAX_POLL_BYTES_PER_S = 10_000
BYTES_PER_POLL = 400  # assumed size of a request and its answer
MAX_CONCURRENT_POLLS = 16
MAX_REPORT_BYTES = 64 * 1024


class BackendWatcher:
    """Reads the platform's list and the load reports of backend servers."""

    __slots__ = (
        "polls",
        "_servers",
        "_instance_list",
        "_clock",
        "_tls",
        "_session",
        "_poll_slots",
    )

    def __init__(self, servers, instance_list, clock, tls=None):
        self.polls = 0
        self._tls = tls
        self._servers = servers
        self._instance_list = instance_list
        self._clock = clock
        self._session = None
        self._poll_slots = asyncio.Semaphore(MAX_CONCURRENT_POLLS)

    async def run(self):
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_MS / 1000)
        connector = build_connector(limit=0, ssl=self._tls or True)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        ) as session:
            self._session = session
            next_list_ms = self._clock.now_ms()
            while True:
                now_ms = self._clock.now_ms()
                if now_ms >= next_list_ms:
                    await self._read_list()
                    next_list_ms = now_ms + LIST_PERIOD_MS
                await self._read_loads()
                await self._clock.sleep_until(now_ms + self.load_period_ms())

    def load_period_ms(self):
        """Return the poll period that keeps within `MAX_POLL_BYTES_PER_S`."""
        count = len(self._servers.by_name)
        period_ms = count * BYTES_PER_POLL / MAX_POLL_BYTES_PER_S * 1000
        return max(MIN_LOAD_PERIOD_MS, period_ms)

    async def _read_list(self):
        entries = await self._instance_list.read_cached(self._clock.now_ms())
        if is_failure(entries):
            logger.warning("membership.list-failed", extra={"why": entries.detail})
            return
        self._servers.apply_list(entries, self._clock.now_ms())

    async def _read_loads(self):
        backends = list(self._servers.by_name.values())
        await asyncio.gather(*(self._read_load(backend) for backend in backends))

    async def _read_load(self, backend):
        path = "/v1/load" if backend.kind == ENGINE else "/stoatpath/load"
        url = f"{url_scheme(self._tls)}://{backend.address}{path}"
        async with self._poll_slots:
            self.polls += 1
            sent_ms = self._clock.now_ms()
            try:
                async with self._session.get(url) as response:
                    body = await read_at_most(response.content, MAX_REPORT_BYTES)
                    report = decode_json(body)
            except aiohttp.ClientConnectorError as error:
                if error.os_error.errno == errno.ECONNREFUSED:
                    self._servers.apply_refusal(backend.name)
                return
            except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
                return
        self._servers.apply_report(backend.name, report, sent_ms)
