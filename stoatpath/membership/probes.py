"""Chooses whom to contact in each round."""

from stoatpath.membership.messages import DEAD, LIVE, Member

DEAD_CONTACT_ROUNDS = 5
OPEN_CASE_ROUNDS = 2


class ProbeSchedule:
    """Goes through all members in shuffled order, each once before any twice."""

    __slots__ = ("_random", "_waiting", "_round")

    def __init__(self, random):
        self._random = random
        self._waiting = []
        self._round = 0

    def next_target(self, members):
        """Return the member to probe in this round, or None."""
        for _ in range(2):
            while self._waiting:
                member = members.by_name.get(self._waiting.pop())
                if member is not None and member.state != DEAD:
                    return member
            self._waiting = [member.name for member in members.peers()]
            self._random.shuffle(self._waiting)
        return None

    def next_stranger(self, members, candidates):
        """Return a listed instance or a dead member to try, or None.

        Instances never heard of come in each round; of the dead, one of which
        nobody knows whether it ended in every second, any in every fifth, so
        that two groups that were apart find each other again.
        """
        self._round += 1
        unknown = _unknown_names(members, candidates)
        if unknown:
            return candidates[self._random.choice(sorted(unknown))]
        dead = members.dead()
        open_cases = [member for member in dead if not member.is_accounted]
        if open_cases and self._round % OPEN_CASE_ROUNDS == 0:
            return self._random.choice(open_cases)
        if dead and self._round % DEAD_CONTACT_ROUNDS == 0:
            return self._random.choice(dead)
        return None

    def choose(self, members, count, besides=""):
        """Return random reachable members besides one."""
        others = [member for member in members.peers() if member.name != besides]
        return self._random.sample(others, min(count, len(others)))


def _unknown_names(members, candidates):
    known = {member.address for member in [members.local, *members.by_name.values()]}
    return [
        name
        for name, candidate in candidates.items()
        if name not in members.by_name and candidate.address not in known
    ]


def candidate_from(entry):
    """Return a listed instance as a member that was never heard."""
    return Member(entry.name, entry.role, entry.address, entry.zone, 0, LIVE)


def candidate_at(address):
    """Return a member of which only the address is known."""
    return Member(address, "", address, "", 0, LIVE)
