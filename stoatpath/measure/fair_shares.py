"""Exact constrained max-min fair shares, by water filling over sets of pools."""

from itertools import combinations

STEPS = 60


class Claim:
    """What one organisation may use: weight, pools, and slots it has work for."""

    __slots__ = ("name", "weight", "pools", "demand")

    def __init__(self, name, weight, pools, demand):
        self.name = name
        self.weight = weight
        self.pools = frozenset(pools)
        self.demand = demand


def exact_shares(claims, capacity_by_pool):
    """Return slots by organisation, the lowest weighted share as high as can be,
    then the second lowest, and so on.

    A level of share can be served if every set of pools holds what those who may
    use nothing else ask of it (Hall's condition). The level rises until a set is
    full or a demand is met; who is bound by that is fixed, and the rest go on.
    """
    fixed = {}
    while len(fixed) < len(claims):
        level = _highest_level(claims, fixed, capacity_by_pool)
        for claim in _bound_at(claims, fixed, capacity_by_pool, level):
            fixed[claim.name] = min(claim.demand, level * claim.weight)
    return fixed


def _highest_level(claims, fixed, capacity_by_pool):
    low = 0.0
    high = max(
        min(claim.demand, sum(capacity_by_pool.values())) / claim.weight
        for claim in claims
        if claim.name not in fixed
    )
    if _fits(claims, fixed, capacity_by_pool, high):
        return high
    for _ in range(STEPS):
        middle = (low + high) / 2
        if _fits(claims, fixed, capacity_by_pool, middle):
            low = middle
        else:
            high = middle
    return low


def _bound_at(claims, fixed, capacity_by_pool, level):
    """Return the claims that can't rise over a level; one at least."""
    free = [claim for claim in claims if claim.name not in fixed]
    bound = [claim for claim in free if claim.demand <= level * claim.weight + 1e-9]
    for pools in _sets_of(capacity_by_pool):
        room = sum(capacity_by_pool[pool] for pool in pools)
        inside = [claim for claim in claims if claim.pools <= pools]
        used = sum(_slots(claim, fixed, level) for claim in inside)
        if used >= room - 1e-6:
            bound += [claim for claim in inside if claim in free]
    return bound or free


def _fits(claims, fixed, capacity_by_pool, level):
    for pools in _sets_of(capacity_by_pool):
        room = sum(capacity_by_pool[pool] for pool in pools)
        used = sum(
            _slots(claim, fixed, level) for claim in claims if claim.pools <= pools
        )
        if used > room + 1e-9:
            return False
    return True


def _slots(claim, fixed, level):
    if claim.name in fixed:
        return fixed[claim.name]
    return min(claim.demand, level * claim.weight)


def _sets_of(capacity_by_pool):
    names = sorted(capacity_by_pool)
    for size in range(1, len(names) + 1):
        for pools in combinations(names, size):
            yield frozenset(pools)
