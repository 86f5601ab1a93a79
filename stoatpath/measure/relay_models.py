"""A model of instances that copy the store's tables from each other, in virtual time.

The instances run the code of gateways; the store and the network are simulated. All
members know each other, and a failed one stays in everybody's list: gossip would only
make failovers faster. Links have a bandwidth that concurrent transfers share, and
instances can be cut off from the store and from each other.
"""

import asyncio
import random

from stoatpath.feeds.followers import TableFollower
from stoatpath.feeds.reachability import Reachability
from stoatpath.feeds.relays import POLL_SHARE, TableRelay
from stoatpath.feeds.sources import SourceSelector
from stoatpath.measure.virtual_loops import VirtualClock
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.membership.peers import BODY_SILENCE_MS
from stoatpath.outcomes import (
    CONNECT_FAILED,
    CONNECTION_REFUSED,
    PLATFORM_UNAVAILABLE,
    Failure,
)
from stoatpath.platform.row_stores import (
    CALL_TIMEOUT_MS,
    TRANSFER_TIMEOUT_MS,
    Committed,
    Conflict,
    HistoryGone,
    RowPage,
    StoredRow,
)
from stoatpath.sessions.shared_releases import SharedSessions
from stoatpath.utils import cancel_and_wait, decode_json, encode_json

TABLES = ("op", "servers")
LEAD = "op"
STORE_DELAY_MS = 4.0
PEER_DELAY_MS = 2.0
SERVERS_WAIT_MS = 4_000
BATCH_DELAY_MS = 200.0
SILENCE_S = 60.0
CLOCK_SPREAD_MS = 1_000_000.0
CHUNK_BYTES = 8 * 1024
BYTES_PER_MS_PER_MBIT = 125.0
# Bytes of a row of the store's answers besides its value.
ROW_OVERHEAD_BYTES = 100


class ModelLink:
    """The link of an instance, with the same bandwidth for each direction."""

    __slots__ = ("mbits", "sending", "receiving")

    def __init__(self, mbits):
        self.mbits = mbits
        self.sending = 0
        self.receiving = 0


async def transfer(size, sender, receiver, on_chunk=lambda: None):
    """Wait until the bytes have passed both links; None is an unlimited link.

    Transfers of a link share its bandwidth equally. `on_chunk` is called after each
    chunk.
    """
    if sender is not None:
        sender.sending += 1
    if receiver is not None:
        receiver.receiving += 1
    try:
        while size > 0:
            rates = []
            if sender is not None:
                rates.append(sender.mbits / sender.sending)
            if receiver is not None:
                rates.append(receiver.mbits / receiver.receiving)
            chunk = min(size, CHUNK_BYTES)
            if rates:
                await asyncio.sleep(chunk / (min(rates) * BYTES_PER_MS_PER_MBIT) / 1000)
            on_chunk()
            size -= chunk
    finally:
        if sender is not None:
            sender.sending -= 1
        if receiver is not None:
            receiver.receiving -= 1


def build_config_value(count, revision, seed=1):
    """Return the bytes of an operator's row with a number of routes."""
    rng = random.Random(seed)
    kinds = ("idempotent", "non_idempotent", "streaming")
    routes = []
    for index in range(count):
        tag = f"{rng.getrandbits(32):08x}"
        routes.append(
            {
                "name": f"route-{index}-{tag}",
                "host": f"{tag}.example.test",
                "prefix": f"/v1/{rng.getrandbits(24):06x}/",
                "kind": kinds[index % 3],
                "service": f"service-{rng.randrange(40)}",
                "timeout_ms": rng.randrange(500, 60_000),
                "target_latency_ms": rng.randrange(100, 500),
                "priority": rng.randrange(4),
                "max_attempts": rng.randrange(1, 4),
                "public": rng.random() < 0.5,
            }
        )
    services = [{"name": f"service-{index}"} for index in range(40)]
    return encode_json({"version": revision, "services": services, "routes": routes})


