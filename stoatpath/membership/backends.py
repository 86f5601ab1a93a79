"""What a router knows about backend servers, and the task that keeps it fresh."""

import asyncio
import logging

import aiohttp

from stoatpath.outcomes import is_failure
from stoatpath.tls import scheme
from stoatpath.utils import decode_json

logger = logging.getLogger(__name__)

LIST_PERIOD_MS = 2_000
LOAD_PERIOD_MS = 250
LOAD_TIMEOUT_MS = 1_000
ENGINE = "engine"
SERVICE = "service"


class BackendServer:
    """One backend server as last reported.

    `slots` and `running` count requests, `token_ms` is the time of one token,
    `reported_ms` the clock reading of the report, `in_flight` what this router
    itself has under way there, `joined_ms` when this router first saw it.
    """

    __slots__ = (
        "name",
        "kind",
        "service",
        "address",
        "zone",
        "versions",
        "slots",
        "running",
        "token_ms",
        "is_leaving",
        "reported_ms",
        "joined_ms",
        "in_flight",
    )

    def __init__(self, name, kind, service, address, zone, joined_ms):
        self.name = name
        self.kind = kind
        self.service = service
        self.address = address
        self.zone = zone
        self.versions = frozenset()
        self.slots = 0
        self.running = 0
        self.token_ms = 0.0
        self.is_leaving = False
        self.reported_ms = float("-inf")
        self.joined_ms = joined_ms
        self.in_flight = 0


class BackendServers:
    """Backend servers by name."""

    __slots__ = ("by_name",)

    def __init__(self):
        self.by_name = {}

    def apply_list(self, entries_by_name, now_ms):
        """Take the platform's list: add the new, mark the leaving, drop the gone."""
        for name, entry in entries_by_name.items():
            if entry.role not in (ENGINE, SERVICE):
                continue
            known = self.by_name.get(name)
            if known is None or known.address != entry.address:
                known = BackendServer(
                    name, entry.role, entry.serves, entry.address, entry.zone, now_ms
                )
                self.by_name[name] = known
            if entry.state == "leaving":
                known.is_leaving = True
        for name in set(self.by_name) - set(entries_by_name):
            del self.by_name[name]

    def apply_report(self, name, report, now_ms):
        """Take a load report of a backend server."""
        backend = self.by_name.get(name)
        if backend is None:
            return
        backend.versions = frozenset(report["versions"])
        backend.slots = report["slots"]
        backend.running = report["running"]
        backend.token_ms = report["token_ms"]
        backend.is_leaving = backend.is_leaving or report["leaving"]
        backend.reported_ms = now_ms

    def serving(self, version):
        """Return the backend servers that report a version as loaded."""
        return [each for each in self.by_name.values() if version in each.versions]

    def of_service(self, service):
        """Return the backend servers of a plain service."""
        return [
            each
            for each in self.by_name.values()
            if each.kind == SERVICE and each.service == service
        ]


class BackendWatcher:
    """Reads the platform's list and the load reports of backend servers."""

    __slots__ = ("_servers", "_instance_list", "_clock", "_tls", "_session")

    def __init__(self, servers, instance_list, clock, tls=None):
        self._tls = tls
        self._servers = servers
        self._instance_list = instance_list
        self._clock = clock
        self._session = None

    async def run(self):
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_MS / 1000)
        connector = aiohttp.TCPConnector(limit=0, ssl=self._tls or True)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self._session = session
            next_list_ms = self._clock.now_ms()
            while True:
                now_ms = self._clock.now_ms()
                if now_ms >= next_list_ms:
                    await self._read_list()
                    next_list_ms = now_ms + LIST_PERIOD_MS
                await self._read_loads()
                await self._clock.sleep_until(now_ms + LOAD_PERIOD_MS)

    async def _read_list(self):
        entries = await self._instance_list.read()
        if is_failure(entries):
            logger.warning("membership.list-failed", extra={"why": entries.detail})
            return
        self._servers.apply_list(entries, self._clock.now_ms())

    async def _read_loads(self):
        backends = list(self._servers.by_name.values())
        await asyncio.gather(*(self._read_load(backend) for backend in backends))

    async def _read_load(self, backend):
        path = "/v1/load" if backend.kind == ENGINE else "/stoatpath/load"
        try:
            url = f"{scheme(self._tls)}://{backend.address}{path}"
            async with self._session.get(url) as response:
                report = decode_json(await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return
        if isinstance(report, dict):
            self._servers.apply_report(backend.name, report, self._clock.now_ms())
