"""Selects the instance from which this one copies the store's tables.

The instances form a tree, by rendezvous hashing over the live members that each of
them knows. The first of each availability zone follows the first of another zone, the
others follow members of their own zone. The first of all reads the store. An instance
only follows those of higher rank, so there are no cycles even where views differ.
"""

from xxhash import xxh3_64_intdigest

from stoatpath.membership.messages import LIVE

# Followers of one instance: answering more would take a small machine over 3% of its
# processor time.
FANOUT = 8
EXCLUSION_MS = 5_000.0


class SourceSelector:
    """Selects the member to follow; `members` is the `MemberTable`."""

    __slots__ = ("_members", "_excluded_until_ms_by_name", "_cache_key", "_cached")

    def __init__(self, members):
        self._members = members
        self._excluded_until_ms_by_name = {}
        self._cache_key = None
        self._cached = (None, 0)

    def exclude(self, name, now_ms):
        """Exclude a member that had no news, for `EXCLUSION_MS`."""
        self._excluded_until_ms_by_name[name] = now_ms + EXCLUSION_MS

    def select(self, now_ms):
        """Return the member to follow, or None if this instance is the first."""
        return self._source_and_depth(now_ms)[0]

    def select_regardless(self):
        """Return the member to follow if none was excluded, or None."""
        return _source_of(self._members.local, self._live_members())

    def select_any(self, now_ms, random, avoided_zone=None):
        """Return a random member that is not excluded, or None.

        It is of another zone than `avoided_zone` if there is one: what cuts off an
        instance often cuts off a zone.
        """
        self._end_exclusions(now_ms)
        eligible = self._eligible()
        outside = [each for each in eligible if each.zone != avoided_zone]
        eligible = outside or eligible
        return random.choice(eligible) if eligible else None

    def is_first_of_zone(self):
        """Return whether no live member of the own zone ranks higher.

        Members that were excluded count, too.
        """
        local = self._members.local
        return not any(
            each.zone == local.zone and _rank(each) > _rank(local)
            for each in self._live_members()
        )

    def read_order(self):
        """Return a number from 0 to 1, lower than those of the followers."""
        return 1.0 - _rank(self._members.local)[0] / 2**64

    def depth(self, now_ms):
        """Return the number of instances between this one and the store."""
        return self._source_and_depth(now_ms)[1]

    def _source_and_depth(self, now_ms):
        self._end_exclusions(now_ms)
        key = (self._members.digest(), frozenset(self._excluded_until_ms_by_name))
        if key != self._cache_key:
            self._cache_key = key
            self._cached = self._find_source()
        return self._cached

    def _find_source(self):
        eligible = self._eligible()
        source = member = _source_of(self._members.local, eligible)
        depth = 0
        while member is not None:
            member = _source_of(member, eligible)
            depth += 1
        return source, depth

    def _eligible(self):
        excluded = self._excluded_until_ms_by_name
        return [each for each in self._live_members() if each.name not in excluded]

    def _live_members(self):
        return [each for each in self._members.peers() if each.state == LIVE]

    def _end_exclusions(self, now_ms):
        excluded = self._excluded_until_ms_by_name
        for name in [name for name in excluded if excluded[name] <= now_ms]:
            del excluded[name]


def _source_of(local, others):
    """Return the member that `local` follows, or None."""
    above = [each for each in others if _rank(each) > _rank(local)]
    same_zone = [each for each in above if each.zone == local.zone]
    if same_zone:
        return _parent(same_zone)
    zone_firsts = {}
    for member in above:
        first = zone_firsts.get(member.zone)
        if first is None or _rank(member) > _rank(first):
            zone_firsts[member.zone] = member
    return _parent(zone_firsts.values()) if zone_firsts else None


def _parent(above):
    """Return the parent in a tree, given the members that rank above the child."""
    ranked = sorted(above, key=_rank, reverse=True)
    return ranked[(len(ranked) - 1) // FANOUT]


def _rank(member):
    return xxh3_64_intdigest(member.name.encode()), member.name