class ModelStore:
    """Rows of some tables; counts the calls of all instances by name.

    The store is unreachable for the instances in `unreachable_from`. Waiting polls of
    the tables in `silent_polls` are never answered. Changes after a version below
    `oldest_version` are no longer known. `links_by_name` are the links of instances.
    `call_starts` has the time in ms and the caller of each call.
    """

    __slots__ = (
        "calls_by_name",
        "call_starts",
        "unreachable_from",
        "silent_polls",
        "oldest_version",
        "links_by_name",
        "_loop",
        "_rows",
        "_changed",
    )

    def __init__(self, loop):
        self.calls_by_name = {}
        self.call_starts = []
        self.unreachable_from = set()
        self.silent_polls = set()
        self.oldest_version = 0
        self.links_by_name = {}
        self._loop = loop
        self._rows = []
        self._changed = asyncio.Event()

    @property
    def version(self):
        """The newest version of all tables."""
        return len(self._rows)

    @property
    def calls(self):
        """The number of calls of all instances."""
        return sum(self.calls_by_name.values())

    def put(self, table, key, is_deleted=False, value=b"{}"):
        """Write or remove a row; return the new version."""
        value = None if is_deleted else value
        row = StoredRow(key, self.version + 1, value, is_deleted)
        self._rows.append((table, row))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def call(self, name, answer, wait_ms=0.0, on_progress=lambda: None):
        """Return `answer()` after the delays of a call, or a failure.

        `on_progress` is called as bytes of the answer arrive.
        """
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        self.call_starts.append((self._loop.time() * 1000, name))
        await asyncio.sleep(STORE_DELAY_MS / 2000)
        if name in self.unreachable_from:
            return await self._run_into_time_limit()
        page = answer()
        if not isinstance(page, RowPage):
            return page
        deadline_s = self._loop.time() + wait_ms / 1000
        while self._loop.time() < deadline_s and not page.rows:
            if name in self.unreachable_from:
                break
            try:
                async with asyncio.timeout_at(deadline_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            page = answer()
        if name in self.unreachable_from:
            return await self._run_into_time_limit()
        await asyncio.sleep(STORE_DELAY_MS / 2000)
        link = self.links_by_name.get(name)
        if link is None or not isinstance(page, RowPage):
            return page
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_MS / 1000):
                await transfer(_page_bytes(page), None, link, on_progress)
        except TimeoutError:
            return Failure(PLATFORM_UNAVAILABLE, "no answer in time")
        return page

    async def _run_into_time_limit(self):
        await asyncio.sleep(CALL_TIMEOUT_MS / 1000)
        return Failure(PLATFORM_UNAVAILABLE, "unreachable")

    def commit(self, writes):
        """Apply `RowWrite`s if all their conditions hold."""
        for write in writes:
            known = [row for row in self.page(write.table).rows if row.key == write.key]
            if write.expected_version != (known[0].version if known else 0):
                return Conflict()
        for write in writes:
            self.put(write.table, write.key, write.value is None, write.value)
        return Committed(self.version, self._loop.time() * 1000)

    def page(self, table, after=None):
        """Return the newest rows of a table, or those changed after a version."""
        if after is not None and after < self.oldest_version:
            return HistoryGone()
        newest = {}
        for name, row in self._rows:
            if name == table and (after is None or row.version > after):
                newest[row.key] = row
        rows = [row for row in newest.values() if after is not None or row.value]
        return RowPage(rows, self.version, self._loop.time() * 1000, True)


