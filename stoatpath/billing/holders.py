"""Holds copies of other routers' batches and writes them when their owner has gone."""

import logging

from stoatpath.billing.messages import MirrorMessage
from stoatpath.billing.mirrors import MIRROR_TIMEOUT_MS, MIRROR_TOPIC, ROUTER
from stoatpath.membership.messages import DEAD, LIVE
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

MAX_HELD_RECORDS = 100_000
CHECK_PERIOD_MS = 1_000
HOLD_LIMIT_MS = 30_000
RESTART_GAP_MS = 500


class _Held:
    """The batches of one source, and when it last sent any.

    `count` is the number of records in them.
    """

    __slots__ = ("source", "by_sequence", "heard_ms", "count")

    def __init__(self, source):
        self.source = source
        self.by_sequence = {}
        self.heard_ms = 0.0
        self.count = 0

    def add(self, batch):
        """Hold a batch, which may be held already."""
        if batch.sequence not in self.by_sequence:
            self.by_sequence[batch.sequence] = batch
            self.count += len(batch.records)

    def drop(self, sequence):
        """Hold a batch no longer."""
        batch = self.by_sequence.pop(sequence, None)
        if batch is not None:
            self.count -= len(batch.records)

    def drop_below(self, lowest):
        """Drop the batches under a sequence; they come nearly in order."""
        while self.by_sequence:
            first = next(iter(self.by_sequence))
            if first >= lowest:
                return
            self.drop(first)


class MirrorHolder:
    """The task that keeps copies and writes those of owners that have gone.

    An owner that was only paused does no harm when it wakes: the ledger takes
    each batch once.
    """

    __slots__ = ("_writer", "_members", "_client", "_clock", "_by_source")

    def __init__(self, writer, members, client, server, clock):
        self._writer = writer
        self._members = members
        self._client = client
        self._clock = clock
        self._by_source = {}
        server.register(MIRROR_TOPIC, self._take)

    @property
    def held_records(self):
        """Return the number of records held for others."""
        return sum(held.count for held in self._by_source.values())

    async def run(self):
        """Write what owners left behind, until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + CHECK_PERIOD_MS)
            await self.check()

    async def check(self):
        """Write the batches of every owner that has gone."""
        for held in list(self._by_source.values()):
            if held.by_sequence and self._has_gone(held):
                await self._write(held)

    async def hand_over(self):
        """Pass on what could not be written, before this process ends."""
        for held in list(self._by_source.values()):
            if held.by_sequence and not await self._write(held):
                await self._pass_on(held)

    async def _take(self, data):
        message = MirrorMessage.from_json(data)
        key = message.source.key
        held = self._by_source.setdefault(key, _Held(message.source))
        held.heard_ms = self._clock.now_ms()
        held.drop_below(message.lowest)
        incoming = sum(len(batch.records) for batch in message.batches)
        has_room = self.held_records + incoming <= MAX_HELD_RECORDS
        if has_room:
            for batch in message.batches:
                held.add(batch)
        if not held.by_sequence:
            del self._by_source[key]
        return {"held": has_room}

    def _has_gone(self, held):
        member = self._members.by_name.get(held.source.owner)
        if member is not None and member.state == DEAD:
            return True
        if member is not None and _has_restarted(member, held.source):
            return True
        return self._clock.now_ms() - held.heard_ms > HOLD_LIMIT_MS

    async def _write(self, held):
        batches = list(held.by_sequence.values())
        failure = await self._writer.write(held.source, batches)
        if failure is not None:
            return False
        logger.info(
            "billing.written-for-peer",
            extra={"owner": held.source.owner, "batches": len(batches)},
        )
        for batch in batches:
            held.drop(batch.sequence)
        if not held.by_sequence:
            self._by_source.pop(held.source.key, None)
            self._writer.forget(held.source)
        return True

    async def _pass_on(self, held):
        batches = list(held.by_sequence.values())
        message = MirrorMessage(held.source, 0, batches).to_json()
        for peer in self._members.peers(ROUTER):
            if peer.state != LIVE or peer.name == held.source.owner:
                continue
            answer = await self._client.ask(
                peer.address, MIRROR_TOPIC, message, MIRROR_TIMEOUT_MS
            )
            if not is_failure(answer) and answer.get("held") is True:
                return
        logger.error(
            "billing.copies-lost",
            extra={"owner": held.source.owner, "records": held.count},
        )


def _has_restarted(member, source):
    """Return whether a member is a later process than the one of a source.

    Incarnations are start times; refuting a rumour adds single milliseconds.
    """
    return member.incarnation - source.incarnation > RESTART_GAP_MS
