"""The base of routers and controllers: platform clients, peers, configuration."""

import asyncio
import logging
import random

from stoatpath.configuration.archives import ConfigurationArchive
from stoatpath.configuration.capacity import ListedCapacity
from stoatpath.configuration.followers import ConfigurationFollower
from stoatpath.configuration.keepers import HistoryKeeper
from stoatpath.configuration.statuses import STATUS_TOPIC, MemberStatus
from stoatpath.configuration.stores import ConfigurationStore
from stoatpath.configuration.topics import ConfigurationTopic
from stoatpath.membership.contacts import ACCEPTING_ROLE
from stoatpath.membership.gossip import Gossip
from stoatpath.membership.members import MemberTable
from stoatpath.membership.messages import LEAVING, LIVE, Member
from stoatpath.membership.peers import PeerClient, PeerServer, PeerSigner
from stoatpath.outcomes import is_failure
from stoatpath.services.instance_lists import InstanceList
from stoatpath.services.objects import ObjectStore
from stoatpath.services.tables import Table
from stoatpath.supervisors import Supervisor
from stoatpath.tls import TlsContexts
from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

INSTANCE_READ_PERIOD_MS = 5_000
FIRST_PEERS_TIMEOUT_MS = 2_000


class Node:
    """One member of the cluster: platform clients, gossip and configuration."""

    __slots__ = (
        "settings",
        "clock",
        "role",
        "incarnation",
        "tls",
        "table",
        "instance_list",
        "objects",
        "archive",
        "store",
        "follower",
        "members",
        "peer_server",
        "peer_client",
        "gossip",
        "topic",
        "supervisor",
        "_has_tried_instance_list",
        "_tasks",
    )

    def __init__(self, settings, role, clock):
        self.settings = settings
        self.clock = clock
        self.role = role
        self.incarnation = clock.wall_ms()
        self.tls = TlsContexts.from_settings(settings)
        self.table = Table.from_url(settings.table_url, self.tls.platform)
        self.instance_list = InstanceList.from_url(
            settings.instance_list_url, self.tls.platform
        )
        self.objects = None
        self.archive = None
        if settings.objects_url:
            self.objects = ObjectStore.from_url(settings.objects_url, self.tls.platform)
            self.archive = ConfigurationArchive(self.objects)
        self.store = ConfigurationStore(
            self.table, clock, self.archive, self._read_capacity
        )
        self.follower = ConfigurationFollower(self.store, clock)
        signer = PeerSigner(settings.peer_keys)
        self.peer_server = PeerServer(signer, clock, self.tls.peer_listener)
        self.peer_client = PeerClient(signer, clock, self.tls.peer_client)
        local = Member(settings.name, role, "", settings.zone, self.incarnation, LIVE)
        self.members = MemberTable(local)
        self.gossip = Gossip(
            self.members,
            self.peer_client,
            self.peer_server,
            clock,
            random.Random(),
            settings.gossip_bytes_per_s,
        )
        self.gossip.contacts.add_seed_addresses(settings.peer_seeds)
        self.topic = ConfigurationTopic(
            self.follower,
            clock,
            self.peer_client,
            self.peer_server,
            self.members.address_of,
        )
        self.gossip.add_topic(self.topic)
        self.follower.count_members = lambda: len(self.members.peers()) + 1
        self.peer_server.register(STATUS_TOPIC, self._handle_status_request)
        self.supervisor = Supervisor(clock, random.Random())
        self._has_tried_instance_list = asyncio.Event()
        self._tasks = []

    @classmethod
    def from_settings(cls, settings, role, clock):
        """Build a node that is not yet started."""
        return cls(settings, role, clock)

    async def start(self):
        """Listen to peers, read the configuration once, start all tasks."""
        await self.peer_server.start(self.settings.peer_listen_address)
        self.members.local.address = self.peer_server.address
        await self.follower.poll()
        runs_by_name = {
            "configuration": self.follower.run,
            "fetches": self.topic.run,
            "changes": self._push_changes,
            "gossip": self.gossip.run,
            "tls": lambda: self.tls.run(self.clock),
            "instances": self._run_instance_reads,
        }
        if self.role == ACCEPTING_ROLE and self.archive is not None:
            keeper = HistoryKeeper(
                self.store,
                self.archive,
                self.follower,
                self.members,
                self.clock,
                self.settings.history_kept_revisions,
            )
            runs_by_name["history"] = keeper.run
        self._tasks = self.supervisor.start(runs_by_name)

    async def wait_for_peers(self):
        """Return after the first read of the instance list and one gossip round.

        Both may fail; there is a timeout.
        """
        try:
            async with asyncio.timeout(FIRST_PEERS_TIMEOUT_MS / 1000):
                await self._has_tried_instance_list.wait()
                await self.gossip.run_round()
        except TimeoutError:
            logger.warning("membership.no-peers-yet")

    async def stop(self):
        """End all tasks and close all connections."""
        if self.members.local.state == LEAVING:
            await self.gossip.push()
        await cancel_and_wait(self._tasks)
        await self.peer_server.stop()
        await self.peer_client.close()
        await self.table.close()
        await self.instance_list.close()
        if self.objects is not None:
            await self.objects.close()

    async def _push_changes(self):
        """Push each revision that comes into force to peers at once."""
        while True:
            await self.follower.wait_for_change()
            self.gossip.trigger_push()

    async def _read_capacity(self):
        """Return the capacity on the platform's instance list, or None if unknown."""
        entries = await self.instance_list.read()
        if is_failure(entries):
            return None
        return ListedCapacity.from_entries(entries.values())

    async def _handle_status_request(self, message):
        return self.status().to_json()

    def status(self):
        """Return the revision of this member, and why it may lag."""
        return MemberStatus.from_node(self)

    async def _run_instance_reads(self):
        while True:
            entries = await self.instance_list.read_cached(self.clock.now_ms())
            if is_failure(entries):
                logger.warning("membership.seed-failed", extra={"why": entries.detail})
            else:
                self.gossip.update_candidates(entries.values())
            self._has_tried_instance_list.set()
            await self.clock.sleep_until(self.clock.now_ms() + INSTANCE_READ_PERIOD_MS)
