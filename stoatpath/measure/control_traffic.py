"""Cost of gossip, heartbeats and polling for one real node at several site sizes.

Processor time is that of the node's thread; the fakes run in another thread.
Bytes are those of HTTP messages in both directions, without TCP and IP headers.
"""

import asyncio
import random
import time

from stoatpath.clock import Clock
from stoatpath.configuration.followers import ConfigurationFollower
from stoatpath.configuration.messages import Change, Submission
from stoatpath.configuration.snapshots import Snapshot
from stoatpath.configuration.stores import ConfigurationStore
from stoatpath.configuration.topics import ConfigurationTopic
from stoatpath.measure.control_fakes import KEYS, FakeSite, peer_host
from stoatpath.measure.decision_costs import bytes_per_object
from stoatpath.measure.reports import Figure, Report, Target
from stoatpath.membership.backends import ENGINE, BackendServers
from stoatpath.membership.gossip import Gossip
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LIVE, Member
from stoatpath.membership.peers import PeerClient, PeerServer, PeerSigner
from stoatpath.membership.watchers import BackendWatcher
from stoatpath.services.instance_lists import InstanceList
from stoatpath.services.messages import ListedInstance
from stoatpath.services.tables import Table
from stoatpath.standins.engines import EngineStandin
from stoatpath.standins.instance_lists import InstanceListStandin
from stoatpath.standins.sites import Site
from stoatpath.utils import cancel_and_wait

SITE_SIZES = (9, 60, 180, 540)
POLLED_SERVER_COUNTS = (13, 64, 87)
MEASURED_S = 15.0
WARM_UP_S = 2.0
CHANGES_PER_DAY = 5_400
DAY_S = 86_400
IN_FORCE_ROUTERS = 8
IN_FORCE_CHANGES = 20
DETECTION_RUNS = 5
MAX_CORE_SHARE = 0.034
MAX_BYTES_PER_S = 23_000


class Cost:
    """Bytes per second, share of a core, and exchanges or polls per second."""

    __slots__ = ("bytes_per_s", "core_share", "rate_per_s")

    def __init__(self, bytes_per_s, core_share, rate_per_s):
        self.bytes_per_s = bytes_per_s
        self.core_share = core_share
        self.rate_per_s = rate_per_s


def run(seed):
    """Measure all sizes and return the report."""
    figures = []
    for size in SITE_SIZES:
        figures += _gossip_figures(size, _measure_gossip(size, seed))
    for count in POLLED_SERVER_COUNTS:
        figures += _polling_figures(count, _measure_polling(count, seed))
    figures += _memory_figures()
    figures += asyncio.run(_measure_in_force())
    figures += asyncio.run(_measure_detection())
    targets = [
        Target("control.bytes_per_s.peers-540", "at-most", MAX_BYTES_PER_S),
        Target("control.core_share.peers-540", "at-most", MAX_CORE_SHARE),
    ]
    figures += _total_figures(figures)
    return Report("control", seed, figures, targets, is_timed=True)


def _measure_gossip(size, seed):
    fake_site = FakeSite(size - 1, seed)
    fake_site.start()
    try:
        return asyncio.run(_run_gossip_node(fake_site, seed))
    finally:
        fake_site.stop()


async def _run_gossip_node(fake_site, seed):
    clock = Clock()
    signer = PeerSigner(KEYS)
    server = PeerServer(signer, clock)
    client = PeerClient(signer, clock)
    local = Member("router-own", "router", "", "a", clock.wall_ms(), LIVE)
    members = MemberTable(local)
    gossip = Gossip(members, client, server, clock, random.Random(seed))
    table = Table.from_url(fake_site.table_url)
    follower = ConfigurationFollower(ConfigurationStore(table, clock), clock)
    follower.count_members = lambda: len(members.peers()) + 1
    topic = ConfigurationTopic(follower, clock, client, server, members.address_of)
    gossip.add_topic(topic)
    await server.start("127.0.0.1:0")
    local.address = server.address
    members.merge(fake_site.members(), clock.now_ms())
    jobs = (gossip.run(), follower.run(), topic.run(), _push_changes(gossip))
    tasks = [asyncio.create_task(job) for job in jobs]
    fake_site.node_address = server.address
    await asyncio.sleep(WARM_UP_S)
    cost = await _measure_cost(
        lambda: fake_site.bytes_moved + table.connection.bytes_read,
        lambda: fake_site.exchanges,
    )
    await cancel_and_wait(tasks)
    await client.close()
    await table.close()
    await server.stop()
    return cost


