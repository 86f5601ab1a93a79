"""Tracks whether all members that can accept a configuration change are reachable.

While the store can't be read, `configuration.guards` uses this to decide whether a
change may have been accepted without notice.
"""

from stoatpath.membership.messages import DEAD, LEAVING, SUSPECT
from stoatpath.membership.probes import member_from_address

# Members count as reachable only after gapless probing for `MIN_PROBING_MS`, and while
# the last probe round and the last answer are recent.
MAX_ANSWER_AGE_MS = 5_000
MAX_ROUND_AGE_MS = 3_000
MIN_PROBING_MS = 10_000
UNLISTED_ENDED_AFTER_MS = 60_000
ACCEPTING_ROLE = "controller"


class Contacts:
    """Contact candidates, and observations of whether members are reachable.

    A store that this process can't read may still be readable by others. It counts
    as down for all members only while every member that could accept a change is
    reachable, since such a member would have gossiped an accepted change.
    """

    __slots__ = (
        "_members",
        "_gapless_since_ms",
        "_last_round_ms",
        "_last_answer_ms",
        "_candidates",
        "_seed_candidates",
        "_refused_addresses",
        "_unlisted_since_ms_by_name",
    )

    def __init__(self, members):
        self._members = members
        self._gapless_since_ms = None
        self._last_round_ms = float("-inf")
        self._last_answer_ms = float("-inf")
        self._candidates = {}
        self._seed_candidates = {}
        self._refused_addresses = set()
        self._unlisted_since_ms_by_name = {}

    @property
    def candidates(self):
        """Return the listed instances and the seed addresses by name."""
        return {**self._seed_candidates, **self._candidates}

    def add_seed_addresses(self, addresses):
        """Add configured addresses, which are contacted whether listed or not."""
        self._seed_candidates.update(
            (each, member_from_address(each)) for each in addresses
        )

    def record_round(self, now_ms, max_gap_ms):
        """Record the start of a probe round; return whether rounds were missed."""
        is_gap = now_ms - self._last_round_ms > max_gap_ms
        if is_gap:
            self._gapless_since_ms = now_ms
        self._last_round_ms = now_ms
        return is_gap

    def record_answer(self, sent_ms):
        """Record the answer to a message sent at a clock reading."""
        self._last_answer_ms = max(self._last_answer_ms, sent_ms)

    def update_candidates(self, candidates, now_ms):
        """Replace the candidates by the live members on the platform's list.

        A dead member that was not listed for `UNLISTED_ENDED_AFTER_MS` has ended.
        """
        self._candidates = candidates
        self._refused_addresses &= {each.address for each in candidates.values()}
        for member in self._members.dead():
            if member.name in candidates:
                self._unlisted_since_ms_by_name.pop(member.name, None)
                continue
            since_ms = self._unlisted_since_ms_by_name.setdefault(member.name, now_ms)
            if now_ms - since_ms >= UNLISTED_ENDED_AFTER_MS:
                self._members.confirm_dead(member.name, member.incarnation, now_ms)

    def record_refused_address(self, address):
        """Record that an address refused a connection."""
        self._refused_addresses.add(address)

    def record_reached_address(self, address):
        """Record that a member answered at an address."""
        self._refused_addresses.discard(address)

    def find_problem(self, now_ms):
        """Return why a change may have been accepted without notice, or None."""
        if now_ms - self._last_round_ms > MAX_ROUND_AGE_MS:
            return "the members were not watched"
        if now_ms - self._gapless_since_ms < MIN_PROBING_MS:
            return "the members were not watched for long enough"
        if now_ms - self._last_answer_ms > MAX_ANSWER_AGE_MS:
            return "no member answers"
        for member in self._members.by_name.values():
            if member.role == ACCEPTING_ROLE and _is_unreachable(member):
                return f"{member.name} is out of touch"
        for name, entry in self._candidates.items():
            if entry.role == ACCEPTING_ROLE and self._was_never_reached(name, entry):
                return f"{name} is listed and was never reached"
        if not self._knows_controller():
            return "no member that accepts changes is known"
        return None

    def _was_never_reached(self, name, entry):
        if name == self._members.local.name or name in self._members.by_name:
            return False
        return entry.address not in self._refused_addresses

    def _knows_controller(self):
        members = [self._members.local, *self._members.by_name.values()]
        return any(member.role == ACCEPTING_ROLE for member in members)


def _is_unreachable(member):
    if member.state == LEAVING or member.has_ended:
        return False
    return member.state in (SUSPECT, DEAD)
