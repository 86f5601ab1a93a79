"""Chooses which backend servers a router polls and sends to."""

from stoatpath.utils import rendezvous_rank

MAX_BACKENDS = 64
MIN_PER_POOL = 3


class Subset:
    """Chosen entries by name, and how many listed ones each stands for."""

    __slots__ = ("by_name", "weights_by_name")

    def __init__(self, by_name, weights_by_name):
        self.by_name = by_name
        self.weights_by_name = weights_by_name


def choose_subset(router, entries, max_backends=MAX_BACKENDS):
    """Return the subset of one router, stable while the list stands.

    Up to `max_backends` all are taken. Above, each pool (role and what it
    serves) gives its share by rendezvous hashing of the router's name, the best
    of each zone first, and the choice of one changes only with the list.
    """
    if len(entries) <= max_backends:
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
        wanted = max(MIN_PER_POOL, max_backends // len(by_pool))
        chosen = _choose_from_pool(router, pool, wanted)
        for entry in chosen:
            by_name[entry.name] = entry
            weights_by_name[entry.name] = len(pool) / len(chosen)
    return Subset(by_name, weights_by_name)


def _choose_from_pool(router, pool, count):
    by_name = {entry.name: entry for entry in pool}
    ranked = [by_name[name] for name in rendezvous_rank(router, by_name)]
    first_of_zones = []
    zones = set()
    for entry in ranked:
        if entry.zone not in zones:
            zones.add(entry.zone)
            first_of_zones.append(entry)
    rest = [entry for entry in ranked if entry not in first_of_zones]
    return (first_of_zones + rest)[: max(count, len(zones))]