async def _push_changes(gossip):
    """Trigger an immediate gossip push as often as the configuration changes."""
    while True:
        gossip.trigger_push()
        await asyncio.sleep(DAY_S / CHANGES_PER_DAY)


async def _measure_cost(count_bytes, count_events):
    bytes_before = count_bytes()
    events_before = count_events()
    cpu_before_s = time.thread_time()
    started_s = time.monotonic()
    await asyncio.sleep(MEASURED_S)
    seconds = time.monotonic() - started_s
    return Cost(
        (count_bytes() - bytes_before) / seconds,
        (time.thread_time() - cpu_before_s) / seconds,
        (count_events() - events_before) / seconds,
    )


def _measure_polling(count, seed):
    fake_site = FakeSite(0, seed)
    fake_site.start()
    try:
        return asyncio.run(_run_backend_watcher(fake_site, count))
    finally:
        fake_site.stop()


class _FixedList:
    """An instance list held in memory, so that reading it costs nothing."""

    __slots__ = ("entries",)

    def __init__(self, entries):
        self.entries = entries

    async def read_cached(self, now_ms):
        """Return the entries by name."""
        return self.entries


async def _run_backend_watcher(fake_site, count):
    entries = {}
    for index in range(count):
        name = f"engine-{index}"
        address = f"{peer_host(index)}:{fake_site.port}"
        entries[name] = ListedInstance(name, ENGINE, address, "a", "tern-small", "live")
    watcher = BackendWatcher(BackendServers(), _FixedList(entries), Clock())
    task = asyncio.create_task(watcher.run())
    await asyncio.sleep(WARM_UP_S)
    cost = await _measure_cost(lambda: fake_site.bytes_polled, lambda: fake_site.polls)
    await cancel_and_wait([task])
    return cost


