"""Selects the subset of backend servers that a router polls and sends to."""

from stoatpath.utils import rendezvous_rank

SUBSET_TARGET = 64
MIN_PER_POOL = 3


class Subset:
    """Selected entries by name, and how many listed entries each represents."""

    __slots__ = ("by_name", "weights_by_name")

    def __init__(self, by_name, weights_by_name):
        self.by_name = by_name
        self.weights_by_name = weights_by_name


def choose_subset(router, entries, target_count=SUBSET_TARGET):
    """Return the subset of one router, which is stable while the list is unchanged.

    Up to `target_count` entries, all are selected. Above that, each pool (a role and
    what it serves) contributes an equal share of the target, but at least
    `MIN_PER_POOL` entries and one of each zone, so the subset may exceed the target.
    Entries are ranked by rendezvous hashing with the router's name.
    """
    if len(entries) <= target_count:
        return Subset(
            {entry.name: entry for entry in entries},
            {entry.name: 1.0 for entry in entries},
        )
    by_pool = {}
    for entry in entries:
        by_pool.setdefault((entry.role, entry.serves), []).append(entry)
    by_name = {}
    weights_by_name = {}
    for pool in by_pool.values():
        share = max(MIN_PER_POOL, target_count // len(by_pool))
        chosen = _choose_from_pool(router, pool, share)
        for entry in chosen:
            by_name[entry.name] = entry
            weights_by_name[entry.name] = len(pool) / len(chosen)
    return Subset(by_name, weights_by_name)


def _choose_from_pool(router, pool, count):
    by_name = {entry.name: entry for entry in pool}
    ranked = [by_name[name] for name in rendezvous_rank(router, by_name)]
    best_of_zones = []
    zones = set()
    for entry in ranked:
        if entry.zone not in zones:
            zones.add(entry.zone)
            best_of_zones.append(entry)
    others = [entry for entry in ranked if entry not in best_of_zones]
    return (best_of_zones + others)[: max(count, len(zones))]