class ModelStoreClient:
    """The calls of one instance, as `RowStore` makes them; `writes` counts writes."""

    __slots__ = ("_store", "_name", "writes")

    def __init__(self, store, name):
        self._store = store
        self._name = name
        self.writes = 0

    async def read(self, table, start="", on_progress=lambda: None):
        """Read a whole table."""
        return await self._store.call(
            self._name, lambda: self._store.page(table), 0.0, on_progress
        )

    async def write(self, writes):
        """Write rows if all conditions hold."""
        self.writes += 1
        return await self._store.call(self._name, lambda: self._store.commit(writes))

    async def wait_for_changes(self, table, version, wait_ms, on_progress=lambda: None):
        """Wait for changes of a table."""
        answer = self._store.call(
            self._name,
            lambda: self._store.page(table, version),
            wait_ms,
            on_progress,
        )
        page = await answer
        if wait_ms and table in self._store.silent_polls:
            await asyncio.sleep(SILENCE_S)
        return page


class ModelInstance:
    """One instance: its copies, and the relay that keeps them up to date."""

    __slots__ = ("name", "zone", "clock", "members", "followers_by_table", "relay")

    def __init__(self, fleet, name, zone, bound_ms, rng):
        self.name = name
        self.zone = zone
        self.clock = VirtualClock(fleet.loop, rng.uniform(0.0, CLOCK_SPREAD_MS))
        self.members = MemberTable(model_member(name, zone))
        reachability = Reachability()
        store = ModelStoreClient(fleet.store, name)
        waits_ms = {LEAD: POLL_SHARE * bound_ms, "servers": SERVERS_WAIT_MS}
        self.followers_by_table = {
            table: TableFollower(
                store,
                table,
                waits_ms[table],
                BATCH_DELAY_MS,
                reachability,
                self.clock,
                rng,
                lambda changes: None,
            )
            for table in TABLES
        }
        self.relay = TableRelay(
            self.followers_by_table,
            LEAD,
            bound_ms,
            self.clock.now_ms(),
            SourceSelector(self.members),
            self.members,
            ModelPeerClient(fleet, name),
            fleet.handlers(name),
            reachability,
            self.clock,
            rng,
            SharedSessions(),
        )

    def version(self, table):
        """Return the version of the local copy of a table."""
        return self.followers_by_table[table].copy.version

    def coroutines(self):
        """Return what runs all the time."""
        followers = self.followers_by_table.values()
        return [self.relay.run(), *(follower.run() for follower in followers)]


class ModelPeerClient:
    """Calls of one instance to others, with the faults of the fleet."""

    __slots__ = ("_fleet", "_name")

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def ask(
        self, address, topic, message, timeout_ms, total_ms=None, on_progress=None
    ):
        """Return the answer of an instance, whose address is its name.

        The limits are those of `PeerClient`.
        """
        fleet = self._fleet
        loop = fleet.loop
        end_s = loop.time() + (timeout_ms if total_ms is None else total_ms) / 1000

        def extend_silence():
            if on_progress is not None:
                on_progress()
            if total_ms is not None:
                silence.reschedule(min(end_s, loop.time() + BODY_SILENCE_MS / 1000))

        try:
            async with asyncio.timeout(timeout_ms / 1000) as silence:
                await asyncio.sleep(PEER_DELAY_MS / 2000)
                if address in fleet.killed:
                    return Failure(CONNECTION_REFUSED, "refused")
                if not fleet.is_silent_to(address, self._name):
                    fleet.messages += 1
                    handler = fleet.handlers_by_name[address][topic]
                    if self._name in fleet.plain:
                        message.pop("encodings", None)
                    answer = await handler(decode_json(encode_json(message)))
                    body = encode_json(answer)
                    fleet.bytes_sent += len(body)
                    await asyncio.sleep(PEER_DELAY_MS / 2000)
                    if fleet.is_silent_to(address, self._name):
                        await asyncio.sleep(SILENCE_S)
                    await transfer(
                        len(body),
                        fleet.store.links_by_name.get(address),
                        fleet.store.links_by_name.get(self._name),
                        extend_silence,
                    )
                    if not fleet.is_silent_to(address, self._name):
                        return decode_json(body)
                await asyncio.sleep(SILENCE_S)
        except TimeoutError:
            fleet.given_up += 1
        return Failure(CONNECT_FAILED, "no answer in time")


