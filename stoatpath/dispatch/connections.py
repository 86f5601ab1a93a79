"""Connection pools to backend servers, replaced when a connection goes silent."""

import asyncio
import logging

import aiohttp

from stoatpath.dispatch.last_checks import CheckedRequest
from stoatpath.response_handlers import build_connector

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 500
IDLE_TIMEOUT_S = 15.0
UNUSED_AFTER_MS = 60_000
OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


async def accepts_connections(address, timeout_ms=CONNECT_TIMEOUT_MS):
    """Return whether an address accepts a connection; no request is sent."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, writer = await asyncio.open_connection(host, int(port))
    except (TimeoutError, OSError):
        return False
    writer.close()
    return True


class Cohort:
    """The pool of connections to one backend server, which is dropped as a whole.

    A firewall or NAT device that lost the state of one connection has lost that of
    all, so one silent connection drops the whole cohort and the next exchange opens
    a new one. With `is_fresh` each exchange opens its own connection and none is
    reused.
    """

    __slots__ = (
        "address",
        "session",
        "in_use",
        "last_used_ms",
        "is_dropped",
        "is_fresh",
    )

    def __init__(self, address, session, is_fresh):
        self.address = address
        self.session = session
        self.in_use = 0
        self.last_used_ms = 0.0
        self.is_dropped = False
        self.is_fresh = is_fresh


class ConnectionPools:
    """Connection pools by address, and unpooled connections, for attempts."""

    __slots__ = ("_clock", "_tls", "_fresh_cohort", "_by_address", "_echoing_addresses")

    def __init__(self, clock, tls=None):
        self._clock = clock
        self._tls = tls
        self._fresh_cohort = None
        self._by_address = {}
        self._echoing_addresses = set()

    def start(self):
        """Create the session for unpooled connections."""
        self._fresh_cohort = Cohort("", _open_session(True, self._tls), True)

    async def close(self):
        """Close all connections; those of dropped cohorts close with their last use."""
        sessions = [cohort.session for cohort in self._by_address.values()]
        for session in [self._fresh_cohort.session, *sessions]:
            await session.close()

    def acquire(self, address, may_pool):
        """Return the cohort to send on; release it after the exchange."""
        cohort = self._get_pooled(address) if may_pool else self._fresh_cohort
        cohort.in_use += 1
        return cohort

    async def release(self, cohort):
        """Release a cohort; close it when it is dropped and no longer in use."""
        cohort.in_use -= 1
        if cohort.is_dropped and cohort.in_use == 0:
            await cohort.session.close()

    async def drop(self, cohort):
        """Start no more exchanges on a cohort; close it when no longer in use."""
        if cohort.is_fresh or cohort.is_dropped:
            return
        cohort.is_dropped = True
        if self._by_address.get(cohort.address) is cohort:
            del self._by_address[cohort.address]
        logger.warning("dispatch.cohort-dropped", extra={"address": cohort.address})
        if cohort.in_use == 0:
            await cohort.session.close()

    def record_echo(self, address):
        """Record that a backend server echoes request identifiers."""
        self._echoing_addresses.add(address)

    def echoes(self, address):
        """Return whether a backend server has echoed a request identifier."""
        return address in self._echoing_addresses

    async def close_unused(self):
        """Drop the cohorts that were not used for `UNUSED_AFTER_MS`."""
        oldest_ms = self._clock.now_ms() - UNUSED_AFTER_MS
        for address, cohort in list(self._by_address.items()):
            if cohort.in_use == 0 and cohort.last_used_ms < oldest_ms:
                self._echoing_addresses.discard(address)
                await self.drop(cohort)

    def _get_pooled(self, address):
        cohort = self._by_address.get(address)
        if cohort is None:
            cohort = Cohort(address, _open_session(False, self._tls), False)
            self._by_address[address] = cohort
        cohort.last_used_ms = self._clock.now_ms()
        return cohort


def _open_session(is_fresh, tls):
    connection_options = (
        {"force_close": True} if is_fresh else {"keepalive_timeout": IDLE_TIMEOUT_S}
    )
    connector = build_connector(limit=0, ssl=tls or True, **connection_options)
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=CheckedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=OMITTED_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000
        ),
    )
    # aiohttp itself repeats idempotent methods (GET, PUT, DELETE) when a connection
    # closes, even a new one. It has no public option to turn that off.
    session._retry_connection = False
    return session
