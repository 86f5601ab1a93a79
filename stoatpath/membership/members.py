"""Members by name, and the rules by which news replaces older news."""

from stoatpath.membership.messages import DEAD, LEAVING, LIVE, SUSPECT

SUSPECT_AFTER_MS = 2_000
DEAD_AFTER_MS = 5_000
FORGET_AFTER_MS = 60_000


class MemberTable:
    """The member of this process and all others that it heard of."""

    __slots__ = ("own", "by_name")

    def __init__(self, own):
        self.own = own
        self.by_name = {}

    def beat(self):
        """Advance the heartbeat of this process."""
        self.own.heartbeat += 1

    def leave(self):
        """Announce that this process takes no new work."""
        self.own.state = LEAVING
        self.own.heartbeat += 1

    def merge(self, members, now_ms):
        """Take news of other members."""
        for member in members:
            if member.name == self.own.name:
                continue
            known = self.by_name.get(member.name)
            if known is not None and not member.is_newer_than(known):
                continue
            if known is not None and known.state == LEAVING:
                if member.incarnation == known.incarnation:
                    member.state = LEAVING
            member.heard_ms = now_ms
            if member.state in (SUSPECT, DEAD):
                member.state = LIVE
            self.by_name[member.name] = member

    def judge(self, now_ms):
        """Mark the silent as suspect, then dead, then forget them."""
        for name, member in list(self.by_name.items()):
            silent_ms = now_ms - member.heard_ms
            if silent_ms > FORGET_AFTER_MS:
                del self.by_name[name]
            elif silent_ms > DEAD_AFTER_MS:
                member.state = DEAD
            elif silent_ms > SUSPECT_AFTER_MS and member.state == LIVE:
                member.state = SUSPECT

    def peers(self, role=None):
        """Return the other members that are not dead, of one role or all."""
        return [
            member
            for member in self.by_name.values()
            if member.state != DEAD and role in (None, member.role)
        ]

    def live_names(self, role):
        """Return the names of members of a role that take work, own one included."""
        names = [
            member.name
            for member in self.by_name.values()
            if member.role == role and member.state in (LIVE, SUSPECT)
        ]
        if self.own.role == role and self.own.state == LIVE:
            names.append(self.own.name)
        return sorted(names)