class ModelFleet:
    """Instances in availability zones, with one store.

    `killed` and `silent` are the names of instances that refuse connections or do not
    answer. `cuts` are pairs of instances, as frozen sets, that don't reach each other.
    `messages` and `bytes_sent` count what instances tell each other, `given_up` the
    answers that were not waited for any longer. `links_mbits` are the bandwidths of the
    instances' links, repeated in turn; None for unlimited ones. Those in `plain` ask
    like builds that do not understand compressed rows.
    """

    __slots__ = (
        "loop",
        "store",
        "killed",
        "silent",
        "cuts",
        "plain",
        "messages",
        "bytes_sent",
        "given_up",
        "handlers_by_name",
        "instances_by_name",
        "_tasks_by_name",
    )

    def __init__(self, loop, count, zones, bound_ms, seed=1, links_mbits=None):
        self.loop = loop
        self.store = ModelStore(loop)
        self.killed = set()
        self.silent = set()
        self.cuts = set()
        self.plain = set()
        self.messages = 0
        self.bytes_sent = 0
        self.given_up = 0
        self.handlers_by_name = {}
        self.instances_by_name = {}
        self._tasks_by_name = {}
        rng = random.Random(seed)
        self.store.put("op", "config")
        for index in range(count):
            zone = f"zone-{index % zones}"
            name = f"instance-{seed}-{index}"
            self.instances_by_name[name] = ModelInstance(
                self, name, zone, bound_ms, rng
            )
            if links_mbits:
                # Links vary within each zone.
                mbits = links_mbits[index // zones % len(links_mbits)]
                self.store.links_by_name[name] = ModelLink(mbits)
        records = [
            model_member(each.name, each.zone)
            for each in self.instances_by_name.values()
        ]
        for instance in self.instances_by_name.values():
            instance.members.merge(records, instance.clock.now_ms())

    def is_silent_to(self, name, other):
        """Return whether no byte of an instance reaches another one."""
        return name in self.silent | self.killed or frozenset((name, other)) in (
            self.cuts
        )

    def handlers(self, name):
        """Return an object with which an instance registers its handlers."""
        return Handlers(self.handlers_by_name.setdefault(name, {}))

    def start(self):
        """Start all instances."""
        for instance in self.instances_by_name.values():
            self._tasks_by_name[instance.name] = [
                self.loop.create_task(each) for each in instance.coroutines()
            ]

    async def kill(self, name):
        """End an instance; its connections are refused from now on."""
        self.killed.add(name)
        await cancel_and_wait(self._tasks_by_name.pop(name))

    async def stop(self):
        """End all instances."""
        for name in list(self._tasks_by_name):
            await cancel_and_wait(self._tasks_by_name.pop(name))

    def readers(self):
        """Return the instances that read the store."""
        return [
            instance
            for name, instance in self.instances_by_name.items()
            if instance.relay.is_reading_store and name not in self.killed
        ]

    async def time_to_all(self, table, version, limit_ms, excluded=()):
        """Return the time until all have a version, in ms, or None beyond a limit."""
        started_s = self.loop.time()
        others = [
            instance
            for name, instance in self.instances_by_name.items()
            if name not in self.killed and name not in excluded
        ]
        while any(each.version(table) < version for each in others):
            if (self.loop.time() - started_s) * 1000 > limit_ms:
                return None
            await asyncio.sleep(0.005)
        return (self.loop.time() - started_s) * 1000


def _page_bytes(page):
    return sum(ROW_OVERHEAD_BYTES + len(row.value or b"") * 4 // 3 for row in page.rows)


class Handlers:
    """Has the method `register` of a `PeerServer`."""

    __slots__ = ("_by_topic",)

    def __init__(self, by_topic):
        self._by_topic = by_topic

    def register(self, topic, handler):
        """Register the handler of a topic."""
        self._by_topic[topic] = handler


def model_member(name, zone):
    """Return the record of a live instance, whose address is its name."""
    return Member(name, "gateway", name, zone, 1, LIVE)