async def _measure_in_force():
    """Return the time from accepting a change until 9 local instances apply it."""
    site = Site()
    await site.start(routers=IN_FORCE_ROUTERS)
    nodes = [router.node for router in site.routers_by_name.values()]
    controller = next(iter(site.controllers_by_name.values())).node
    while len(controller.members.peers()) < IN_FORCE_ROUTERS:
        await asyncio.sleep(0.05)
    times_ms = []
    for number in range(IN_FORCE_CHANGES):
        body = {"cost": number, "current": "1", "versions": {"1": {}}}
        submission = Submission(
            f"s-{number}", "measure", number, [Change("model", "m", body)]
        )
        await controller.store.submit(Snapshot.empty(), submission)
        started_ms = controller.clock.now_ms()
        await controller.follower.poll()
        await asyncio.gather(
            *(node.follower.wait_for_revision(number + 1) for node in nodes)
        )
        times_ms.append(controller.clock.now_ms() - started_ms)
        await asyncio.sleep(0.3)
    await site.stop()
    times_ms.sort()
    name = "configuration.in_force_ms.instances-9"
    return [
        Figure(f"{name}.median", round(times_ms[len(times_ms) // 2], 1), "ms"),
        Figure(f"{name}.max", round(times_ms[-1], 1), "ms"),
    ]


async def _measure_detection():
    """Return how long a router takes to notice a leaving or dead backend server."""
    leaving_ms = [
        await _measure_detection_ms(lambda engine: _announce_leaving(engine))
        for _ in range(DETECTION_RUNS)
    ]
    dead_ms = [
        await _measure_detection_ms(lambda engine: engine.stop())
        for _ in range(DETECTION_RUNS)
    ]
    return [
        Figure("backends.leaving_noticed_ms.max", round(max(leaving_ms), 1), "ms"),
        Figure("backends.refusing_noticed_ms.max", round(max(dead_ms), 1), "ms"),
    ]


async def _announce_leaving(engine):
    engine.leaving = True


async def _measure_detection_ms(disrupt):
    engines = [EngineStandin(f"e{index}", {"m@1": 0.9}) for index in range(9)]
    listing = InstanceListStandin()
    for engine in engines:
        address = await engine.start()
        listing.add(ListedInstance(engine.name, ENGINE, address, "a", "m", "live"))
    client = InstanceList.from_url(await listing.start())
    servers = BackendServers("router")
    clock = Clock()
    task = asyncio.create_task(BackendWatcher(servers, client, clock).run())
    while len(servers.serving("m@1")) < len(engines):
        await asyncio.sleep(0.01)
    affected = servers.by_name["e0"]
    await disrupt(engines[0])
    started_ms = clock.now_ms()
    while not affected.is_leaving and affected.reported_ms > 0:
        await asyncio.sleep(0.005)
    noticed_ms = clock.now_ms() - started_ms
    await cancel_and_wait([task])
    await client.close()
    for each in [*engines, listing]:
        await each.stop()
    return noticed_ms


def _gossip_figures(size, cost):
    follower = ConfigurationFollower(None, Clock())
    follower.count_members = lambda: size
    polls_per_s = size * 1000 / follower.poll_period_ms()
    changes_per_s = CHANGES_PER_DAY / DAY_S
    return [
        Figure(f"gossip.bytes_per_s.peers-{size}", round(cost.bytes_per_s), "bytes/s"),
        Figure(f"gossip.core_share.peers-{size}", round(cost.core_share, 5), "core"),
        Figure(
            f"gossip.exchanges_per_s.peers-{size}", round(cost.rate_per_s, 2), "per s"
        ),
        Figure(
            f"configuration.table_reads_per_s.site-{size}",
            round(polls_per_s + changes_per_s * size, 1),
            "reads/s",
        ),
        Figure(
            f"configuration.table_writes_per_s.site-{size}",
            round(changes_per_s, 4),
            "writes/s",
        ),
    ]


def _polling_figures(count, cost):
    name = f"servers-{count}"
    return [
        Figure(f"backends.bytes_per_s.{name}", round(cost.bytes_per_s), "bytes/s"),
        Figure(f"backends.core_share.{name}", round(cost.core_share, 5), "core"),
        Figure(f"backends.polls_per_s.{name}", round(cost.rate_per_s, 1), "per s"),
        Figure(
            f"backends.bytes_per_poll.{name}",
            round(cost.bytes_per_s / cost.rate_per_s),
            "bytes",
        ),
    ]


def _memory_figures():
    per_peer = bytes_per_object(_build_members, SITE_SIZES[-1])
    return [Figure("membership.bytes_per_peer", round(per_peer), "bytes")]


def _build_members(count):
    members = MemberTable(Member("own", "router", "10.0.0.1:1", "a", 1, LIVE))
    others = [
        Member(f"router-{index}", "router", f"10.0.{index}.1:1", "a", 1, LIVE)
        for index in range(count)
    ]
    members.merge(others, 0.0)
    return members


def _total_figures(figures):
    by_name = {figure.name: figure.value for figure in figures}
    size, count = SITE_SIZES[-1], POLLED_SERVER_COUNTS[-1]
    total_bytes = (
        by_name[f"gossip.bytes_per_s.peers-{size}"]
        + by_name[f"backends.bytes_per_s.servers-{count}"]
    )
    total_share = (
        by_name[f"gossip.core_share.peers-{size}"]
        + by_name[f"backends.core_share.servers-{count}"]
    )
    return [
        Figure(f"control.bytes_per_s.peers-{size}", total_bytes, "bytes/s"),
        Figure(f"control.core_share.peers-{size}", round(total_share, 5), "core"),
    ]
