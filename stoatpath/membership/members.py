"""Members by name, and the rules by which news replaces older news."""

import logging

from xxhash import xxh3_64_hexdigest

from stoatpath.membership.messages import DEAD, LEAVING, LIVE, SUSPECT
from stoatpath.membership.news import NewsQueue

logger = logging.getLogger(__name__)

SUSPECT_FOR_MS = 4_000
FORGET_ACCOUNTED_AFTER_MS = 600_000
FORGET_AFTER_MS = 3_600_000


class MemberTable:
    """The member of this process and all others that it heard of.

    `news` holds the changes that are still to be passed on; `notify` is called
    when the own record changes.
    """

    __slots__ = ("local", "by_name", "news", "notify", "_digest")

    def __init__(self, own):
        self.local = own
        self.by_name = {}
        self.news = NewsQueue()
        self.notify = lambda: None
        self._digest = None

    def leave(self):
        """Announce that this process takes no new work."""
        self.local.state = LEAVING
        self._own_changed()

    def merge(self, members, now_ms):
        """Take news of members; return the names of those that changed."""
        changed = []
        for member in members:
            if member.name == self.local.name:
                if self._refute(member):
                    changed.append(member.name)
            elif self._take(member, now_ms):
                changed.append(member.name)
        return changed

    def suspect(self, name, now_ms):
        """Note that a member can't be reached; return whether that is news.

        One that was leaving has ended: it accepted nothing any more.
        """
        member = self.by_name.get(name)
        if member is None or member.state in (SUSPECT, DEAD):
            return False
        if member.state == LEAVING:
            member.is_accounted = True
            return self._set_state(member, DEAD, now_ms)
        return self._set_state(member, SUSPECT, now_ms)

    def confirm_dead(self, name, incarnation, now_ms):
        """Note proof that one incarnation of a member has ended."""
        member = self.by_name.get(name)
        if member is None or member.incarnation != incarnation:
            return False
        if member.is_accounted:
            return False
        member.is_accounted = True
        return self._set_state(member, DEAD, now_ms)

    def judge(self, now_ms):
        """Mark suspects as dead in time, and forget the dead."""
        for name, member in list(self.by_name.items()):
            if member.state == SUSPECT and now_ms >= member.dead_at_ms:
                self._set_state(member, DEAD, now_ms)
            elif member.state == DEAD and now_ms >= _forget_at_ms(member):
                del self.by_name[name]
                self._digest = None

    def postpone(self, now_ms):
        """Give suspects their time again, after this process was suspended."""
        for member in self.by_name.values():
            if member.state == SUSPECT:
                member.dead_at_ms = now_ms + SUSPECT_FOR_MS

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
        """Return the names of members of a role that take work, own one included."""
        names = [
            member.name
            for member in self.by_name.values()
            if member.role == role and member.state in (LIVE, SUSPECT)
        ]
        if self.local.role == role and self.local.state == LIVE:
            names.append(self.local.name)
        return sorted(names)

    def address_of(self, name):
        """Return the address of a member, or an empty string."""
        member = self.by_name.get(name)
        return member.address if member is not None else ""

    def digest(self):
        """Return a digest of all members but the dead, equal for equal tables."""
        if self._digest is None:
            lines = [
                f"{member.name} {member.incarnation} {member.state}"
                for member in [self.local, *self.peers()]
            ]
            self._digest = xxh3_64_hexdigest("\n".join(sorted(lines)).encode())
        return self._digest

    def _take(self, member, now_ms):
        known = self.by_name.get(member.name)
        if known is None and member.state == DEAD:
            return False
        if known is not None and not member.is_newer_than(known):
            return False
        if known is not None and known.incarnation == member.incarnation:
            has_left = known.state == LEAVING and member.state == DEAD
            member.is_accounted = member.is_accounted or has_left
        self.by_name[member.name] = member
        if known is None or known.state != member.state:
            self._log(member, known)
        self._note_change(member, now_ms)
        return True

    def _set_state(self, member, state, now_ms):
        self._log(member, member, state)
        member.state = state
        self._note_change(member, now_ms)
        return True

    def _note_change(self, member, now_ms):
        member.changed_ms = now_ms
        if member.state == SUSPECT:
            member.dead_at_ms = now_ms + SUSPECT_FOR_MS
        self.news.add(member.name, len(self.by_name))
        self._digest = None

    def _refute(self, said):
        """Outbid what others say of this process, if it is wrong."""
        own = self.local
        is_older = said.incarnation < own.incarnation
        if is_older or (said.incarnation == own.incarnation and said.state == LIVE):
            return False
        if said.incarnation == own.incarnation and said.state == own.state:
            return False
        if said.address != own.address and said.state != DEAD:
            logger.warning("membership.name-taken", extra={"other": said.address})
        own.incarnation = said.incarnation + 1
        self._own_changed()
        return True

    def _own_changed(self):
        self.news.add(self.local.name, len(self.by_name))
        self._digest = None
        self.notify()

    def _log(self, member, known, state=None):
        logger.info(
            "membership.changed",
            extra={
                "member": member.name,
                "from": known.state if known is not None else "unknown",
                "to": state or member.state,
                "incarnation": member.incarnation,
            },
        )


def _forget_at_ms(member):
    after_ms = FORGET_ACCOUNTED_AFTER_MS if member.is_accounted else FORGET_AFTER_MS
    return member.changed_ms + after_ms
