"""Changes of members that are still to be passed on."""

import math

from stoatpath.utils import encode_json

TRANSMISSIONS_FACTOR = 3


class NewsQueue:
    """Names of changed members, each passed on a limited number of times."""

    __slots__ = ("_left_by_name",)

    def __init__(self):
        self._left_by_name = {}

    def add(self, name, member_count):
        """Arrange for a member's record to be passed on."""
        rounds = math.ceil(math.log2(member_count + 2))
        self._left_by_name[name] = TRANSMISSIONS_FACTOR * rounds

    def take(self, by_name, max_bytes):
        """Return wire forms of the least told changes that fit in a message."""
        taken = []
        size = 0
        for name in sorted(
            self._left_by_name, key=lambda each: -self._left_by_name[each]
        ):
            member = by_name.get(name)
            if member is None:
                del self._left_by_name[name]
                continue
            data = member.to_json()
            size += len(encode_json(data)) + 1
            if size > max_bytes:
                break
            taken.append(data)
            self._left_by_name[name] -= 1
            if self._left_by_name[name] <= 0:
                del self._left_by_name[name]
        return taken
