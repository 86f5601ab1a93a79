"""The queue of member updates that are still to be gossiped."""

import math

from stoatpath.utils import encode_json

RETRANSMIT_MULTIPLIER = 3


class UpdateQueue:
    """Names of changed members, each sent a limited number of times."""

    __slots__ = ("_sends_left_by_name",)

    def __init__(self):
        self._sends_left_by_name = {}

    def add(self, name, member_count):
        """Queue a member's record; the number of sends grows with log2(members)."""
        rounds = math.ceil(math.log2(member_count + 2))
        self._sends_left_by_name[name] = RETRANSMIT_MULTIPLIER * rounds

    def next_batch(self, by_name, max_bytes):
        """Return the wire forms of the least often sent records that fit `max_bytes`.

        Each counts as sent once more; one without sends left leaves the queue.
        """
        batch = []
        size = 0
        for name in sorted(
            self._sends_left_by_name, key=lambda each: -self._sends_left_by_name[each]
        ):
            member = by_name.get(name)
            if member is None:
                del self._sends_left_by_name[name]
                continue
            data = member.to_json()
            size += len(encode_json(data)) + 1
            if size > max_bytes:
                break
            batch.append(data)
            self._sends_left_by_name[name] -= 1
            if self._sends_left_by_name[name] <= 0:
                del self._sends_left_by_name[name]
        return batch
