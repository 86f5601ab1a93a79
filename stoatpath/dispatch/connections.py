"""Pools of connections to backend servers, dropped by cohort when they go silent."""

import logging

import aiohttp

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 500
POOLED_IDLE_S = 15.0
UNUSED_AFTER_MS = 60_000
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


class Cohort:
    """The pooled connections to one backend server since the last silence.

    A network element that forgot one of them has forgotten all of them, so they
    are dropped together. A fresh cohort opens a connection for each exchange.
    """

    __slots__ = ("address", "session", "in_use", "used_ms", "is_dropped", "is_fresh")

    def __init__(self, address, session, is_fresh):
        self.address = address
        self.session = session
        self.in_use = 0
        self.used_ms = 0.0
        self.is_dropped = False
        self.is_fresh = is_fresh


class ConnectionPools:
    """Owns all connections to backend servers.

    Work that may not be repeated gets a connection of its own, and so does a
    backend server that was never seen to echo request identifiers.
    """

    __slots__ = ("_clock", "_tls", "_fresh", "_by_address", "_echoing")

    def __init__(self, clock, tls=None):
        self._clock = clock
        self._tls = tls
        self._fresh = None
        self._by_address = {}
        self._echoing = set()

    def start(self):
        """Make the pool of fresh connections."""
        self._fresh = Cohort("", _open_session(True, self._tls), True)

    async def close(self):
        """Close all connections."""
        sessions = [cohort.session for cohort in self._by_address.values()]
        for session in [self._fresh.session, *sessions]:
            await session.close()

    def lend(self, address, may_pool):
        """Return the cohort to send on; give it back after the exchange."""
        cohort = self._pooled(address) if may_pool else self._fresh
        cohort.in_use += 1
        return cohort

    async def give_back(self, cohort):
        """Take a cohort back; close it once it is dropped and unused."""
        cohort.in_use -= 1
        if cohort.is_dropped and cohort.in_use == 0:
            await cohort.session.close()

    async def drop(self, cohort):
        """Open no exchange on the connections of a silent cohort any more."""
        if cohort.is_fresh or cohort.is_dropped:
            return
        cohort.is_dropped = True
        if self._by_address.get(cohort.address) is cohort:
            del self._by_address[cohort.address]
        logger.warning("dispatch.cohort-dropped", extra={"address": cohort.address})
        if cohort.in_use == 0:
            await cohort.session.close()

    def note_echo(self, address):
        """Remember that a backend server echoes request identifiers."""
        self._echoing.add(address)

    def echoes(self, address):
        """Return whether a backend server was seen to echo identifiers."""
        return address in self._echoing

    async def close_unused(self):
        """Drop the cohorts of backend servers that get no work any more."""
        oldest_ms = self._clock.now_ms() - UNUSED_AFTER_MS
        for address, cohort in list(self._by_address.items()):
            if cohort.in_use == 0 and cohort.used_ms < oldest_ms:
                self._echoing.discard(address)
                await self.drop(cohort)

    def _pooled(self, address):
        cohort = self._by_address.get(address)
        if cohort is None:
            cohort = Cohort(address, _open_session(False, self._tls), False)
            self._by_address[address] = cohort
        cohort.used_ms = self._clock.now_ms()
        return cohort


def _open_session(is_fresh, tls):
    reuse = {"force_close": True} if is_fresh else {"keepalive_timeout": POOLED_IDLE_S}
    connector = aiohttp.TCPConnector(limit=0, ssl=tls or True, **reuse)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000
        ),
    )
    # aiohttp repeats GET, PUT, DELETE and the like by itself when a connection
    # closes, even a new one. There is no public switch for it.
    session._retry_connection = False
    return session
