"""Holds copies of other routers' batches and writes them if the owner is gone."""

import logging

from stoatpath.billing.messages import MirrorMessage
from stoatpath.billing.mirrors import MIRROR_TIMEOUT_MS, MIRROR_TOPIC, ROUTER
from stoatpath.membership.messages import DEAD, LIVE
from stoatpath.outcomes import is_failure

logger = logging.getLogger(__name__)

MAX_HELD_RECORDS = 100_000
CHECK_PERIOD_MS = 1_000
SOURCE_SILENCE_LIMIT_MS = 30_000
MIN_RESTART_GAP_MS = 500


class _HeldBatches:
    """The batches held for one source, and when a message of it last arrived.

    `record_count` is the number of records in all batches.
    """

    __slots__ = ("source", "batches_by_sequence", "last_received_ms", "record_count")

    def __init__(self, source):
        self.source = source
        self.batches_by_sequence = {}
        self.last_received_ms = 0.0
        self.record_count = 0

    def add(self, batch):
        """Add a batch; one that is already held is ignored."""
        if batch.sequence not in self.batches_by_sequence:
            self.batches_by_sequence[batch.sequence] = batch
            self.record_count += len(batch.records)

    def remove(self, sequence):
        """Remove a batch, if it is held."""
        batch = self.batches_by_sequence.pop(sequence, None)
        if batch is not None:
            self.record_count -= len(batch.records)

    def remove_below(self, lowest_unwritten):
        """Remove the batches below a sequence number.

        They are held in the order of arrival, which is nearly that of the numbers; a
        batch that arrived out of order may be removed by a later call.
        """
        while self.batches_by_sequence:
            first = next(iter(self.batches_by_sequence))
            if first >= lowest_unwritten:
                return
            self.remove(first)


class MirrorHolder:
    """Holds copies of peers' batches and writes those of owners that are gone.

    An owner is gone if it is dead, has restarted, or has sent nothing for
    `SOURCE_SILENCE_LIMIT_MS`.

    If the owner was only paused and writes the same batches later, no record is
    doubled: the ledger stores each batch once.
    """

    __slots__ = ("_writer", "_members", "_client", "_clock", "_held_by_source")

    def __init__(self, writer, members, client, server, clock):
        self._writer = writer
        self._members = members
        self._client = client
        self._clock = clock
        self._held_by_source = {}
        server.register(MIRROR_TOPIC, self._handle_mirror_message)

    @property
    def held_records(self):
        """Return the number of records held for peers."""
        return sum(held.record_count for held in self._held_by_source.values())

    async def run(self):
        """Write the batches of gone owners periodically until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now_ms() + CHECK_PERIOD_MS)
            await self.write_orphaned()

    async def write_orphaned(self):
        """Write the batches of every owner that is gone."""
        for held in list(self._held_by_source.values()):
            if held.batches_by_sequence and self._is_owner_gone(held):
                await self._write(held)

    async def hand_over(self):
        """Write all held batches before shutdown; forward to a peer those that fail."""
        for held in list(self._held_by_source.values()):
            if held.batches_by_sequence and not await self._write(held):
                await self._forward(held)

    async def _handle_mirror_message(self, data):
        message = MirrorMessage.from_json(data)
        key = message.source.key
        held = self._held_by_source.setdefault(key, _HeldBatches(message.source))
        held.last_received_ms = self._clock.now_ms()
        held.remove_below(message.lowest_unwritten)
        incoming_records = sum(len(batch.records) for batch in message.batches)
        can_hold = self.held_records + incoming_records <= MAX_HELD_RECORDS
        if can_hold:
            for batch in message.batches:
                held.add(batch)
        if not held.batches_by_sequence:
            del self._held_by_source[key]
        return {"held": can_hold}

    def _is_owner_gone(self, held):
        member = self._members.by_name.get(held.source.owner)
        if member is not None and member.state == DEAD:
            return True
        if member is not None and _has_restarted(member, held.source):
            return True
        return self._clock.now_ms() - held.last_received_ms > SOURCE_SILENCE_LIMIT_MS

    async def _write(self, held):
        batches = list(held.batches_by_sequence.values())
        failure = await self._writer.write(held.source, batches)
        if failure is not None:
            return False
        logger.info(
            "billing.written-for-peer",
            extra={"owner": held.source.owner, "batches": len(batches)},
        )
        for batch in batches:
            held.remove(batch.sequence)
        if not held.batches_by_sequence:
            self._held_by_source.pop(held.source.key, None)
            self._writer.evict_head(held.source)
        return True

    async def _forward(self, held):
        batches = list(held.batches_by_sequence.values())
        # With 0 as the lowest unwritten number the peer removes nothing.
        message = MirrorMessage(held.source, 0, batches).to_json()
        for peer in self._members.peers(ROUTER):
            if peer.state != LIVE or peer.name == held.source.owner:
                continue
            response = await self._client.ask(
                peer.address, MIRROR_TOPIC, message, MIRROR_TIMEOUT_MS
            )
            if not is_failure(response) and response.get("held") is True:
                return
        logger.error(
            "billing.copies-lost",
            extra={"owner": held.source.owner, "records": held.record_count},
        )


def _has_restarted(member, source):
    """Return whether a member is a later process than that of a source.

    An incarnation is a start time in milliseconds. A process that refutes a false
    suspicion raises its own by single milliseconds, far less than
    `MIN_RESTART_GAP_MS`.
    """
    return member.incarnation - source.incarnation > MIN_RESTART_GAP_MS
