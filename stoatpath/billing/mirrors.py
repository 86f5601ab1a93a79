"""Copies batches to a peer in another zone."""

import logging

from stoatpath.billing.messages import MirrorMessage
from stoatpath.membership.messages import LIVE
from stoatpath.outcomes import NO_BACKEND, Failure, is_failure
from stoatpath.utils import rendezvous_rank

logger = logging.getLogger(__name__)

MIRROR_TOPIC = "billing-mirror"
MIRROR_TIMEOUT_MS = 500
AVOID_FOR_MS = 5_000
MAX_MESSAGE_RECORDS = 5_000
ROUTER = "router"


class Mirror:
    """Sends batches of one source to the peer that holds its copies.

    The peer is the first router of another zone by rendezvous. When it changes,
    everything that is not yet written goes to the new one.
    """

    __slots__ = ("_source", "_members", "_client", "_clock", "_peer", "_avoid_until_ms")

    def __init__(self, source, members, client, clock):
        self._source = source
        self._members = members
        self._client = client
        self._clock = clock
        self._peer = ""
        self._avoid_until_ms = {}

    @property
    def peer(self):
        """Return the name of the peer that holds all copies, or an empty string."""
        return self._peer

    def has_moved(self):
        """Return whether copies are held by a peer that no longer should."""
        return bool(self._peer) and self._peer not in self._candidates()

    async def copy(self, fresh, unwritten, lowest):
        """Return None once a peer holds the fresh batches, or a failure.

        `unwritten` holds all batches that are not in the ledger, `lowest` is the
        smallest sequence among them.
        """
        candidates = self._candidates()
        if not candidates:
            return Failure(NO_BACKEND, "no peer in another zone")
        name = candidates[0]
        batches = fresh if name == self._peer else list(unwritten)
        for part in _parts(batches):
            if not await self._send(name, MirrorMessage(self._source, lowest, part)):
                self._avoid_until_ms[name] = self._clock.now_ms() + AVOID_FOR_MS
                self._peer = ""
                logger.warning("billing.mirror-failed", extra={"peer": name})
                return Failure(NO_BACKEND, f"{name} holds no copy")
        self._peer = name
        return None

    async def release(self, lowest):
        """Tell the peer what it need no longer hold; nothing depends on it."""
        if self._peer:
            await self._send(self._peer, MirrorMessage(self._source, lowest, []))

    async def _send(self, name, message):
        answer = await self._client.ask(
            self._members.address_of(name),
            MIRROR_TOPIC,
            message.to_json(),
            MIRROR_TIMEOUT_MS,
        )
        return not is_failure(answer) and answer.get("held") is True

    def _candidates(self):
        own = self._members.local
        now_ms = self._clock.now_ms()
        names = [
            member.name
            for member in self._members.peers(ROUTER)
            if member.state == LIVE
            and member.zone != own.zone
            and self._avoid_until_ms.get(member.name, 0) <= now_ms
        ]
        return rendezvous_rank(own.name, names)


def _parts(batches):
    """Return batches in messages of a bounded number of records."""
    parts = [[]]
    size = 0
    for batch in batches:
        if parts[-1] and size + len(batch.records) > MAX_MESSAGE_RECORDS:
            parts.append([])
            size = 0
        parts[-1].append(batch)
        size += len(batch.records)
    return parts
