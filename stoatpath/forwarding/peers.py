"""Finds instances that reach the backend servers which this one can't reach."""

import asyncio
import logging

from stoatpath.outcomes import is_failure
from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

REACH_TOPIC = "reach"
ASKED_PEERS = 5
ASK_TIMEOUT_MS = 300.0
# The first period is for the time in which no usable peer is known; it doubles.
FIRST_PERIOD_MS = 100.0
REFRESH_PERIOD_MS = 500.0
# Answers of peers count for this time.
LIFETIME_MS = 1_500.0


class ForwardingPeer:
    """An instance to forward requests to.

    `address` is that of its listener for callers. `unreachable_services` are the
    services of which it reaches no backend server, as known until `valid_until_ms`.
    """

    __slots__ = ("name", "address", "zone", "unreachable_services", "valid_until_ms")

    def __init__(self, name, address, zone, unreachable_services, valid_until_ms):
        self.name = name
        self.address = address
        self.zone = zone
        self.unreachable_services = unreachable_services
        self.valid_until_ms = valid_until_ms


class PeerFinder:
    """Asks peers what they reach, while this instance doesn't reach some services.

    `partitions` is the `PartitionDetector`. `local_address` returns the address at
    which this instance serves callers, "" while it does not take requests.
    """

    __slots__ = (
        "_partitions",
        "_members",
        "_client",
        "_local_address",
        "_clock",
        "_random",
        "_peers_by_name",
        "_task",
    )

    def __init__(
        self, partitions, members, client, server, local_address, clock, random
    ):
        self._partitions = partitions
        self._members = members
        self._client = client
        self._local_address = local_address
        self._clock = clock
        self._random = random
        self._peers_by_name = {}
        self._task = None
        partitions.observers.append(self._handle_change)
        server.register(REACH_TOPIC, self._handle_question)

    def find(self, service):
        """Return the peers that reach a service, those of the same zone first."""
        now_ms = self._clock.now_ms()
        peers = [
            peer
            for peer in self._peers_by_name.values()
            if now_ms < peer.valid_until_ms and service not in peer.unreachable_services
        ]
        self._random.shuffle(peers)
        local_zone = self._members.local.zone
        return sorted(peers, key=lambda peer: peer.zone != local_zone)

    def can_forward(self, service):
        """Return whether a service is reached by peers, and not from here."""
        return self._partitions.is_unreachable(service) and bool(self.find(service))

    def exclude(self, peer):
        """Use a peer that failed no more until it answers again."""
        self._peers_by_name.pop(peer.name, None)

    async def close(self):
        """Cancel all tasks."""
        if self._task is not None:
            await cancel_and_wait([self._task])

    def _handle_change(self, service):
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._refresh())

    async def _refresh(self):
        """Ask peers again and again while a service can't be reached from here."""
        period_ms = FIRST_PERIOD_MS
        while services := self._partitions.unreachable_services():
            due_ms = self._clock.now_ms() + period_ms
            await self._ask_some(services)
            await self._clock.sleep_until(due_ms)
            period_ms = min(REFRESH_PERIOD_MS, 2 * period_ms)

    async def _ask_some(self, services):
        """Ask the peers that are of use for some services, and others at random."""
        usable = [
            name
            for name, peer in self._peers_by_name.items()
            if not peer.unreachable_services.issuperset(services)
        ]
        local = self._members.local
        others = [
            name
            for name in self._members.live_names(local.role)
            if name != local.name and name not in usable
        ]
        count = max(1, ASKED_PEERS - len(usable))
        chosen = self._random.sample(others, min(count, len(others)))
        await asyncio.gather(*(self._ask(name) for name in (*usable, *chosen)))

    async def _ask(self, name):
        member = self._members.by_name.get(name)
        if member is None:
            self._peers_by_name.pop(name, None)
            return
        answer = await self._client.ask(member.address, REACH_TOPIC, {}, ASK_TIMEOUT_MS)
        try:
            if is_failure(answer):
                raise ValueError(answer.detail)
            address = str(answer["address"])
            unreachable = frozenset(str(each) for each in answer["unreachable"])
            if not address:
                raise ValueError("it takes no requests")
        except (KeyError, TypeError, ValueError) as error:
            self._peers_by_name.pop(name, None)
            extra = {"peer": name, "why": repr(error)}
            logger.info("forwarding.peer-unusable", extra=extra)
            return
        valid_until_ms = self._clock.now_ms() + LIFETIME_MS
        self._peers_by_name[name] = ForwardingPeer(
            name, address, member.zone, unreachable, valid_until_ms
        )

    async def _handle_question(self, message):
        return {
            "address": self._local_address(),
            "unreachable": self._partitions.unreachable_services(),
        }
