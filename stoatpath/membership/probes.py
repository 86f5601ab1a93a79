"""Selects the members to contact in each gossip round."""

from stoatpath.membership.messages import DEAD, LIVE, Member

RECONNECT_ENDED_ROUNDS = 5
RECONNECT_UNCONFIRMED_ROUNDS = 2


class ProbeSchedule:
    """Cycles through all members in random order, reshuffled after each cycle."""

    __slots__ = ("_random", "_pending_names", "_round_count")

    def __init__(self, random):
        self._random = random
        self._pending_names = []
        self._round_count = 0

    def next_target(self, members):
        """Return the member to probe in this round, or None."""
        for _ in range(2):
            while self._pending_names:
                member = members.by_name.get(self._pending_names.pop())
                if member is not None and member.state != DEAD:
                    return member
            self._pending_names = [member.name for member in members.peers()]
            self._random.shuffle(self._pending_names)
        return None

    def next_reconnect_target(self, members, candidates):
        """Return a contact candidate or a dead member to contact, or None.

        Candidates that are not known as members come first, in every round. Otherwise
        a dead member that is not known to have ended is tried in every second round,
        and any dead member in every fifth, so that the two sides of a healed
        partition reconnect.
        """
        self._round_count += 1
        unreached = _unreached_names(members, candidates)
        if unreached:
            return candidates[self._random.choice(sorted(unreached))]
        dead = members.dead()
        unconfirmed = [member for member in dead if not member.has_ended]
        if unconfirmed and self._round_count % RECONNECT_UNCONFIRMED_ROUNDS == 0:
            return self._random.choice(unconfirmed)
        if dead and self._round_count % RECONNECT_ENDED_ROUNDS == 0:
            return self._random.choice(dead)
        return None

    def choose_peers(self, members, count, excluded_name=""):
        """Return up to `count` random members that are not dead, except one."""
        others = [member for member in members.peers() if member.name != excluded_name]
        return self._random.sample(others, min(count, len(others)))


def _unreached_names(members, candidates):
    known_addresses = {
        member.address for member in [members.local, *members.by_name.values()]
    }
    return [
        name
        for name, candidate in candidates.items()
        if name not in members.by_name and candidate.address not in known_addresses
    ]


def member_from_entry(entry):
    """Return a listed instance as a member at incarnation 0."""
    return Member(entry.name, entry.role, entry.address, entry.zone, 0, LIVE)


def member_from_address(address):
    """Return a placeholder for a member of which only the address is known."""
    return Member(address, "", address, "", 0, LIVE)
