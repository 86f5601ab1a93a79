"""Tells whether every member that can accept a configuration is in touch."""

from stoatpath.membership.messages import DEAD, LEAVING, SUSPECT
from stoatpath.membership.probes import candidate_at

CONTACT_LIMIT_MS = 5_000
ROUND_LIMIT_MS = 3_000
WATCHED_FOR_MS = 10_000
LIST_PROOF_MS = 60_000
ACCEPTING_ROLE = "controller"


class Contacts:
    """What this process knows of its reach, with the clock readings of it.

    A store that this process can't read may be down for all or reachable from
    elsewhere. It counts as down for all only while each member that could
    accept a change is in touch, and thus would have passed the change on.
    """

    __slots__ = (
        "_members",
        "_watched_since_ms",
        "_last_round_ms",
        "_last_answer_ms",
        "_candidates",
        "_fixed",
        "_ended_addresses",
        "_missing_since_ms",
    )

    def __init__(self, members):
        self._members = members
        self._watched_since_ms = None
        self._last_round_ms = float("-inf")
        self._last_answer_ms = float("-inf")
        self._candidates = {}
        self._fixed = {}
        self._ended_addresses = set()
        self._missing_since_ms = {}

    @property
    def candidates(self):
        """Return the listed instances and the fixed addresses by name."""
        return {**self._fixed, **self._candidates}

    def add_seed_addresses(self, addresses):
        """Take addresses to try whatever the platform's list says."""
        self._fixed.update((each, candidate_at(each)) for each in addresses)

    def note_round(self, now_ms, max_gap_ms):
        """Note that a round of probes begins; return whether one was missed."""
        is_gap = now_ms - self._last_round_ms > max_gap_ms
        if is_gap:
            self._watched_since_ms = now_ms
        self._last_round_ms = now_ms
        return is_gap

    def note_answer(self, asked_at_ms):
        """Note that a member answered a question asked at a clock reading."""
        self._last_answer_ms = max(self._last_answer_ms, asked_at_ms)

    def note_list(self, candidates, now_ms):
        """Take the platform's list of live routers and controllers.

        A dead member that the list has lacked for long enough has ended.
        """
        self._candidates = candidates
        self._ended_addresses &= {each.address for each in candidates.values()}
        for member in self._members.dead():
            if member.name in candidates:
                self._missing_since_ms.pop(member.name, None)
                continue
            since_ms = self._missing_since_ms.setdefault(member.name, now_ms)
            if now_ms - since_ms >= LIST_PROOF_MS:
                self._members.confirm_dead(member.name, member.incarnation, now_ms)

    def note_ended(self, address):
        """Note that nothing listens at an address any more."""
        self._ended_addresses.add(address)

    def note_reached(self, address):
        """Note that a member listens at an address."""
        self._ended_addresses.discard(address)

    def find_problem(self, now_ms):
        """Return why a change could be accepted unseen, or None."""
        if now_ms - self._last_round_ms > ROUND_LIMIT_MS:
            return "the members were not watched"
        if now_ms - self._watched_since_ms < WATCHED_FOR_MS:
            return "the members were not watched for long enough"
        if now_ms - self._last_answer_ms > CONTACT_LIMIT_MS:
            return "no member answers"
        for member in self._members.by_name.values():
            if member.role == ACCEPTING_ROLE and _is_out_of_touch(member):
                return f"{member.name} is out of touch"
        for name, entry in self._candidates.items():
            if entry.role == ACCEPTING_ROLE and self._is_unreached(name, entry):
                return f"{name} is listed and was never reached"
        if not self._has_acceptor():
            return "no member that accepts changes is known"
        return None

    def _is_unreached(self, name, entry):
        if name == self._members.local.name or name in self._members.by_name:
            return False
        return entry.address not in self._ended_addresses

    def _has_acceptor(self):
        members = [self._members.local, *self._members.by_name.values()]
        return any(member.role == ACCEPTING_ROLE for member in members)


def _is_out_of_touch(member):
    if member.state == LEAVING or member.is_accounted:
        return False
    return member.state in (SUSPECT, DEAD)
