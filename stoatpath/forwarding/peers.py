"""Finds instances that reach the backend servers which this one can't reach."""

import asyncio
import logging
import math

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
# Time that a request takes to a peer that drains.
TRAVEL_MS = 100.0


class Acceptance:
    """Until when an instance takes requests, and streams among them.

    `address` is that of its listener for callers. The times are clock readings,
    infinite unless it drains; as JSON they are times left, null if infinite.
    """

    __slots__ = ("address", "until_ms", "streams_until_ms")

    def __init__(self, address, until_ms=float("inf"), streams_until_ms=float("inf")):
        self.address = address
        self.until_ms = until_ms
        self.streams_until_ms = streams_until_ms

    @property
    def is_leaving(self):
        """Return whether the instance drains."""
        return self.until_ms < float("inf")

    def to_json(self, now_ms):
        """Return the JSON form."""
        return {
            "address": self.address,
            "left_ms": _encode_left_ms(self.until_ms, now_ms),
            "streams_left_ms": _encode_left_ms(self.streams_until_ms, now_ms),
        }

    @classmethod
    def from_json(cls, data, now_ms):
        """Build it; raise KeyError, TypeError or ValueError if malformed.

        Instances of an older release name no times, and no address while they drain.
        """
        address = str(data["address"])
        if not address:
            raise ValueError("it takes no requests")
        return cls(
            address,
            now_ms + _decode_left_ms(data.get("left_ms")),
            now_ms + _decode_left_ms(data.get("streams_left_ms")),
        )


class ForwardingPeer:
    """An instance to forward requests to.

    `acceptance` tells until when it takes them. `unreachable_services` are the services
    of which it reaches no backend server, as known until `valid_until_ms`, and
    `drained_zones` those that it sends nothing to.
    """

    __slots__ = (
        "name",
        "acceptance",
        "zone",
        "unreachable_services",
        "valid_until_ms",
        "drained_zones",
    )

    def __init__(
        self,
        name,
        acceptance,
        zone,
        unreachable_services,
        valid_until_ms,
        drained_zones=frozenset(),
    ):
        self.name = name
        self.acceptance = acceptance
        self.zone = zone
        self.unreachable_services = unreachable_services
        self.valid_until_ms = valid_until_ms
        self.drained_zones = drained_zones

    @property
    def address(self):
        """Return the address to which requests are sent."""
        return self.acceptance.address

    def accepts_until_ms(self, is_stream):
        """Return until when it can be sent requests, or requests for streams."""
        until_ms = self.acceptance.until_ms
        if is_stream:
            until_ms = min(until_ms, self.acceptance.streams_until_ms)
        return min(self.valid_until_ms, until_ms - TRAVEL_MS)


class PeerFinder:
    """Asks peers what they reach, while this instance doesn't reach some services.

    `partitions` is the `PartitionDetector`. `local_acceptance` returns the `Acceptance`
    of this instance, `drained_zones` the zones that it sends nothing to.
    """

    __slots__ = (
        "drained_zones",
        "_partitions",
        "_members",
        "_client",
        "_local_acceptance",
        "_clock",
        "_random",
        "_peers_by_name",
        "_asked_ms",
        "_task",
    )

    def __init__(
        self, partitions, members, client, server, local_acceptance, clock, random
    ):
        self.drained_zones = lambda: []
        self._partitions = partitions
        self._members = members
        self._client = client
        self._local_acceptance = local_acceptance
        self._clock = clock
        self._random = random
        self._peers_by_name = {}
        self._asked_ms = float("-inf")
        self._task = None
        partitions.observers.append(self._handle_change)
        server.register(REACH_TOPIC, self._handle_question)

    def find(self, service, is_stream=False, allows=None):
        """Return the peers that reach a service, of those for which `allows` is true.

        Those that stay come first, and among them those of the same zone.
        """
        now_ms = self._clock.now_ms()
        peers = [
            peer
            for peer in self._peers_by_name.values()
            if now_ms < peer.accepts_until_ms(is_stream)
            and service not in peer.unreachable_services
            and (allows is None or allows(peer))
        ]
        self._random.shuffle(peers)
        local_zone = self._members.local.zone
        return sorted(
            peers,
            key=lambda peer: (peer.acceptance.is_leaving, peer.zone != local_zone),
        )

    def can_forward(self, service, is_stream=False, allows=None):
        """Return whether a service is reached by peers, and not from here.

        With `allows`, only peers count for which it is true.
        """
        is_unreachable = self._partitions.is_unreachable(service)
        return is_unreachable and bool(self.find(service, is_stream, allows))

    def is_asked(self):
        """Return whether peers that are cut off have just asked this instance."""
        return self._clock.now_ms() - self._asked_ms < LIFETIME_MS

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
        names = self._members.live_names(local.role)
        names += self._members.leaving_names(local.role)
        others = [name for name in names if name != local.name and name not in usable]
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
            now_ms = self._clock.now_ms()
            acceptance = Acceptance.from_json(answer, now_ms)
            unreachable = frozenset(str(each) for each in answer["unreachable"])
            # Instances of an older release name none: they don't know drained zones.
            drained = frozenset(str(each) for each in answer.get("drained") or ())
            if acceptance.until_ms <= now_ms:
                raise ValueError("it takes no requests")
        except (KeyError, TypeError, ValueError) as error:
            self._peers_by_name.pop(name, None)
            extra = {"peer": name, "why": repr(error)}
            logger.info("forwarding.peer-unusable", extra=extra)
            return
        valid_until_ms = now_ms + LIFETIME_MS
        self._peers_by_name[name] = ForwardingPeer(
            name, acceptance, member.zone, unreachable, valid_until_ms, drained
        )

    async def _handle_question(self, message):
        now_ms = self._clock.now_ms()
        self._asked_ms = now_ms
        return {
            **self._local_acceptance().to_json(now_ms),
            "unreachable": self._partitions.unreachable_services(),
            "drained": self.drained_zones(),
        }


def _encode_left_ms(until_ms, now_ms):
    return None if until_ms == float("inf") else until_ms - now_ms


def _decode_left_ms(value):
    """Return a time left, which may be negative; raise ValueError for other values."""
    left_ms = float("inf") if value is None else float(value)
    if math.isnan(left_ms):
        raise ValueError("a time left is not a number")
    return left_ms
