"""Copies batches to a router in another availability zone."""

import logging

from stoatpath.billing.messages import MirrorMessage
from stoatpath.membership.messages import LIVE
from stoatpath.outcomes import NO_BACKEND, Failure, is_failure
from stoatpath.utils import rendezvous_rank

logger = logging.getLogger(__name__)

MIRROR_TOPIC = "billing-mirror"
MIRROR_TIMEOUT_MS = 500
FAILED_PEER_AVOIDANCE_MS = 5_000
MAX_MESSAGE_RECORDS = 5_000
ROUTER = "router"


class Mirror:
    """Sends batches of one source to the peer that holds its copies.

    The peer is the first live router of another availability zone by rendezvous
    hashing, without those that failed within `FAILED_PEER_AVOIDANCE_MS`.
    When it changes, all batches that are not yet in the ledger go to the new one.
    """

    __slots__ = (
        "_source",
        "_members",
        "_client",
        "_clock",
        "_peer",
        "_avoid_until_ms_by_name",
    )

    def __init__(self, source, members, client, clock):
        self._source = source
        self._members = members
        self._client = client
        self._clock = clock
        self._peer = ""
        self._avoid_until_ms_by_name = {}

    @property
    def peer(self):
        """Return the name of the peer that holds all copies, or an empty string."""
        return self._peer

    def needs_new_peer(self):
        """Return whether the peer that holds the copies is no longer a candidate."""
        return bool(self._peer) and self._peer not in self._candidates()

    async def copy(self, new_batches, unwritten_batches, lowest_unwritten):
        """Return None once a peer holds the new batches, or a failure.

        `unwritten_batches` are all batches that are not in the ledger,
        `lowest_unwritten` is the smallest sequence number among them.
        """
        candidates = self._candidates()
        if not candidates:
            return Failure(NO_BACKEND, "no peer in another zone")
        name = candidates[0]
        batches = new_batches if name == self._peer else list(unwritten_batches)
        for message_batches in _split_batches(batches):
            if not await self._send(
                name, MirrorMessage(self._source, lowest_unwritten, message_batches)
            ):
                self._avoid_until_ms_by_name[name] = (
                    self._clock.now_ms() + FAILED_PEER_AVOIDANCE_MS
                )
                self._peer = ""
                logger.warning("billing.mirror-failed", extra={"peer": name})
                return Failure(NO_BACKEND, f"{name} holds no copy")
        self._peer = name
        return None

    async def send_lowest_unwritten(self, lowest_unwritten):
        """Let the peer discard batches that are in the ledger; a failure is ignored."""
        if self._peer:
            await self._send(
                self._peer, MirrorMessage(self._source, lowest_unwritten, [])
            )

    async def _send(self, name, message):
        response = await self._client.ask(
            self._members.address_of(name),
            MIRROR_TOPIC,
            message.to_json(),
            MIRROR_TIMEOUT_MS,
        )
        return not is_failure(response) and response.get("held") is True

    def _candidates(self):
        local = self._members.local
        now_ms = self._clock.now_ms()
        names = [
            member.name
            for member in self._members.peers(ROUTER)
            if member.state == LIVE
            and member.zone != local.zone
            and self._avoid_until_ms_by_name.get(member.name, 0) <= now_ms
        ]
        return rendezvous_rank(local.name, names)


def _split_batches(batches):
    """Split batches into groups of at most `MAX_MESSAGE_RECORDS` records."""
    groups = [[]]
    record_count = 0
    for batch in batches:
        if groups[-1] and record_count + len(batch.records) > MAX_MESSAGE_RECORDS:
            groups.append([])
            record_count = 0
        groups[-1].append(batch)
        record_count += len(batch.records)
    return groups
