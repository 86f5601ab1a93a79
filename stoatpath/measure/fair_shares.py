"""Exact constrained max-min fair shares, by water filling over sets of pools."""

from itertools import combinations

BISECTION_STEPS = 60


class Claim:
    """An organisation's weight, the pools it may use, and the slots it has work for."""

    __slots__ = ("name", "weight", "pools", "demand")

    def __init__(self, name, weight, pools, demand):
        self.name = name
        self.weight = weight
        self.pools = frozenset(pools)
        self.demand = demand


def exact_shares(claims, capacity_by_pool):
    """Return max-min fair slots by organisation.

    The lowest weighted share is as high as possible, then the second lowest, and
    so on. A level of share is feasible if every set of pools has room for the
    claims that may use only pools of the set (Hall's condition). The level rises
    until a set is full or a demand is met; claims limited by that are fixed, and
    the level of the others rises further.
    """
    fixed = {}
    while len(fixed) < len(claims):
        level = _highest_level(claims, fixed, capacity_by_pool)
        for claim in _saturated_claims(claims, fixed, capacity_by_pool, level):
            fixed[claim.name] = min(claim.demand, level * claim.weight)
    return fixed


def _highest_level(claims, fixed, capacity_by_pool):
    low = 0.0
    high = max(
        min(claim.demand, sum(capacity_by_pool.values())) / claim.weight
        for claim in claims
        if claim.name not in fixed
    )
    if _is_feasible(claims, fixed, capacity_by_pool, high):
        return high
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _is_feasible(claims, fixed, capacity_by_pool, middle):
            low = middle
        else:
            high = middle
    return low


def _saturated_claims(claims, fixed, capacity_by_pool, level):
    """Return the claims that can't exceed a level; at least one."""
    open_claims = [claim for claim in claims if claim.name not in fixed]
    saturated = [
        claim for claim in open_claims if claim.demand <= level * claim.weight + 1e-9
    ]
    for pools in _pool_sets(capacity_by_pool):
        capacity = sum(capacity_by_pool[pool] for pool in pools)
        confined_claims = [claim for claim in claims if claim.pools <= pools]
        used = sum(_slots_at_level(claim, fixed, level) for claim in confined_claims)
        if used >= capacity - 1e-6:
            saturated += [claim for claim in confined_claims if claim in open_claims]
    return saturated or open_claims


def _is_feasible(claims, fixed, capacity_by_pool, level):
    for pools in _pool_sets(capacity_by_pool):
        capacity = sum(capacity_by_pool[pool] for pool in pools)
        used = sum(
            _slots_at_level(claim, fixed, level)
            for claim in claims
            if claim.pools <= pools
        )
        if used > capacity + 1e-9:
            return False
    return True


def _slots_at_level(claim, fixed, level):
    if claim.name in fixed:
        return fixed[claim.name]
    return min(claim.demand, level * claim.weight)


def _pool_sets(capacity_by_pool):
    names = sorted(capacity_by_pool)
    for size in range(1, len(names) + 1):
        for pools in combinations(names, size):
            yield frozenset(pools)
