"""Decides which instances hold the pin of a session: pure."""

from xxhash import xxh3_64_intdigest

from stoatpath.utils import rendezvous_rank

SHARDS = 1_024
HOLDERS = 2
FALLBACKS = 2


class HolderRing:
    """The instances that may hold pins, ranked for each shard of the keys.

    Ranks are worked out once per shard and membership, since ranking hundreds of
    instances for each of many thousand pins would cost seconds. Members need
    `name`, `zone` and `incarnation`.
    """

    __slots__ = ("by_name", "signature", "_ranks_by_shard")

    def __init__(self, by_name):
        self.by_name = by_name
        self.signature = frozenset(
            (each.name, each.zone, each.incarnation) for each in by_name.values()
        )
        self._ranks_by_shard = {}

    def holders(self, key):
        """Return the instances that hold a key: two, in different zones if
        there are several zones."""
        return self._ranked(key)[:HOLDERS]

    def fallbacks(self, key):
        """Return who most likely held a key before the membership changed."""
        return self._ranked(key)[HOLDERS : HOLDERS + FALLBACKS]

    def holder_names(self, key):
        """Return the names of the instances that hold a key."""
        return [each.name for each in self.holders(key)]

    def holder_incarnations(self, key):
        """Return the processes that hold a key: one that restarted holds nothing."""
        return [(each.name, each.incarnation) for each in self.holders(key)]

    def _ranked(self, key):
        shard = xxh3_64_intdigest(key.encode()) % SHARDS
        ranked = self._ranks_by_shard.get(shard)
        if ranked is None:
            ranked = self._ranks_by_shard[shard] = self._rank(shard)
        return ranked

    def _rank(self, shard):
        names = rendezvous_rank(str(shard), self.by_name)
        ranked = [self.by_name[name] for name in names]
        if not ranked:
            return []
        first, *rest = ranked
        second = next((each for each in rest if each.zone != first.zone), None)
        if second is not None:
            rest.remove(second)
            rest.insert(0, second)
        return [first, *rest[: HOLDERS + FALLBACKS - 1]]
