"""The table of known members, and the rules by which updates are merged."""

import logging

from xxhash import xxh3_64_hexdigest

from stoatpath.membership.messages import DEAD, LEAVING, LIVE, SUSPECT
from stoatpath.membership.update_queues import UpdateQueue

logger = logging.getLogger(__name__)

SUSPICION_TIMEOUT_MS = 4_000
FORGET_ENDED_AFTER_MS = 600_000
FORGET_UNCONFIRMED_AFTER_MS = 3_600_000


class MemberTable:
    """The record of this process and those of all other known members.

    `updates` holds the changes that are still to be gossiped; `on_local_change`
    is called when the record of this process changes.
    """

    __slots__ = ("local", "by_name", "updates", "on_local_change", "_digest")

    def __init__(self, local):
        self.local = local
        self.by_name = {}
        self.updates = UpdateQueue()
        self.on_local_change = lambda: None
        self._digest = None

    def leave(self):
        """Mark this process as leaving: it accepts no new work."""
        self.local.state = LEAVING
        self._record_local_change()

    def merge(self, members, now_ms):
        """Merge received member records; return the names of those that changed."""
        changed = []
        for member in members:
            if member.name == self.local.name:
                if self._refute(member):
                    changed.append(member.name)
            elif self._apply_update(member, now_ms):
                changed.append(member.name)
        return changed

    def suspect(self, name, now_ms):
        """Mark an unreachable member as suspect; return whether its state changed.

        A member that was leaving accepted no more work: it is marked as ended.
        """
        member = self.by_name.get(name)
        if member is None or member.state in (SUSPECT, DEAD):
            return False
        if member.state == LEAVING:
            member.has_ended = True
            return self._set_state(member, DEAD, now_ms)
        return self._set_state(member, SUSPECT, now_ms)

    def confirm_dead(self, name, incarnation, now_ms):
        """Mark a member as dead and ended; return whether that changed its record.

        Only the given incarnation is affected: a restarted member has a higher one.
        """
        member = self.by_name.get(name)
        if member is None or member.incarnation != incarnation:
            return False
        if member.has_ended:
            return False
        member.has_ended = True
        return self._set_state(member, DEAD, now_ms)

    def expire_members(self, now_ms):
        """Declare suspects dead after their timeout, and remove old dead members."""
        for name, member in list(self.by_name.items()):
            if member.state == SUSPECT and now_ms >= member.dead_at_ms:
                self._set_state(member, DEAD, now_ms)
            elif member.state == DEAD and now_ms >= _forget_at_ms(member):
                del self.by_name[name]
                self._digest = None

    def restart_suspicions(self, now_ms):
        """Restart the timeouts of all suspects, after this process was paused."""
        for member in self.by_name.values():
            if member.state == SUSPECT:
                member.dead_at_ms = now_ms + SUSPICION_TIMEOUT_MS

    def peers(self, role=None):
        """Return the other members that are not dead, of one role or all."""
        return [
            member
            for member in self.by_name.values()
            if member.state != DEAD and role in (None, member.role)
        ]

    def dead(self):
        """Return the members that count as dead."""
        return [each for each in self.by_name.values() if each.state == DEAD]

    def live_names(self, role):
        """Return the names of members of a role that accept work, sorted.

        This process is included if it is live.
        """
        names = [
            member.name
            for member in self.by_name.values()
            if member.role == role and member.state in (LIVE, SUSPECT)
        ]
        if self.local.role == role and self.local.state == LIVE:
            names.append(self.local.name)
        return sorted(names)

    def leaving_names(self, role):
        """Return the names of other members of a role that drain, sorted."""
        return sorted(
            member.name
            for member in self.by_name.values()
            if member.role == role and member.state == LEAVING
        )

    def address_of(self, name):
        """Return the address of a member, or an empty string."""
        member = self.by_name.get(name)
        return member.address if member is not None else ""

    def digest(self):
        """Return a digest of all members that are not dead, to compare tables."""
        if self._digest is None:
            records = [
                f"{member.name} {member.incarnation} {member.state}"
                for member in [self.local, *self.peers()]
            ]
            self._digest = xxh3_64_hexdigest("\n".join(sorted(records)).encode())
        return self._digest

    def _apply_update(self, member, now_ms):
        previous = self.by_name.get(member.name)
        if previous is None and member.state == DEAD:
            return False
        if previous is not None and not member.is_newer_than(previous):
            return False
        if previous is not None and previous.incarnation == member.incarnation:
            has_left = previous.state == LEAVING and member.state == DEAD
            member.has_ended = member.has_ended or has_left
        self.by_name[member.name] = member
        if previous is None or previous.state != member.state:
            self._log_change(member, previous)
        self._record_change(member, now_ms)
        return True

    def _set_state(self, member, state, now_ms):
        self._log_change(member, member, state)
        member.state = state
        self._record_change(member, now_ms)
        return True

    def _record_change(self, member, now_ms):
        member.state_changed_ms = now_ms
        if member.state == SUSPECT:
            member.dead_at_ms = now_ms + SUSPICION_TIMEOUT_MS
        self.updates.add(member.name, len(self.by_name))
        self._digest = None

    def _refute(self, claim):
        """Refute a wrong claim about this process with a higher incarnation.

        Return whether the claim was wrong.
        """
        local = self.local
        is_older = claim.incarnation < local.incarnation
        if is_older or (claim.incarnation == local.incarnation and claim.state == LIVE):
            return False
        if claim.incarnation == local.incarnation and claim.state == local.state:
            return False
        if claim.address != local.address and claim.state != DEAD:
            logger.warning("membership.name-taken", extra={"other": claim.address})
        local.incarnation = claim.incarnation + 1
        self._record_local_change()
        return True

    def _record_local_change(self):
        self.updates.add(self.local.name, len(self.by_name))
        self._digest = None
        self.on_local_change()

    def _log_change(self, member, previous, state=None):
        logger.info(
            "membership.changed",
            extra={
                "member": member.name,
                "from": previous.state if previous is not None else "unknown",
                "to": state or member.state,
                "incarnation": member.incarnation,
            },
        )


def _forget_at_ms(member):
    after_ms = (
        FORGET_ENDED_AFTER_MS if member.has_ended else FORGET_UNCONFIRMED_AFTER_MS
    )
    return member.state_changed_ms + after_ms
