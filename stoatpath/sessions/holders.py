"""Selects the instances that hold the pin of a session, without any I/O."""

from xxhash import xxh3_64_intdigest

from stoatpath.utils import rendezvous_rank

SHARD_COUNT = 1_024
HOLDER_COUNT = 2
FALLBACK_COUNT = 2


class HolderRanking:
    """The instances that may hold pins, ranked by rendezvous hashing per key shard.

    Ranks are computed once per shard and membership, since ranking hundreds of
    instances for each of many thousand pins would take seconds. Members need
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
        """Return the two instances that hold a key.

        They are in different zones if there are several zones.
        """
        return self._ranked_members(key)[:HOLDER_COUNT]

    def fallbacks(self, key):
        """Return the instances that most likely held a key before the last change."""
        return self._ranked_members(key)[HOLDER_COUNT : HOLDER_COUNT + FALLBACK_COUNT]

    def holder_names(self, key):
        """Return the names of the instances that hold a key."""
        return [each.name for each in self.holders(key)]

    def holder_incarnations(self, key):
        """Return name and incarnation of each holder: a restart loses the pins."""
        return [(each.name, each.incarnation) for each in self.holders(key)]

    def _ranked_members(self, key):
        shard = xxh3_64_intdigest(key.encode()) % SHARD_COUNT
        ranked = self._ranks_by_shard.get(shard)
        if ranked is None:
            ranked = self._ranks_by_shard[shard] = self._rank_shard(shard)
        return ranked

    def _rank_shard(self, shard):
        names = rendezvous_rank(str(shard), self.by_name)
        ranked = [self.by_name[name] for name in names]
        if not ranked:
            return []
        first, *rest = ranked
        second = next((each for each in rest if each.zone != first.zone), None)
        if second is not None:
            rest.remove(second)
            rest.insert(0, second)
        return [first, *rest[: HOLDER_COUNT + FALLBACK_COUNT - 1]]
